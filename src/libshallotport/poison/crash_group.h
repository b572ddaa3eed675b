#ifndef SHALLOTPORT_POISON_CRASH_GROUP_H_
#define SHALLOTPORT_POISON_CRASH_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// An endpoint that ended under requests with one key (crash_key).
struct endpoint_crash {
  uint64_t start_key = 0;  // StartKey() of the endpoint.
  domain_id domain;        // Empty: not known.
  steady_time broken_at{};
  steady_time begun_at{};  // Of the latest attempt with the key there.
};

// Endpoints of a service in one failure domain.
struct domain_endpoints {
  size_t all = 0;
  size_t ended = 0;  // About when the endpoints of the group did.
};
using endpoint_population = std::map<domain_id, domain_endpoints>;

// Crashes that overlap: no attempt began after the first of them. The attempts
// may have a cause of their crashes in common, or the endpoints may. Pure.
class crash_group {
 public:
  // In order of time. Each crash is in one group.
  static std::vector<crash_group> Split(std::vector<endpoint_crash> crashes);

  size_t size() const { return crashes_.size(); }
  steady_time first_at() const { return crashes_.front().broken_at; }
  steady_time last_at() const { return crashes_.back().broken_at; }

  // The chance that endpoints which ended for a reason of their own are all
  // that had attempts with the key. A failure domain without an endpoint that
  // goes on has such a reason, and so may endpoints of a single domain: 1.
  double ChanceOfCoincidence(const endpoint_population& population) const;

 private:
  std::vector<endpoint_crash> crashes_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_GROUP_H_
