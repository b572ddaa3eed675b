#ifndef SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_
#define SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "entry/attempt_policy.h"
#include "entry/endpoint_attempt.h"
#include "entry/entry_duty.h"
#include "entry/response_flow.h"
#include "entry/resumption_policy.h"
#include "poison/request_traits.h"

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
  // Fails the request when its deadline has passed, and begins a second attempt
  // beside one whose endpoint is silent.
  void Tick(steady_time now);
  // This process did not run for `gap` until now: no silence of an endpoint.
  void ExcuseStall(duration gap, steady_time now);

 private:
  using attempt_ptr = std::shared_ptr<endpoint_attempt>;

  // Whether the caller resumes a stream of an earlier request of its own.
  bool IsTakenUp() const;
  bool IsResumable() const;
  // Whether the endpoint may run another version than the one that was
  // selected, which matters where a stream is joined from several attempts.
  bool HasUnknownVersion(const endpoint_attempt& attempt) const;
  void FindOrigin();
  void OnOriginFound(const found_origin& found);
  // `is_view_current`: this host has heard of all endpoints.
  void ResumeAt(const found_origin& found, bool is_view_current);
  void RejectResumption(const resumption_decision& decision,
                        const resumption_facts& facts);
  // Records where the stream begins; before the caller sees its first event.
  void RecordOrigin(const selected_endpoint& at, bool at_once);
  // Selects an endpoint, or requests a slot if slots of the service are scarce.
  // The attempt is a second one if another is under way.
  void StartAttempt();
  queued_slot_request MakeDemand(
      steady_time now,
      const selection_constraints& constraints) const;
  void OnSlotReply(const slot_reply& reply);
  void StartAttemptAtOwnSelection();
  // Endpoints that the request may return to have no slot: they are asked again
  // a little later. False if there are none, or after too long a time.
  bool DeferReturn();
  // Endpoints that executed the request or may have, those at work included.
  uint32_t Executions() const;
  // Whether an endpoint is left that the request may return to.
  bool MayReturn() const;
  attempt_history History() const;
  observed_attempt Observed(const endpoint_attempt& attempt) const;
  // The constraints of the request, and those by its attempts so far.
  selection_constraints CurrentConstraints() const;
  void SendTo(selected_endpoint endpoint);
  std::string FormatAttempt(const selected_endpoint& at, steady_time now) const;
  void OnHead(const attempt_ptr& attempt, response_head head);
  void OnBody(const attempt_ptr& attempt, std::string_view bytes);
  // Sends events of a stream on to the caller.
  void SendOn(const attempt_ptr& attempt, const std::string& events);
  // Reads the response at the pace of the caller.
  void Apply(flow_action action);
  void OnEnd(const attempt_ptr& attempt, call_end end);
  void OnCompleteResponse(const attempt_ptr& attempt);
  void OnAttemptFailed(const attempt_ptr& attempt,
                       attempt_result outcome,
                       endpoint_outcome end);
  // As OnAttemptFailed(), for a response that is not, or not any more, usable.
  void OnFaultyResponse(const attempt_ptr& attempt, attempt_fault fault);
  // Ends the other attempt, if any.
  void KeepOnly(const attempt_ptr& attempt);
  // Cancels the attempt's call if it has not ended.
  void EndAttempt(endpoint_attempt& attempt, endpoint_outcome end);
  // Whether `current_` is silent and may be executed once more beside it.
  bool NeedsSecond(steady_time now) const;
  void BeginSecondIfSilent(steady_time now);
  // No endpoint took it.
  void DeferSecondAttempt();
  // At the moment at which it becomes too long, however late the next tick is.
  void ScheduleOverlapEnd(steady_time now);
  void EndLongOverlap(steady_time now);
  void BeginResponse(const endpoint_attempt& attempt);
  // Later attempts have to resume the stream that begins with this one.
  void FixVersion(const endpoint_attempt& attempt);

  void Refuse(error_kind kind);
  void RefuseUntil(error_kind kind, int64_t retry_after_ms);
  // Endpoints crash under it or under a part of its prompt.
  void RefusePoison();
  void SendRefusal(std::string_view reason, int64_t retry_after_ms);
  void Fail(int status, std::string_view reason);
  void ForwardFailure(const endpoint_attempt& attempt);
  void AbortStream(std::string_view reason);
  void Finish();
  header_list ResponseHeaders(const endpoint_attempt& attempt) const;
  void Log(std::string_view event, std::string_view reason, int status);

  entry_duty& duty_;
  const route route_;  // As it was when the request arrived.
  const uint64_t version_;
  caller_request request_;
  std::shared_ptr<http_exchange> caller_;
  const steady_time received_at_;
  steady_time deadline_{};  // By the route's timeout or the caller's limit.
  service_id service_;
  const uint64_t stream_key_;
  const request_traits traits_;
  std::optional<std::string> recorded_version_;  // Of the stream's origin.

  // Its response goes to the caller. Null before the first attempt, and between
  // attempts.
  attempt_ptr current_;
  attempt_ptr second_;  // Begun while `current_` is silent.
  steady_time next_second_at_{};
  boost::asio::steady_timer overlap_timer_;
  duration max_overlap_{};  // Of the attempts under way.
  // Refused a second attempt; may be free when the first one has failed.
  std::set<endpoint_id> full_for_second_;
  selection_constraints constraints_;
  endpoint_id last_endpoint_;
  // Endpoints of ended attempts that were executed, or may have been.
  std::set<endpoint_id> executed_at_;
  // Of these, the ones whose attempt was ended in favor of another one: they
  // have not failed, and the request may return to them.
  std::set<endpoint_id> displaced_;
  std::optional<steady_time> next_return_at_;
  std::optional<steady_time> last_return_at_;  // No later one is tried.
  uint32_t refusals_ = 0;  // Ended attempts that were not executed.
  uint32_t attempts_ = 0;  // Of any kind.
  bool is_awaiting_slot_ = false;
  uint64_t slot_ticket_ = 0;  // Of the slot that is awaited.
  // Since the caller's first attempt, as far as is known.
  std::chrono::milliseconds elapsed_before_{0};

  response_flow flow_;
  bool has_response_begun_ = false;
  std::string last_event_id_;
  bool is_finished_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ROUTED_EXCHANGE_H_
