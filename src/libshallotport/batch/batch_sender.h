#ifndef SHALLOTPORT_BATCH_BATCH_SENDER_H_
#define SHALLOTPORT_BATCH_BATCH_SENDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random_source.h"
#include "base/result.h"
#include "batch/batch_sender_messages.h"
#include "batch/batch_window.h"
#include "batch/item_queue.h"
#include "batch/job_client.h"

namespace shallotport {

struct batch_sender_settings {
  duration lease = std::chrono::seconds(12);
  duration renew_interval = std::chrono::seconds(4);
  // How often the sender queries which items were revoked.
  duration poll_interval = std::chrono::milliseconds(500);
  // Without a confirmation of the lease for this long, none of its items is
  // started: a cancelled job stops within this time also on a host that cannot
  // reach the log.
  duration freshness = std::chrono::seconds(2);
  uint32_t max_lease_items = 128;
  uint32_t record_group = 32;
  duration record_delay = std::chrono::milliseconds(100);
  // Bounds on results that are not recorded yet.
  size_t max_held_results = 4096;
  size_t max_held_bytes = 32u << 20;
  uint32_t max_refusals = 10;  // Per item and lease, before it is returned.
};

// Sends one host's share of the batch work: leases items from the job catalogue
// for the endpoints whose windows this host owns, keeps their number within
// those windows and records the results. A pure state machine without I/O:
// batch_duty owns it, executes its actions on its thread and returns the
// replies. Each request gets exactly one reply.
//
// A lease counts from the time of its request. When it expires by this host's
// clock, no more of its items are started and its streams are cancelled;
// results that exist already are kept and still sent for recording.
class batch_sender {
 public:
  using actions = std::vector<batch_action>;

  batch_sender(host_id self,
               incarnation started,
               const batch_sender_settings& settings,
               uint64_t seed);

  // All endpoints of the failure domain; replaces the previous ones.
  void SetEndpoints(steady_time now, std::span<const batch_endpoint> endpoints);
  void OnReport(steady_time now,
                const endpoint_id& endpoint,
                const load_report& report);
  void OnOnline(steady_time now,
                const endpoint_id& endpoint,
                const host_id& source,
                incarnation source_incarnation,
                const online_count& count);
  void OnOnlineLatency(steady_time now,
                       const endpoint_id& endpoint,
                       duration first_byte);

  // Replies to requests, and ends of calls.
  void OnLeased(steady_time now, const result<leased_work>& reply);
  void OnRecorded(steady_time now, const result<results_recorded>& reply);
  void OnRenewed(steady_time now, const result<lease_changes>& reply);
  void OnRevocations(steady_time now, const result<lease_changes>& reply);
  void OnClaim(steady_time now,
               const item_ref& item,
               item_claim claim,
               const std::string& answer);
  void OnCallEnd(steady_time now, batch_call_end end);

  // Graceful stop: leases no more items and returns those not started.
  void BeginDrain() { is_draining_ = true; }
  // Cancels all streams of idempotent services.
  void CancelRunning();
  // No call is in flight, and all results are recorded or cannot be recorded
  // while draining.
  bool IsDrained() const;

  // Returns the actions to execute. Call it after each input and at
  // NextTimer().
  actions Step(steady_time now);
  steady_time NextTimer(steady_time now) const;

  void WriteState(nlohmann::json& out) const;

 private:
  enum class item_phase : uint8_t { kQueued, kDelayed, kClaiming, kCalling };

  struct held_item {
    lease_epoch epoch = 0;
    std::shared_ptr<const leased_job> job;
    std::string body;
    partial_answer partial;
    prefix_hash prefix = 0;
    uint32_t refusals = 0;
    bool is_suspect = false;
    item_phase phase = item_phase::kQueued;
    batch_call call = 0;
    steady_time delayed_until;
  };

  // An in-flight call.
  struct running_call {
    item_ref item;
    lease_epoch epoch = 0;
    std::shared_ptr<const leased_job> job;
    endpoint_id endpoint;
    incarnation started = 0;
    bool is_suspect = false;
    bool is_cancelling = false;
    bool is_result_discarded = false;  // The item was revoked.
  };

  struct endpoint_state {
    batch_endpoint endpoint;
    batch_window window;
    std::vector<batch_call> calls{};  // Oldest first.
    uint32_t claiming = 0;            // Items being claimed for this endpoint.
    std::optional<prefix_hash> prefix{};
    steady_time backoff_until{};  // After the endpoint died.
  };

