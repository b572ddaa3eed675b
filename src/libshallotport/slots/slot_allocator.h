#ifndef SHALLOTPORT_SLOTS_SLOT_ALLOCATOR_H_
#define SHALLOTPORT_SLOTS_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/endpoint_report.h"
#include "fleet/fleet_messages.h"
#include "fleet/leaving_endpoints.h"
#include "ratelimits/endpoint_limits.h"
#include "slots/duration_estimate.h"
#include "slots/slot_messages.h"
#include "slots/slot_queue.h"

namespace shallotport {

// What the allocator decided about a slot request.
struct slot_decision {
  slot_reply reply;
  // The granted slot is taken by a batch request, which has to be aborted.
  bool needs_yield = false;
  // Expected time in the endpoint's queue; 0 if a slot is free.
  duration expected_wait{};
};

// The end of a queued request's wait.
struct queued_slot_decision {
  std::string host;
  uint64_t ticket = 0;
  slot_decision decision;
};

// Grants the slots of all endpoints to the entry hosts' online requests, so
// that hosts that choose at the same time do not meet at an endpoint whose
// engine admits requests in order of arrival. Counts the requests of each host
// at each endpoint: its own grants at once, corrected by the hosts' load
// reports. Owned by job_store_duty, used while that host leads the job group,
// so that batch requests are counted exactly as well. Pure.
//
// Answers bursts in which online requests take nearly all slots. In order of
// preference, a request gets a free slot, a slot of a batch request, or a
// position at the endpoint that is expected to start it first; if that is too
// late to be useful, it is refused at once. An endpoint that fails many
// requests ends them quickly and has free slots; it is used after all others.
// Refused callers are told to return at a rate that is a fraction of the rate
// at which slots become free.
//
// Granting slots is no lock: an endpoint that gets more requests than slots
// queues them. Two hosts that both believe to be the leader do no harm.
class slot_allocator {
 public:
  // `limits` outlives the allocator; batch requests draw on them as well.
  explicit slot_allocator(endpoint_limits& limits) : limits_(&limits) {}

  void Update(const endpoint_report& report);
  // The endpoint has ended without a report; a later report adds it again.
  void Remove(const endpoint_id& endpoint);
  // An endpoint said in a response that it leaves: no slot of it is granted any
  // more.
  void RecordLeaving(steady_time now, const endpoint_start& start);
  // Requests that the job group has at an endpoint.
  void SetBatchLoad(uint32_t endpoint, uint32_t running);

  // Counts a granted slot for `host` until a load report no longer lists it.
  slot_decision Allocate(steady_time now,
                         const std::string& host,
                         const slot_request& request);
  // As Allocate(), but a request that finds no slot waits for one, if it is
  // expected to get it in time: the reply is kQueued, and TakeQueued() returns
  // the decision.
  slot_decision AllocateOrQueue(steady_time now,
                                const std::string& host,
                                const queued_slot_request& demand);
  // Slots for waiting requests, and refusals of those that would be late. Call
  // when slots may have become free, and a few times in a useful wait.
  std::vector<queued_slot_decision> TakeQueued(steady_time now);
  void CancelQueued(const std::string& host, uint64_t ticket);
  // This host leads no more, or again: the entry hosts have ended their waits.
  void ClearQueued();
  bool HasQueued() const { return queued_count() > 0 || !dropped_.empty(); }
  size_t queued_count() const;
  // Replaces what is known of a host's load by its report, and records the
  // leaving endpoints that it names.
  void RecordLoad(steady_time now,
                  const std::string& host,
                  const load_report& report);
  // The host has failed or is partitioned from this one.
  void RemoveHost(const std::string& host);

  // Online requests at an endpoint.
  uint32_t OnlineLoad(uint32_t endpoint) const;
  const std::map<uint32_t, endpoint_id>& endpoint_ids() const {
    return endpoint_ids_;
  }

 private:
  // One online request at an endpoint.
  struct slot_use {
    std::string host;
    steady_time granted_at{};
    steady_time started_at{};  // As far as can be told from here.
    bool has_started = false;
  };
  struct endpoint_state {
    endpoint_report report;
    bool is_ready = false;
    uint32_t batch_load = 0;
    std::vector<slot_use> uses;  // In order of arrival.
    duration mean_duration{};    // Of online requests; 0: unknown.
    // Requests that ended, and those of them that ended with an error, both
    // decaying with their age.
    double ended = 0;
    double failed = 0;
    steady_time counted_at{};
    // Hosts that avoid this endpoint, and when they last said so.
    std::map<std::string, steady_time> avoided_by;
  };
  struct service_state {
    duration mean_duration{};
    duration_estimate durations;
    slot_queue queue;
    steady_time last_return_at{};  // Of the callers that were refused.
  };
  struct candidate;

  candidate Rank(steady_time now,
                 const slot_request& request,
                 uint32_t key,
                 const endpoint_state& state) const;
  static bool HasVersion(const slot_request& request,
                         const endpoint_state& state);
  // Ages the counts of ended requests.
  static void DecayCounts(steady_time now, endpoint_state& state);
  static bool IsFailing(const endpoint_state& state);
  bool IsAvoidedByOthers(steady_time now, const endpoint_state& state) const;
  // How long another request would wait in the endpoint's queue.
  duration ExpectedWait(steady_time now, const endpoint_state& state) const;
  // Records the start of waiting requests for which a slot is free.
  static void StartWaiting(steady_time now, endpoint_state& state);
  duration MeanDuration(const endpoint_state& state) const;
  void RecordDuration(endpoint_state& state, duration elapsed);
  // Until an endpoint with a limit takes one more request of the service, and
  // how many a second they take; nullopt: none has a limit.
  struct limited_service {
    duration wait{};
    double per_second = 0;
  };
  std::optional<limited_service> LimitedService(
      steady_time now,
      const slot_request& request) const;
  // The endpoint that suits the request best now.
  candidate SelectCandidate(steady_time now, const slot_request& request);
  void RecordAvoidance(steady_time now,
                       const std::string& host,
                       const slot_request& request);
  // False if no request can get a slot of the service now.
  bool HasFreeSlot(const service_id& service) const;
  std::optional<queued_slot_decision> GrantNext(steady_time now,
                                                slot_queue& queue);
  slot_decision Grant(steady_time now,
                      const std::string& host,
                      const candidate& at);
  duration MeanDuration(const service_state& service) const;
  // Whether the request may go to this endpoint, as far as hosts have seen.
  bool IsAllowed(steady_time now,
                 const slot_request& request,
                 uint32_t key,
                 const endpoint_state& state) const;
  uint32_t AllowedSlots(steady_time now, const slot_request& request) const;
  // Slots of endpoints without a limit that the request may use.
  uint32_t UsableSlots(const slot_request& request) const;
  // Tells the caller to return when its turn among the refused ones comes.
  slot_decision Refuse(steady_time now,
                       const slot_request& request,
                       duration expected_wait);

  endpoint_limits* limits_;
  std::map<uint32_t, endpoint_state> endpoints_;  // By LoadKey().
  std::map<uint32_t, endpoint_id> endpoint_ids_;
  std::map<service_id, service_state> services_;
  // Refused because the queue was full.
  std::vector<queued_slot_decision> dropped_;
  // Endpoints, by LoadKey(), with requests of a host.
  std::map<std::string, std::set<uint32_t>> host_endpoints_;
  leaving_endpoints leaving_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_SLOT_ALLOCATOR_H_
