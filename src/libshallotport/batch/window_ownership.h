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
  // How long a new owner waits before it sends to the endpoint. Longer than
  // hosts take to agree on which hosts are alive.
  duration handover_wait = std::chrono::seconds(3);
};

// Assigns each endpoint of a failure domain to the one host that sends batch
// work there, by rendezvous hashing over the hosts that this host considers
// alive. The former owner stops at once and the new one waits, so that the two
// do not overlap. Hosts may disagree for a while; the batch window then sees
// the other host's work in the endpoint's load reports and leaves slots for it.
// Not thread-safe; batch_duty owns it and uses it on its thread.
class window_ownership {
 public:
  window_ownership(host_id self, const ownership_settings& settings)
      : self_(std::move(self)), settings_(settings) {}

  // The live hosts of this failure domain, including this host.
  void SetHosts(steady_time now, std::span<const host_id> hosts);

  // The endpoints of this failure domain.
  void SetEndpoints(steady_time now, std::span<const endpoint_id> endpoints);

  // Whether this host may send batch work to the endpoint now.
  bool MaySend(steady_time now, const endpoint_id& endpoint) const;

  // The owner and the host that would succeed it, in this order. Both receive
  // yield notices, so that none is lost when the owner changes.
  std::vector<host_id> Successors(const endpoint_id& endpoint) const;

  // When MaySend() next becomes true for an endpoint.
  std::optional<steady_time> NextChange(steady_time now) const;

  size_t endpoint_count() const { return endpoints_.size(); }
  void WriteState(nlohmann::json& out) const;

 private:
  void UpdateOwned(steady_time now);

  const host_id self_;
  const ownership_settings settings_;
  std::vector<host_id> hosts_;
  std::vector<endpoint_id> endpoints_;
  // Endpoints that this host owns, and the time from which it may send there.
  std::map<endpoint_id, steady_time> owned_;
  uint64_t changes_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_WINDOW_OWNERSHIP_H_
