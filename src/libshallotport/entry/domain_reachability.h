#ifndef SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_
#define SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_

#include <cstdint>
#include <map>
#include <set>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// Which failure domains this host seems to be cut off from, by its own
// attempts to connect. Answers the load after a network partition: without it
// every request would wait for several connections in turn that nobody
// answers. Two endpoints of a domain that stay silent make it suspect; from
// then on one request a while tries it, and any answer clears it. Pure.
class domain_reachability {
 public:
  // A connection to an endpoint was neither accepted nor refused in time.
  void RecordConnectTimeout(steady_time now,
                            const domain_id& domain,
                            const endpoint_id& endpoint);
  // Something came back from an endpoint of the domain.
  void RecordResponse(const domain_id& domain);

  // True while requests should go elsewhere.
  bool IsInBackoff(steady_time now, const domain_id& domain) const;
  // A request goes there: the next one waits until this has told something.
  void RecordAttempt(steady_time now, const domain_id& domain);

 private:
  struct suspicion {
    std::set<endpoint_id> silent_endpoints;
    steady_time backoff_until{};
    uint32_t unanswered_probes = 0;  // Without an answer.
  };

  std::map<domain_id, suspicion> suspicions_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_DOMAIN_REACHABILITY_H_
