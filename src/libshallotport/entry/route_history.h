#ifndef SHALLOTPORT_ENTRY_ROUTE_HISTORY_H_
#define SHALLOTPORT_ENTRY_ROUTE_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "entry/route_table.h"

namespace shallotport {

// When each route last changed its services, as far as this host has known: a
// stream that can still be resumed may have begun at a former one. Owned by
// entry_duty. Pure.
class route_history {
 public:
  // A configuration comes into force.
  void Update(steady_time now, const route_configuration& configuration);
  // True if the route may have had other services within a stream's lifetime.
  bool HasMoved(steady_time now, const route& of) const;

 private:
  struct entry {
    std::vector<service_id> services;
    std::optional<steady_time> changed_at;
    steady_time seen_at{};  // In force, last.
    bool is_in_force = false;
  };
  using route_key = std::pair<std::string, std::string>;  // Host and prefix.

  std::map<route_key, entry> routes_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ROUTE_HISTORY_H_
