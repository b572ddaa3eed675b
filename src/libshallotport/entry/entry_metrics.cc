#include "entry/entry_metrics.h"

#include <ostream>

namespace shallotport {

latency_histogram& entry_metrics::Of(series& all, const std::string& route) {
  const auto found = all.find(route);
  if (found != all.end()) {
    return found->second;
  }
  return all.size() < kMaxRoutes ? all[route] : all["other"];
}

void entry_metrics::ObserveFirstByte(const std::string& route, duration time) {
  Of(first_byte_, route).Observe(time);
}

void entry_metrics::ObserveWhole(const std::string& route, duration time) {
  Of(whole_, route).Observe(time);
}

void entry_metrics::WriteText(std::ostream& out) const {
  out << "# TYPE shallotport_first_byte_seconds histogram\n";
  for (const auto& [route, each] : first_byte_) {
    each.WriteText(out, "shallotport_first_byte_seconds",
                   "route=\"" + route + "\"");
  }
  out << "# TYPE shallotport_request_seconds histogram\n";
  for (const auto& [route, each] : whole_) {
    each.WriteText(out, "shallotport_request_seconds",
                   "route=\"" + route + "\"");
  }
}

}  // namespace shallotport
