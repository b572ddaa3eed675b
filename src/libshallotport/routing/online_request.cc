#include "routing/online_request.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotport {

namespace {

// How long an attempt under a claim may continue after the deadline, so that
// its response is recorded for the caller's resend.
constexpr duration kRecordingGrace{10'000'000};
// Shortest time from a refused route to the next request for one, beside an
// overdue attempt.
constexpr duration kMinReplacementDelay{500'000};
constexpr steady_time kNever = steady_time::max();
// HTTP status codes from this one on mean that the endpoint failed.
constexpr int kFirstServerErrorStatus = 500;

}  // namespace

online_request::online_request(online_request_options options)
    : options_(std::move(options)) {}

std::vector<online_action> online_request::Start(steady_time now) {
  now_ = now;
  RequestRoute(false, false);
  return std::exchange(actions_, {});
}

std::vector<online_action> online_request::Handle(steady_time now,
                                                  online_event event) {
  now_ = now;
  if (phase_ != phase::kDone) {
    std::visit([this](const auto& value) { On(value); }, event);
  }
  // A busy handler thread may deliver events past the timer without ever
  // calling Handle() for the timer itself.
  if (now >= next_timer()) {
    On(timer_expired{});
  }
  return std::exchange(actions_, {});
}

steady_time online_request::next_timer() const {
  if (phase_ == phase::kEnding || phase_ == phase::kDone) {
    return kNever;
  }
  steady_time next = options_.deadline;
  for (const live_attempt& attempt : attempts_) {
    next = std::min(next, TimeoutOf(attempt));
  }
  if (IsHedgePossible()) {
    next = std::min(next, attempts_.front().started_at + options_.hedge_after);
  }
  if (IsReplacementPossible()) {
    next = std::min(next, next_replacement_at_);
  }
  if (phase_ == phase::kQuerying && !is_outcome_query_pending_) {
    next = std::min(next, next_outcome_query_at_);
  }
  if (IsEarlyQueryPossible()) {
    next = std::min(next, EarlyQueryTime());
  }
  return next;
}

void online_request::On(const route_decided& event) {
  is_route_pending_ = false;
  if (!IsOk(event.choice)) {
    if (phase_ == phase::kEnding) {
      Finish();
      return;
    }
    OnRouteRefused(ErrorOf(event.choice));
    return;
  }
  const route_choice& route = ValueOf(event.choice);
  if (phase_ == phase::kEnding) {
    ReportUnused(route);
    Finish();
    return;
  }
  const bool is_hedge = attempts_.size() == 1 && !attempts_.front().has_byte;
  if (!AreAllOverdue() && !is_hedge) {  // An attempt went on meanwhile.
    ReportUnused(route);
    return;
  }
  if (now_ >= options_.deadline) {
    ReportUnused(route);
    OnDeadline();
    return;
  }
  UseRoute(route);
}

void online_request::UseRoute(const route_choice& route) {
  if (!CanContinueOn(route)) {
    ReportUnused(route);
    if (!attempts_.empty()) {
      // Each further route would cost a retry for a similar endpoint.
      next_replacement_at_ = options_.deadline;
      return;
    }
    Fail(MakeError(error_kind::kEndpointFailed,
                   "the stream broke and is too long to restart"));
    return;
  }
  last_route_ = route;
  if (!UsesClaim()) {
    if (attempts_.size() > 1) {
      // Both are overdue. The first one has run for longer.
      EndAttempt(attempts_.back().number, attempt_outcome::kTimedOut, true);
    }
    StartAttempt(route);
    return;
  }
  phase_ = phase::kClaiming;
  is_claim_pending_ = true;
  actions_.push_back(begin_claim{route.endpoint, route.started});
}

void online_request::OnRouteRefused(const error& reason) {
  if (!attempts_.empty()) {
    next_replacement_at_ =
        now_ + std::max<duration>(kMinReplacementDelay, reason.retry_after);
    return;
  }
  retry_after_ = std::max(retry_after_, reason.retry_after);
  Fail(possibly_executed_attempts_ > 0 ? MakeFailure() : reason);
}

void online_request::On(const claim_decided& event) {
  is_claim_pending_ = false;
  // Without a quorum the outcome is open: the claim may still commit.
  holds_claim_ = event.decision == claim_decision::kGranted ||
                 (event.decision == claim_decision::kRefused &&
                  event.reason.kind == error_kind::kNoQuorum);
  if (phase_ == phase::kEnding) {
    Finish();
    return;
  }
  if (event.decision == claim_decision::kGranted && now_ < options_.deadline) {
    StartAttempt(last_route_);
    return;
  }
  ReportUnused(last_route_);
  switch (event.decision) {
    case claim_decision::kGranted:
      OnDeadline();
      return;
    case claim_decision::kRecorded:
      SendToCaller(respond_recorded{event.recorded});
      is_caller_done_ = true;
      Finish();
      return;
    case claim_decision::kRefused:
      Fail(event.reason);
      return;
  }
}

void online_request::On(const attempt_head& event) {
  live_attempt* attempt = FindAttempt(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  const bool is_crossed = event.echoed_id != attempt->id.text();
  const bool is_server_error =
      options_.is_idempotent && event.http_status >= kFirstServerErrorStatus;
  attempt->has_head = true;
  attempt->head = event;
  const bool breaks_stream = is_head_sent_ && !IsStreaming(*attempt);
  if (is_crossed || is_server_error || breaks_stream) {
    OnAttemptFailed(event.attempt, attempt_outcome::kFailed, false);
  }
}

void online_request::On(const attempt_chunk& event) {
  live_attempt* attempt = FindAttempt(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  if (!attempt->has_head) {
    OnAttemptFailed(event.attempt, attempt_outcome::kFailed, false);
    return;
  }
  if (!AcceptPosition(*attempt, event)) {
    return;
  }
  if (!attempt->has_byte) {
    attempt->has_byte = true;
    actions_.push_back(report_first_byte{attempt->route.ticket});
  }
  attempt->last_byte_at = now_;
  if (options_.is_idempotent) {
    attempt->is_overdue = false;
  }
  if (IsStreaming(*attempt)) {
    DeliverChunk(*attempt, event.bytes);
    return;
  }
  attempt->body += event.bytes;
  CancelAttempts(attempt_outcome::kCancelled, event.attempt);
}

void online_request::On(const attempt_ended& event) {
  live_attempt* attempt = FindAttempt(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  const bool is_complete =
      event.end == attempt_end_kind::kComplete && attempt->has_head;
  if (is_complete && IsStreaming(*attempt)) {
    CompleteStream(*attempt);
    return;
  }
  if (is_complete) {
    endpoint_response response{attempt->head.http_status,
                               attempt->head.content_type,
                               std::move(attempt->body)};
    EndAttempt(event.attempt, attempt_outcome::kOk, false);
    CompleteResponse(std::move(response));
    return;
  }
  const bool is_refusal = event.end == attempt_end_kind::kRefusedNotExecuted;
  const bool is_proven_not_executed =
      !attempt->has_byte &&
      (is_refusal || event.end == attempt_end_kind::kNotSent);
  retry_after_ = std::max(
      retry_after_,
      std::chrono::duration_cast<std::chrono::milliseconds>(event.retry_after));
  OnAttemptFailed(event.attempt,
                  is_refusal ? attempt_outcome::kRefusedNotExecuted
                             : attempt_outcome::kFailed,
                  is_proven_not_executed);
}

void online_request::On(const outcome_received& event) {
  is_outcome_query_pending_ = false;
  // A reply about an earlier attempt says nothing about the current one.
  const bool is_stale = std::exchange(is_outcome_query_stale_, false);
  if (phase_ != phase::kQuerying) {
    return;
  }
  if (is_stale) {
    QueryOutcome();
    return;
  }
  switch (event.outcome) {
    case outcome_query_result::kAnswered:
      CompleteResponse(event.response);
      return;
    case outcome_query_result::kInProgress:
      // Queries again at next_outcome_query_at_ if that is before the deadline.
      if (attempts_.empty() && next_outcome_query_at_ >= options_.deadline) {
        OnDeadline();
      }
      return;
    case outcome_query_result::kNotExecuted:
      possibly_executed_attempts_ = 0;
      CancelAttempts(attempt_outcome::kTimedOut, 0);
      RetryOrFail(true);
      return;
    case outcome_query_result::kUnknown:
      if (!attempts_.empty() && !attempts_.front().is_overdue) {
        return;  // The request may still be in transit to the endpoint.
      }
      Fail(MakeFailure());
      return;
  }
}

void online_request::On(const caller_disconnected& /*event*/) {
  if (is_caller_done_) {
    return;
  }
  is_caller_done_ = true;
  const bool is_sent =
      phase_ == phase::kAttempting || phase_ == phase::kQuerying;
  if (UsesClaim() && is_sent) {
    return;  // The caller may resend and get the recorded response.
  }
  Finish();
}

void online_request::On(const timer_expired& /*event*/) {
  if (phase_ == phase::kEnding) {
    return;
  }
  if (now_ >= options_.deadline) {
    OnDeadline();
    return;
  }
  const auto timed_out = std::find_if(
      attempts_.begin(), attempts_.end(),
      [this](const live_attempt& attempt) { return IsTimedOut(attempt); });
  if (timed_out != attempts_.end()) {
    OnOverdue(*timed_out);
    return;
  }
  if (IsHedgePossible() &&
      now_ >= attempts_.front().started_at + options_.hedge_after) {
    was_hedged_ = true;
    RequestRoute(false, true);
  }
  RequestReplacement();
  const bool is_query_due = phase_ == phase::kQuerying &&
                            !is_outcome_query_pending_ &&
                            now_ >= next_outcome_query_at_;
  const bool is_early_query_due =
      IsEarlyQueryPossible() && now_ >= EarlyQueryTime();
  if (is_query_due || is_early_query_due) {
    phase_ = phase::kQuerying;
    QueryOutcome();
  }
}

void online_request::OnDeadline() {
  const bool can_record =
      UsesClaim() && !is_caller_done_ &&
      (phase_ == phase::kAttempting || phase_ == phase::kQuerying);
  if (!can_record) {
    Fail(MakeError(possibly_executed_attempts_ > 0
                       ? error_kind::kDeadlineExceeded
                       : error_kind::kDeadlineUnreachable,
                   "no answer within the deadline"));
    return;
  }
  SendToCaller(respond_error{
      error{error_kind::kDeadlineExceeded,
            "no answer within the deadline; resend with the same key",
            std::chrono::milliseconds(1'000)},
      false});
  is_caller_done_ = true;
  options_.deadline = now_ + kRecordingGrace;
}

void online_request::WriteState(nlohmann::json& out) const {
  out["id"] = options_.id.text();
  out["phase"] = static_cast<int>(phase_);
  out["attempts_started"] = attempts_started_;
  out["attempts_live"] = attempts_.size();
  out["holds_claim"] = holds_claim_;
  out["is_answered"] = is_caller_done_;
  out["delivered_tokens"] = delivered_tokens_;
}

}  // namespace shallotport
