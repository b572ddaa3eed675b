#ifndef SHALLOTPORT_BATCH_WINDOW_OWNERSHIP_H_
#define SHALLOTPORT_BATCH_WINDOW_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

struct ownership_settings {
  // From the moment at which this host sees itself as an endpoint's owner
  // until it sends there. Longer than hosts take to agree on who lives.
  duration handover_wait = std::chrono::seconds(3);
};

// Which host of a failure domain sends batch work to which endpoint: by
// rendezvous hashing over the hosts that this host holds for alive. A new
// owner waits, so that the former one, which stops at once, has left. Hosts
// may disagree for a while; the batch window then sees the other's work in the
// endpoint's load reports and makes room for it.
class window_ownership {
 public:
  window_ownership(host_id self, const ownership_settings& settings)
      : self_(std::move(self)), settings_(settings) {}

  // The live hosts of the own domain, this one included.
  void SetHosts(steady_time now, std::span<const host_id> hosts);

  // The endpoints of the own domain.
  void SetEndpoints(steady_time now, std::span<const endpoint_id> endpoints);

  // Whether this host may send batch work to the endpoint now.
  bool MaySend(steady_time now, const endpoint_id& endpoint) const;

  // The first two in the order of succession. Online arrivals are told to
  // both, so that a change of owner loses none.
  std::vector<host_id> Successors(const endpoint_id& endpoint) const;

  // When MaySend() turns true for a further endpoint.
  std::optional<steady_time> NextChange(steady_time now) const;

  size_t endpoint_count() const { return endpoints_.size(); }
  void WriteState(nlohmann::json& out) const;

 private:
  void UpdateOwned(steady_time now);

  const host_id self_;
  const ownership_settings settings_;
  std::vector<host_id> hosts_;
  std::vector<endpoint_id> endpoints_;
  // Endpoints that this host owns, and send_from when on it may send.
  std::map<endpoint_id, steady_time> owned_;
  uint64_t changes_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_WINDOW_OWNERSHIP_H_
