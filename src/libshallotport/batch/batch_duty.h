#ifndef SHALLOTPORT_BATCH_BATCH_DUTY_H_
#define SHALLOTPORT_BATCH_BATCH_DUTY_H_

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/duty_thread.h"
#include "batch/batch_calls.h"
#include "batch/batch_sender.h"
#include "batch/job_client.h"
#include "batch/online_counts.h"
#include "batch/window_ownership.h"
#include "batch/yield_notifier.h"
#include "membership/endpoint_record.h"
#include "transport/peer_message.h"

namespace shallotport {

struct batch_duty_options {
  host_id host;
  incarnation started = 0;
  batch_sender_settings sender;
  ownership_settings ownership;
  uint64_t seed = 1;
};

// A configured service whose items this host may send.
struct batch_service {
  service_id id;
  window_settings window;
};

// Runs this host's batch_sender on a thread of its own, with worker threads for
// calls that block. Public functions are thread-safe and do not block, but for
// Start(), Stop() and WriteState(). A message lost because the ring is full is
// made good by a later one.
class batch_duty {
 public:
  // Sends a datagram on peer_channel::kBatchYield.
  using notice_sender =
      std::function<void(const host_id& to, std::string payload)>;

  // All references must outlive the duty.
  batch_duty(const batch_duty_options& options,
             const clock_source& clock,
             replicated_log& log,
             batch_calls& calls,
             item_claims& claims,
             notice_sender send);
  ~batch_duty();

  void Start();
  // Stops the threads. All calls must have been cancelled before.
  void Stop();

  // Leases no more items and returns those not started.
  void BeginDrain() { Push(drain_request{}); }
  // Cancels the streams of idempotent services; while draining their items are
  // returned.
  void CancelRunning() { Push(cancel_request{}); }
  bool IsDrained() const { return is_drained_; }

  void UpdateEndpoint(endpoint_record record) { Push(std::move(record)); }
  void RemoveEndpoint(endpoint_id id) { Push(std::move(id)); }
  // The live hosts of this failure domain, including this host.
  void SetHosts(std::vector<host_id> hosts) { Push(std::move(hosts)); }
  void SetServices(std::vector<batch_service> services) {
    Push(std::move(services));
  }
  // A message of peer_channel::kBatchYield.
  void OnPeerMessage(peer_message message);

  // Begin, first byte and end of an online request that this host sent to the
  // endpoint.
  void OnOnlineStarted(const endpoint_id& endpoint);
  void OnOnlineFirstByte(const endpoint_id& endpoint, duration first_byte);
  void OnOnlineEnded(const endpoint_id& endpoint);

  // Waits up to 2 s for the duty's thread; leaves `out` unchanged if it does
  // not reply.
  void WriteState(nlohmann::json& out);

 private:
  struct wake_up {};
  struct drain_request {};
  struct cancel_request {};
  struct lease_reply {
    result<leased_work> reply;
  };
  struct record_reply {
    result<results_recorded> reply;
  };
  struct renewal_reply {
    result<lease_changes> reply;
  };
  struct poll_reply {
    result<lease_changes> reply;
  };
  struct claim_reply {
    item_ref item;
    item_claim_reply reply;
  };
  using state_request = std::function<void(const batch_duty& duty)>;
  using message = std::variant<wake_up,
                               drain_request,
                               cancel_request,
                               lease_reply,
                               record_reply,
                               renewal_reply,
                               poll_reply,
                               claim_reply,
                               batch_call_end,
                               endpoint_record,
                               endpoint_id,
                               std::vector<host_id>,
                               std::vector<batch_service>,
                               peer_message,
                               state_request>;
  using worker = duty_thread<std::function<void()>>;
  static constexpr size_t kClaimWorkers = 4;

  // For messages that must arrive. Their number is bounded by the requests and
  // calls in flight.
  void Push(message each);
  // For messages that may be dropped; leaves space in the ring for the others.
  bool TryPush(message each);

  void On(steady_time now, const wake_up& each);
  void On(steady_time now, const drain_request& each);
  void On(steady_time now, const cancel_request& each);
  void On(steady_time now, const lease_reply& each);
  void On(steady_time now, const record_reply& each);
  void On(steady_time now, const renewal_reply& each);
  void On(steady_time now, const poll_reply& each);
  void On(steady_time now, const claim_reply& each);
  void On(steady_time now, const batch_call_end& each);
  void On(steady_time now, const endpoint_record& each);
  void On(steady_time now, const endpoint_id& each);
  void On(steady_time now, const std::vector<host_id>& each);
  void On(steady_time now, const std::vector<batch_service>& each);
  void On(steady_time now, const peer_message& each);
  void On(steady_time now, const state_request& each);

  steady_time OnTimer(steady_time now);
  void TakeOnlineCounts(steady_time now);
  void UpdateEndpointView(steady_time now);
  batch_endpoint MakeEndpointView(steady_time now,
                                  const endpoint_record& record) const;

  void Execute(const start_batch_call& action);
  void Execute(const cancel_batch_call& action);
  void Execute(const request_lease& action);
  void Execute(const request_record& action);
  void Execute(const request_lease_renewal& action);
  void Execute(const request_revocations& action);
  void Execute(const begin_item_claim& action);
  void Execute(const finish_item_claim& action);
  void Execute(const release_item_claim& action);
  void Execute(const abandon_item_claim& action);
  worker& ClaimWorker(const item_ref& item);

  const batch_duty_options options_;
  const clock_source& clock_;
  job_client client_;
  batch_calls& calls_;
  item_claims& claims_;
  const notice_sender send_;

  online_counts online_;
  std::atomic<bool> is_drained_{false};

  // Accessed on the duty's thread only.
  batch_sender sender_;
  window_ownership ownership_;
  yield_notifier notifier_;
  std::map<endpoint_id, endpoint_record> records_;
  std::map<service_id, window_settings> services_;
  bool is_view_stale_ = true;
  steady_time next_view_update_at_;
  uint64_t notices_sent_ = 0;
  uint64_t notices_received_ = 0;

  worker lease_worker_;
  worker record_worker_;
  worker renewal_worker_;
  worker poll_worker_;
  std::array<std::unique_ptr<worker>, kClaimWorkers> claim_workers_;
  duty_thread<message> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_BATCH_DUTY_H_
