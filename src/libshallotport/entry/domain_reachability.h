#ifndef SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_
#define SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// Tracks which failure domains this host appears to be partitioned from, by its
// own attempts to connect. After a network partition, each request would
// otherwise wait for several connections in turn that time out. A domain is
// suspected once two of its endpoints did not respond; from then on only an
// occasional request probes it, and any response clears it. Pure.
class domain_reachability {
 public:
  // A connection to an endpoint was neither accepted nor refused in time.
  void RecordConnectTimeout(steady_time now,
                            const domain_id& domain,
                            const endpoint_id& endpoint);
  // An endpoint of the domain responded, with whatever result.
  void RecordResponse(const domain_id& domain);

  // True while requests should go to other domains.
  bool IsInBackoff(steady_time now, const domain_id& domain) const;
  // A request is sent to the domain. If the domain is suspected, later requests
  // avoid it until this one gets a response or the initial backoff ends.
  void RecordAttempt(steady_time now, const domain_id& domain);

 private:
  struct suspicion {
    std::set<endpoint_id> silent_endpoints;
    steady_time backoff_until{};
    uint32_t unanswered_probes = 0;
  };

  std::map<domain_id, suspicion> suspicions_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_
