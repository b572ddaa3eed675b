#include "entry/entry_metrics.h"

#include <ostream>

namespace shallotport {

latency_histogram& entry_metrics::SeriesFor(histograms_by_route& histograms,
                                            const std::string& route) {
  const auto found = histograms.find(route);
  if (found != histograms.end()) {
    return found->second;
  }
  return histograms.size() < kMaxRoutes ? histograms[route]
                                        : histograms["other"];
}

void entry_metrics::ObserveFirstByte(const std::string& route, duration time) {
  SeriesFor(first_byte_, route).Observe(time);
}

void entry_metrics::ObserveTotal(const std::string& route, duration time) {
  SeriesFor(total_, route).Observe(time);
}

void entry_metrics::WriteText(std::ostream& out) const {
  out << "# TYPE shallotport_first_byte_seconds histogram\n";
  for (const auto& [route, each] : first_byte_) {
    each.WriteText(out, "shallotport_first_byte_seconds",
                   "route=\"" + route + "\"");
  }
  out << "# TYPE shallotport_request_seconds histogram\n";
  for (const auto& [route, each] : total_) {
    each.WriteText(out, "shallotport_request_seconds",
                   "route=\"" + route + "\"");
  }
}

}  // namespace shallotport
