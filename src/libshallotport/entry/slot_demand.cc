#include "entry/slot_demand.h"

#include <algorithm>

#include "accounts/caller_identity.h"
#include "entry/route_table.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A request that waits for a slot for longer than this share of its objective
// would be late.
constexpr double kUsefulWaitShare = 0.5;
// A caller that was refused before is served late rather than refused again.
constexpr milliseconds kReturnedCallerWait{1'000};
// Callers follow a retry delay up to this share of the time that they have.
constexpr int64_t kRetryAfterDivisor = 3;

}  // namespace

queued_slot_request MakeSlotDemand(steady_time now,
                                   const slot_demand_facts& facts,
                                   const selection_constraints& constraints,
                                   const domain_id& own_domain,
                                   endpoint_selector& selector) {
  queued_slot_request demand;
  slot_request& request = demand.request;
  request.service = facts.service;
  request.domain = own_domain;
  const auto avoid = [&request](const auto& endpoints) {
    for (const endpoint_id& each : endpoints) {
      request.avoided_endpoints.push_back(LoadKey(each));
    }
  };
  avoid(selector.EndpointsInBackoff(now, facts.service));
  avoid(constraints.excluded);
  avoid(constraints.avoided);
  avoid(selector.UnconfirmedEndpoints(facts.service));
  for (const endpoint_id& each : selector.TakeFailures()) {
    request.failed_endpoints.push_back(LoadKey(each));
  }
  request.avoided_domains = selector.DomainsInBackoff(now, facts.service);
  request.avoided_domains.insert(request.avoided_domains.end(),
                                 constraints.unreachable_domains.begin(),
                                 constraints.unreachable_domains.end());
  const route& of = facts.of;
  const auto elapsed = duration_cast<milliseconds>(now - facts.received_at);
  const auto remaining = std::max(
      duration_cast<milliseconds>(facts.deadline - now), milliseconds(0));
  const bool has_objective = of.objective.count() > 0;
  const auto useful_wait =
      facts.has_returned || !facts.may_refuse || !has_objective
          ? kReturnedCallerWait
          : duration_cast<milliseconds>(of.objective * kUsefulWaitShare) -
                elapsed;
  request.max_wait_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(useful_wait.count(), 0, remaining.count()));
  request.software_version = constraints.software_version;
  request.max_retry_after_ms =
      static_cast<uint32_t>(remaining.count() / kRetryAfterDivisor);
  demand.account = facts.account.digest;
  demand.priority = facts.account.priority.value_or(of.priority);
  demand.has_returned = facts.has_returned || !facts.may_refuse ? 1 : 0;
  return demand;
}

}  // namespace shallotport