  struct held_lease {
    steady_time expires_at;
    // Request time of the last successful reply that covered the lease.
    steady_time confirmed_at;
  };

  // A renewal or revocations query in flight.
  struct lease_query {
    steady_time requested_at;
    std::vector<lease_epoch> epochs;
  };

  struct retry_backoff {
    uint32_t failures = 0;
    steady_time until;
  };

  // Leases and results (batch_sender.cc).
  void RemoveExpiredLeases(steady_time now);
  void ApplyChanges(const lease_changes& changes);
  void Confirm(const lease_query& query);
  void RemoveIdleLeases();
  void DropItem(const item_ref& item);
  void AddLease(steady_time now, const leased_work& work);
  void RequestItems(steady_time now);
  void RequestLeaseChanges(steady_time now);
  void RequestRecording(steady_time now);
  void AddResult(steady_time now,
                 const item_ref& item,
                 lease_epoch epoch,
                 item_outcome outcome,
                 error_kind kind,
                 std::string body);
  void ReturnQueued(steady_time now);
  bool IsFull() const;
  bool HoldsLease(steady_time now, lease_epoch epoch) const;
  std::vector<lease_epoch> HeldEpochs() const;
  void BackOff(retry_backoff& backoff, steady_time now);

  // Calls (batch_dispatch.cc).
  void Dispatch(steady_time now);
  void DispatchTo(steady_time now, endpoint_state& state);
  bool StartNext(steady_time now, endpoint_state& state);
  void Start(steady_time now,
             endpoint_state& state,
             const item_ref& ref,
             held_item& item);
  void YieldExcess(steady_time now);
  void CancelCall(batch_call call, running_call& running);
  void CancelAll(const endpoint_state& state);
  void Enqueue(const item_ref& ref, held_item& item, bool at_front);
  void Postpone(steady_time now, const item_ref& ref, held_item& item);
  void ReleaseDelayed(steady_time now);
  void RemoveFromEndpoint(steady_time now,
                          batch_call call,
                          const running_call& running,
                          call_outcome outcome);
  bool HasRestarted(const running_call& running) const;
  void SettleClaim(const running_call& running, const batch_call_end& end);
  void FinishCall(steady_time now,
                  const running_call& running,
                  const batch_call_end& end);
  void FinishWithUnknownOutcome(steady_time now, const running_call& running);
  void BeginClaim(endpoint_state& state, const item_ref& ref, held_item& item);
  void StartClaimed(steady_time now,
                    const item_ref& ref,
                    held_item& item,
                    const begin_item_claim& claim);
  std::optional<item_ref> PopFor(const endpoint_state& state);
  uint32_t AvailableStarts(steady_time now, endpoint_state& state);

  const host_id self_;
  const incarnation started_;
  const batch_sender_settings settings_;
  random_source random_;
  actions actions_;

  std::map<endpoint_id, endpoint_state> endpoints_;
  std::map<service_id, item_queue> queues_;
  std::map<item_ref, held_item> items_;
  std::map<batch_call, running_call> calls_;
  std::map<lease_epoch, held_lease> leases_;
  batch_call last_call_ = 0;

  std::deque<item_result> results_;
  std::vector<item_result> recording_;
  size_t held_bytes_ = 0;
  steady_time oldest_result_at_;

  // Requests in flight.
  std::optional<steady_time> lease_requested_at_;
  std::optional<lease_query> renewal_query_;
  std::optional<lease_query> poll_query_;
  std::map<item_ref, begin_item_claim> claiming_;
  std::map<service_id, steady_time> no_items_until_;
  service_id requested_service_;
  steady_time next_poll_;
  steady_time next_renewal_;
  retry_backoff lease_backoff_;
  retry_backoff record_backoff_;
  bool is_draining_ = false;

  struct sender_counters {
    uint64_t started = 0;
    uint64_t resumed = 0;
    uint64_t finished = 0;
    uint64_t yielded = 0;
    uint64_t revoked = 0;
    uint64_t recorded = 0;
    uint64_t duplicates = 0;
    uint64_t expired_leases = 0;
    uint64_t prefix_hits = 0;
  };
  sender_counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_BATCH_SENDER_H_
