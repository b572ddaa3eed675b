#ifndef SHALLOTPORT_ENTRY_ENTRY_METRICS_H_
#define SHALLOTPORT_ENTRY_ENTRY_METRICS_H_

#include <map>
#include <string>

#include "base/latency_histogram.h"

namespace shallotport {

// Latencies of an entry host's requests, by route. Bounded: routes beyond
// kMaxRoutes share the series named "other".
class entry_metrics {
 public:
  static constexpr size_t kMaxRoutes = 64;

  // From the request's arrival to the first byte of its response.
  void ObserveFirstByte(const std::string& route, duration time);
  // From the request's arrival to the end of its response, refusals and
  // failures included.
  void ObserveTotal(const std::string& route, duration time);

  void WriteText(std::ostream& out) const;

 private:
  using histograms_by_route = std::map<std::string, latency_histogram>;

  static latency_histogram& SeriesFor(histograms_by_route& histograms,
                                      const std::string& route);

  histograms_by_route first_byte_;
  histograms_by_route total_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENTRY_METRICS_H_
