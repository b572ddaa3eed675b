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

// The latest domain_offer of each host of other failure domains, from which the
// request_router chooses where to spill a request. Offers expire.
class spill_directory {
 public:
  // Offers older than this are not used.
  static constexpr duration kOfferLifetime{3'000'000};
  // Added to the expected time in another failure domain, for the network hop
  // and the risk of an outdated offer.
  static constexpr duration kHopCost{5'000};

  struct target {
    domain_id domain;
    host_id host;
    std::string address;
    duration expected_time{0};
  };

  // Ignores an offer that is older than the current one of the same host.
  void Update(steady_time now, const domain_offer& offer);

  // The host that offers the most free slots for the service, among those with
  // an expected time below `time_to_beat` and an id that is not in `excluded`.
  // Nothing if no such host has a free slot.
  std::optional<target> Find(steady_time now,
                             const service_id& service,
                             std::span<const endpoint_id> excluded,
                             duration time_to_beat) const;

  // Deducts a spilled request from the host's free slots until its next offer.
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
