#ifndef SHALLOTPORT_BASE_LATENCY_HISTOGRAM_H_
#define SHALLOTPORT_BASE_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string_view>

#include "base/clock.h"

namespace shallotport {

// Counts times in logarithmic bins from 0.1 ms to 100 s. Belongs to one
// thread, or to its owner's lock.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram&& other) noexcept;
  latency_histogram& operator=(latency_histogram&& other) noexcept;

  void Observe(duration time);

  uint64_t count() const { return count_; }
  // Upper edge, in seconds, of the bin that holds the quantile; 0 without
  // observations.
  double Quantile(double share) const;

  // Writes the series in Prometheus text. `labels` are written between the
  // braces, as in `route="chat"`; empty: none.
  void WriteText(std::ostream& out,
                 std::string_view name,
                 std::string_view labels = {}) const;

 private:
  struct bins;

  std::unique_ptr<bins> bins_;
  double sum_seconds_ = 0;
  uint64_t count_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_LATENCY_HISTOGRAM_H_
