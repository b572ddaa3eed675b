#ifndef SHALLOTPORT_FLEET_LEAVING_ENDPOINTS_H_
#define SHALLOTPORT_FLEET_LEAVING_ENDPOINTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/clock.h"
#include "fleet/endpoint_start.h"

namespace shallotport {

// The endpoints that said in a response that they leave, to this host or to
// another one. No host begins a new request there from then on, even if no
// other endpoint is left: there is no time limit within which it might. A start
// of an endpoint leaves for good; neither a report of that start nor one of an
// earlier start brings it back, a later start does. Owned by the component that
// selects endpoints. Pure.
class leaving_endpoints {
 public:
  // Who learned of it.
  enum class origin : uint8_t {
    kOwnResponse,  // This host, from a response.
    kOtherHost,
  };

  // False if it was known.
  bool Add(steady_time now, const endpoint_start& start, origin from);
  bool IsLeaving(const endpoint_id& endpoint, uint64_t start_time_ms) const;

  // What other hosts may not have heard yet, bounded; the latest first.
  std::vector<endpoint_start> Recent(steady_time now) const;
  // As Recent(), only what this host learned from responses.
  std::vector<endpoint_start> OwnRecent(steady_time now) const;

  size_t size() const { return starts_.size(); }

 private:
  struct entry {
    endpoint_start start;
    steady_time added_at{};
    origin from = origin::kOwnResponse;
  };

  void RemoveOldest();
  std::vector<endpoint_start> RecentOf(steady_time now, bool is_own_only) const;

  std::map<endpoint_id, uint64_t> starts_;  // The latest start that leaves.
  std::deque<entry> entries_;               // The oldest first.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_LEAVING_ENDPOINTS_H_
