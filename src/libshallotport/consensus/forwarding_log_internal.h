#ifndef SHALLOTPORT_CONSENSUS_FORWARDING_LOG_INTERNAL_H_
#define SHALLOTPORT_CONSENSUS_FORWARDING_LOG_INTERNAL_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random_source.h"
#include "consensus/blocking_reply.h"
#include "consensus/forwarding_log.h"
#include "consensus/forwarding_message.h"
#include "consensus/member_selector.h"
#include "consensus/replica.h"

namespace shallotport {

// State of one call across its attempts.
struct call_progress {
  bool may_be_proposed = false;
  host_id target;
  duration backoff = std::chrono::milliseconds(10);
  error last_error = MakeError(error_kind::kNotLeader, "no member answered");
};

// Implements forwarding_log: the calls of this host (forwarding_log.cc) and the
// calls that other hosts forward (forwarding_service.cc). Shared, because
// replies of the local member may arrive after the forwarding_log is destroyed.
class forwarding_log::implementation
    : public std::enable_shared_from_this<implementation> {
 public:
  implementation(forwarding_options options,
                 const clock_source& clock,
                 send_function send)
      : options_(std::move(options)),
        clock_(clock),
        send_(std::move(send)),
        random_(options_.seed),
        selector_(options_.host, options_.members) {
    for (uint32_t lane = options_.lanes; lane > 0; --lane) {
      free_lanes_.push_back(lane - 1);
    }
    sequences_.resize(options_.lanes);
  }

  void OnPeerMessage(const host_id& from, std::string_view bytes);
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline);
  result<std::string> Call(forwarding_request request, steady_time deadline);
  void Stop();
  host_id leader() const;
  std::vector<host_id> members() const;
  void WriteState(nlohmann::json& out) const;

 private:
  // A call that this host relays to the leader for another host.
  struct relayed_call {
    host_id requester;
    uint64_t call_id = 0;
    steady_time expires_at;
  };

  std::optional<proposal_origin> AcquireLane(steady_time deadline);
  void ReleaseLane(const proposal_origin& origin);
  std::optional<result<std::string>> Attempt(forwarding_request& request,
                                             call_progress& progress,
                                             steady_time deadline);
  void SendAttempt(const forwarding_request& request,
                   const host_id& target,
                   const std::shared_ptr<blocking_reply>& waiting);
  void SubmitLocally(const forwarding_request& request,
                     replica::reply_function reply);
  void PauseUntil(steady_time until);
  void ChooseTarget(call_progress& progress);
  void ServeRequest(const host_id& from, const forwarding_request& request);
  bool Relay(const host_id& from, const forwarding_request& request);
  bool RelayReply(forwarding_reply& reply);
  bool IsInBackoff(const host_id& host) const;
  void OnReply(forwarding_reply reply);
  bool IsStopped() const;
  uint64_t Count(uint64_t& counter, uint64_t by = 1);

  const forwarding_options options_;
  const clock_source& clock_;
  const send_function send_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool is_stopped_ = false;
  random_source random_;
  member_selector selector_;
  uint64_t next_call_id_ = 1;
  std::vector<uint32_t> free_lanes_;
  std::vector<uint64_t> sequences_;
  std::map<uint64_t, std::shared_ptr<blocking_reply>> waiting_calls_;
  std::map<uint64_t, relayed_call> relayed_calls_;  // By this host's call id.

  uint64_t calls_ = 0;
  uint64_t attempts_ = 0;
  uint64_t served_ = 0;
  uint64_t unanswered_ = 0;
  uint64_t relayed_ = 0;
  uint64_t unknown_replies_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_FORWARDING_LOG_INTERNAL_H_
