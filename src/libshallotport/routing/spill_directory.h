#ifndef SHALLOTPORT_ROUTING_SPILL_DIRECTORY_H_
#define SHALLOTPORT_ROUTING_SPILL_DIRECTORY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/domain_offer.h"

namespace shallotport {

// What the hosts of other failure domains last said that they can take. Keeps
// one summary a host; they age out.
class spill_directory {
 public:
  // A summary older than this is not used.
  static constexpr duration kOfferLifetime{3'000'000};
  // Added to the expected time in another domain: the hop and the risk.
  static constexpr duration kHopCost{5'000};

  struct target {
    domain_id domain;
    host_id host;
    std::string address;
    duration expected_time{0};
  };

  // Ignores summaries that are older than the one known of the same host.
  void Update(steady_time now, const domain_offer& offer);

  // The host with the most free slots for the service, whose expected time is
  // below `time_to_beat` and whose name is not among `excluded`; nothing if no
  // other domain has any.
  std::optional<target> Find(steady_time now,
                             const service_id& service,
                             std::span<const endpoint_id> excluded,
                             duration time_to_beat) const;

  // Counts a request sent there, until the host's next summary.
  void OnSpilled(const host_id& host, const service_id& service);

  size_t size() const { return hosts_.size(); }

 private:
  struct remote_host {
    domain_offer offer;
    steady_time received_at;
    std::unordered_map<service_id, uint32_t> spilled_since_offer;
  };

  remote_host* FindHost(const host_id& id);

  std::vector<remote_host> hosts_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_SPILL_DIRECTORY_H_
