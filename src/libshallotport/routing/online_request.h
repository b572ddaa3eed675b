#ifndef SHALLOTPORT_ROUTING_ONLINE_REQUEST_H_
#define SHALLOTPORT_ROUTING_ONLINE_REQUEST_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "routing/online_request_messages.h"

namespace shallotport {

// State machine of one online request at its entry host, from admission to the
// final response. Does no I/O: the handler thread of the request passes events
// to it, performs the returned actions in order, and calls it with
// timer_expired at next_timer().
//
// Guarantees:
// - The caller gets exactly one response, complete and to its own request, or
//   exactly one error.
// - A non-idempotent request is sent only under a granted claim, or once if it
//   has no key. It is sent again only with proof that it was not executed.
// - A request that has failed is responded to at once, not at its deadline.
// - An idempotent request's attempt that is silent is kept until another one
//   has output for the caller, or until the deadline.
class online_request {
 public:
  explicit online_request(online_request_options options);

  // Must be called once, before any other function.
  std::vector<online_action> Start(steady_time now);

  std::vector<online_action> Handle(steady_time now, online_event event);

  // Latest time at which to call Handle() with timer_expired.
  steady_time next_timer() const;

  // True once the request_done action was returned.
  bool is_done() const { return phase_ == phase::kDone; }

  void WriteState(nlohmann::json& out) const;

 private:
  enum class phase : uint8_t {
    kRouting,     // Waits for a route; no attempt in flight.
    kClaiming,    // Waits for the claim; no attempt in flight.
    kAttempting,  // At least one attempt is in flight.
    kQuerying,    // Response lost or late; queries the endpoint for it.
    kEnding,      // Caller done; waits for a pending route or claim.
    kDone,
  };

  // An attempt in flight.
  struct live_attempt {
    attempt_number number = 0;
    attempt_id id;
    route_choice route;
    steady_time started_at;
    steady_time last_byte_at;
    bool has_head = false;
    bool has_byte = false;
    bool is_overdue = false;  // Timed out; kept, as it may still respond.
    attempt_head head;
    std::string body;             // Content of a response that is not streamed.
    uint64_t next_position = 0;   // Token index; skipped ones count.
    uint64_t content_offset = 0;  // In bytes; skipped ones count.
  };

  void On(const route_decided& event);
  void On(const claim_decided& event);
  void On(const attempt_head& event);
  void On(const attempt_chunk& event);
  void On(const attempt_ended& event);
  void On(const outcome_received& event);
  void On(const caller_disconnected& event);
  void On(const timer_expired& event);

  bool UsesClaim() const { return !options_.is_idempotent && options_.has_key; }
  bool IsStreaming(const live_attempt& attempt) const;
  bool IsHedgePossible() const;
  bool AreAllOverdue() const;
  bool IsReplacementPossible() const;
  bool IsTimedOut(const live_attempt& attempt) const;
  steady_time TimeoutOf(const live_attempt& attempt) const;
  live_attempt* FindAttempt(attempt_number number);
  bool MayRetry(bool is_proven_not_executed) const;
  bool CanContinueOn(const route_choice& route) const;

  void RequestRoute(bool is_retry, bool is_hedge);
  void RequestReplacement();
  void OnRouteRefused(const error& reason);
  void UseRoute(const route_choice& route);
  void ReportUnused(const route_choice& route);
  void StartAttempt(const route_choice& route);
  void EndAttempt(attempt_number number, attempt_outcome outcome, bool cancel);
  void CancelAttempts(attempt_outcome outcome, attempt_number except);
  void OnAttemptFailed(attempt_number number,
                       attempt_outcome outcome,
                       bool is_proven_not_executed);
  void RetryOrFail(bool is_proven_not_executed);
  void OnResponseLost(const route_choice& route);
  void OnOverdue(live_attempt& attempt);
  bool IsEarlyQueryPossible() const;
  steady_time EarlyQueryTime() const;
  void QueryOutcome();
  bool AcceptPosition(live_attempt& attempt, const attempt_chunk& chunk);
  void DeliverChunk(live_attempt& attempt, std::string_view bytes);
  void OnStreamDiffers(attempt_number number, std::string_view reason);
  void Deliver(std::string_view bytes);
  void CompleteStream(live_attempt& attempt);
  void CompleteResponse(endpoint_response response);
  void OnDeadline();
  void Fail(error failure);
  error MakeFailure() const;
  void SendToCaller(online_action action);
  void ConcludeClaim();
  void Finish();

  online_request_options options_;
  phase phase_ = phase::kRouting;
  steady_time now_;
  std::vector<online_action> actions_;

  std::vector<live_attempt> attempts_;
  attempt_number attempts_started_ = 0;
  uint32_t possibly_executed_attempts_ = 0;  // Sent, no proof of not_run.
  bool was_hedged_ = false;
  std::vector<endpoint_id> attempted_endpoints_;
  bool is_route_pending_ = false;    // request_route has no reply yet.
  steady_time next_replacement_at_;  // After a refused route.
  bool is_claim_pending_ = false;    // begin_claim has no reply yet.
  bool holds_claim_ = false;
  route_choice last_route_;
  std::chrono::milliseconds retry_after_{0};  // Longest one received.
  bool is_outcome_query_pending_ = false;     // query_outcome: no reply.
  bool is_outcome_query_stale_ = false;       // Query of an earlier attempt.
  steady_time next_outcome_query_at_;

  // The caller got its final response or disconnected; from then on only the
  // claim is brought to its end.
  bool is_caller_done_ = false;
  bool is_head_sent_ = false;
  std::string delivered_;  // Content sent so far, up to kMaxRestartBytes.
  uint64_t delivered_bytes_ = 0;
  uint64_t delivered_tokens_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ONLINE_REQUEST_H_
