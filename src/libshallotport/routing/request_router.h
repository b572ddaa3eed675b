#ifndef SHALLOTPORT_ROUTING_REQUEST_ROUTER_H_
#define SHALLOTPORT_ROUTING_REQUEST_ROUTER_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"
#include "control/configuration.h"
#include "membership/endpoint_record.h"
#include "routing/account_limiter.h"
#include "routing/domain_offer.h"
#include "routing/route_query.h"
#include "routing/routed_service.h"
#include "routing/spill_directory.h"

namespace shallotport {

struct request_router_options {
  host_id host;
  domain_id domain;
  incarnation started = 0;
  std::string address;  // "IP:port" that accepts spilled requests.
  uint64_t seed = 1;
  // Circuit breakers, ejection of outliers and slow start. False only in
  // benchmarks that compare.
  bool uses_endpoint_health = true;
};

// Admits the attempts of one host and chooses their endpoints: account limits,
// admission by deadline, endpoint choice, circuit breakers, ejection of slow
// endpoints, retry budgets and the spill to other failure domains. Does no I/O;
// owned by the host's routing_duty and used on its thread only.
class request_router {
 public:
  explicit request_router(request_router_options options);

  request_router(const request_router&) = delete;
  request_router& operator=(const request_router&) = delete;

  void SetConfiguration(const configuration& settings, uint64_t revision);

  // Replaces the set of endpoints. Endpoints whose incarnation is unchanged
  // keep their state.
  void UpdateEndpoints(steady_time now, std::span<const endpoint_record> all);
  void UpdateEndpoint(steady_time now, const endpoint_record& record);
  void RemoveEndpoint(steady_time now, const endpoint_id& id);

  // Applies an offer of another failure domain; stale ones are ignored.
  void OnDomainOffer(steady_time now, const domain_offer& offer);
  // The capacity of this failure domain, for the hosts of other domains.
  domain_offer MakeDomainOffer(steady_time now);

  // Admits one attempt and chooses its destination. Fails with kNotFound,
  // kOverLimit, kDeadlineUnreachable or kNoCapacity, all of which imply that
  // nothing was executed; the last three carry retry_after. Each success must
  // be followed by exactly one OnFinished().
  result<route_choice> Admit(steady_time now, const route_query& query);

  void OnStarted(steady_time now, attempt_ticket ticket);
  void OnFirstByte(steady_time now, attempt_ticket ticket);
  // `service_time`: from start to end of the attempt, queue included.
  void OnFinished(steady_time now,
                  attempt_ticket ticket,
                  attempt_outcome outcome,
                  duration service_time);

  account_limiter& limiter() { return limiter_; }

  void WriteState(nlohmann::json& out) const;

 private:
  // One admitted attempt that has not ended.
  struct open_attempt {
    account_id account;
    service_id service;
    std::shared_ptr<service_member> member;  // Null for a spilled attempt.
    double queue_rounds = 1;  // Expected time / service time at start.
    bool is_limited = false;  // Holds a concurrency slot of the account.
    bool has_first_byte = false;
  };

  // Totals, written to the state dump under the same names.
  struct counts {
    uint64_t admitted = 0;
    uint64_t retries = 0;
    uint64_t hedges = 0;
    uint64_t spilled = 0;
    uint64_t over_limit = 0;
    uint64_t no_capacity = 0;
    uint64_t deadline_unreachable = 0;
    uint64_t not_found = 0;
    uint64_t budget_spent = 0;
    uint64_t ok = 0;
    uint64_t failed = 0;
    uint64_t timed_out = 0;
    uint64_t refused = 0;
    uint64_t cancelled = 0;
  };

  void RemoveFromServices(const routed_endpoint& endpoint);
  void AddToServices(const std::shared_ptr<routed_endpoint>& endpoint);
  routed_service* FindService(const route_query& query);
  bool IsServiceAllowed(const routed_service& service,
                        const account_id& account) const;
  void CollectCandidates(steady_time now,
                         const routed_service& service,
                         const route_query& query);
  // Adds ejected or blocked endpoints to the candidates, with a low weight,
  // until kMinEligibleShare of the endpoints are eligible.
  void AddSpares(size_t usable, size_t total);
  // Levels out small differences in peer load between the candidates.
  void DampenPeerLoad();
  // Index of the chosen candidate. Nothing if none can meet the deadline; then
  // `shortfall` is set to how far the best one misses it.
  std::optional<size_t> ChooseLocal(steady_time now,
                                    routed_service& service,
                                    const route_query& query,
                                    duration& shortfall);
  result<route_choice> AdmitLocalOrSpill(steady_time now,
                                         routed_service& service,
                                         const route_query& query);
  route_choice BeginLocalAttempt(steady_time now,
                                 const routed_service& service,
                                 const route_query& query,
                                 const choice_candidate& chosen);
  std::optional<route_choice> BeginSpilledAttempt(steady_time now,
                                                  const route_query& query,
                                                  duration time_to_beat);
  void RecordEndpointOutcome(steady_time now,
                             routed_service* service,
                             const open_attempt& attempt,
                             attempt_outcome outcome,
                             duration service_time);
  void CountOutcome(attempt_outcome outcome);

  request_router_options options_;
  uint64_t revision_ = 0;
  random_source random_;
  account_limiter limiter_;
  spill_directory spill_;
  std::unordered_map<endpoint_id, std::shared_ptr<routed_endpoint>> endpoints_;
  std::unordered_map<service_id, std::unique_ptr<routed_service>> services_;
  // Accounts without an entry may use all services.
  std::unordered_map<account_id, std::vector<service_id>> allowed_services_;
  std::unordered_map<attempt_ticket, open_attempt> open_attempts_;
  attempt_ticket last_ticket_ = 0;
  uint64_t offer_sequence_ = 0;
  counts counts_;

  // An ejected or blocked endpoint, for AddSpares().
  struct spare_candidate {
    choice_candidate candidate;
    steady_time unusable_until;
  };
  // Reused between calls to avoid allocations.
  std::vector<choice_candidate> candidates_;
  std::vector<spare_candidate> spares_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_REQUEST_ROUTER_H_
