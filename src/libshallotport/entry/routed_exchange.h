#ifndef SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_
#define SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "entry/attempt_policy.h"
#include "entry/entry_duty.h"
#include "entry/event_splitter.h"

namespace shallotport {

// Forwards one online request from its caller to endpoints, and the response
// back. Owned by the entry duty until the response to the caller has ended;
// runs on the event loop's thread.
class routed_exchange : public std::enable_shared_from_this<routed_exchange> {
 public:
  routed_exchange(entry_duty& duty,
                  const route& matched_route,
                  caller_request request,
                  std::shared_ptr<http_exchange> caller);

  void Begin();
  // Fails the request when its deadline has passed, and retries an attempt
  // whose endpoint is unresponsive.
  void Tick(steady_time now);

 private:
  // Selects an endpoint, or requests a slot if slots of the service are scarce.
  void StartAttempt();
  slot_request MakeSlotRequest(steady_time now);
  void OnSlotReply(const slot_reply& reply);
  void StartAttemptAtOwnSelection();
  void SendTo(selected_endpoint endpoint);
  std::string FormatAttempt(const selected_endpoint& at, steady_time now) const;
  void OnHead(response_head head);
  void OnBody(std::string_view bytes);
  void OnEnd(call_end end);
  void OnCompleteResponse();
  void OnAttemptFailed(attempt_result outcome, endpoint_outcome end);
  void ReleaseEndpoint(endpoint_outcome end);
  bool IsUnresponsive(steady_time now) const;
  void BeginResponse();

  void Refuse(error_kind kind);
  void RefuseUntil(error_kind kind, int64_t retry_after_ms);
  void Fail(int status, std::string_view reason);
  void ForwardFailure();
  void AbortStream(std::string_view reason);
  void Finish();
  header_list ResponseHeaders() const;
  void Log(std::string_view event, std::string_view reason, int status);

  entry_duty& duty_;
  const route route_;  // As it was when the request arrived.
  const uint64_t version_;
  caller_request request_;
  std::shared_ptr<http_exchange> caller_;
  const steady_time received_at_;
  steady_time deadline_{};  // By the route's timeout or the caller's limit.
  service_id service_;

  std::unique_ptr<endpoint_call> call_;
  std::optional<selected_endpoint> selected_;
  selection_constraints constraints_;
  endpoint_id last_endpoint_;
  uint32_t executions_ = 0;
  uint32_t attempts_ = 0;
  bool is_awaiting_slot_ = false;
  bool has_ended_silent_attempt_ = false;
  // Since the caller's first attempt, as far as is known.
  std::chrono::milliseconds elapsed_before_{0};

  steady_time last_received_at_{};  // From the endpoint of the current attempt.
  response_head head_;              // Of the current attempt.

  std::string body_;
  bool is_stream_ = false;
  bool has_response_begun_ = false;
  event_splitter events_;
  std::string last_event_id_;
  bool is_finished_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_
