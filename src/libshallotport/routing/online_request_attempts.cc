// The attempts of an online_request: start, failure, retry, delivery, end.

#include <algorithm>
#include <utility>

#include "routing/online_request.h"

namespace shallotport {

namespace {

// Content kept to check and skip what a restarted stream repeats.
constexpr size_t kLongestRestartBytes = size_t{1} << 20;
// An answer that is not streamed may take this multiple of the expected time
// longer than the first byte of a stream.
constexpr int kWholeAnswerFactor = 2;
// A call that may not be repeated is asked for at its endpoint when it takes
// this multiple of the expected time, since its connection may be silent.
constexpr int kEarlyAskFactor = 4;
constexpr duration kEarliestAsk{250'000};
// The same while no time is known.
constexpr duration kUnknownTimeAsk{1'000'000};
// Calls are given whole milliseconds; one that ends this close to the deadline
// was ended by it.
constexpr duration kDeadlineSlack{2'000};
// Pause between two questions for the outcome of a call in progress.
constexpr duration kOutcomePollPeriod{200'000};
// Advice for errors that name no time of their own.
constexpr std::chrono::milliseconds kDefaultRetryAfter{1'000};

}  // namespace

bool online_request::IsStreaming(const attempt& call) const {
  // The answer of a call that may not be repeated is recorded whole first.
  return options_.is_stream && options_.is_idempotent &&
         call.head.http_status == 200;
}

bool online_request::IsHedgePossible() const {
  return options_.hedge_after.count() > 0 && options_.is_idempotent &&
         !was_hedged_ && !is_route_open_ && phase_ == phase::kCalling &&
         attempts_.size() == 1 && !attempts_.front().has_byte &&
         !is_head_sent_ && attempts_started_ < options_.max_attempts;
}

steady_time online_request::TimeoutOf(const attempt& call) const {
  if (call.is_overdue) {
    return steady_time::max();
  }
  if (call.has_byte) {
    return call.last_byte_at + options_.token_gap_timeout;
  }
  // The first byte of an answer that is not streamed comes with its last one.
  const bool is_streamed = options_.is_stream && options_.is_idempotent;
  const duration whole =
      is_streamed ? duration{0} : kWholeAnswerFactor * call.route.expected_time;
  return call.started_at + options_.first_byte_timeout + whole;
}

bool online_request::IsTimedOut(const attempt& call) const {
  return now_ >= TimeoutOf(call);
}

online_request::attempt* online_request::FindAttempt(attempt_number number) {
  for (attempt& call : attempts_) {
    if (call.number == number) {
      return &call;
    }
  }
  return nullptr;
}

bool online_request::MayTryAgain(bool is_proven_not_run) const {
  const bool is_safe =
      options_.is_idempotent || (is_proven_not_run && options_.has_key);
  return is_safe && !is_answered_ && now_ < options_.deadline &&
         attempts_started_ < options_.max_attempts;
}

bool online_request::CanContinueOn(const route_choice& route) const {
  return route.can_resume || delivered_.size() == delivered_bytes_;
}

void online_request::AskRoute(bool is_retry, bool is_hedge) {
  is_route_open_ = true;
  if (!is_hedge) {
    phase_ = phase::kRouting;
  }
  out_.push_back(request_route{tried_, is_retry, is_hedge});
}

void online_request::ReportUnused(const route_choice& route) {
  out_.push_back(
      report_finished{route.ticket, attempt_outcome::kUnused, duration{0}});
}

void online_request::StartAttempt(const route_choice& route) {
  attempt call;
  call.number = ++attempts_started_;
  call.id = attempt_id(options_.id.text() + "." + std::to_string(call.number));
  call.route = route;
  call.started_at = now_;
  call.last_byte_at = now_;
  if (route.can_resume) {
    call.next_position = delivered_tokens_;
    call.content_offset = delivered_bytes_;
  }
  is_outcome_stale_ = is_outcome_open_;
  ++attempts_unproven_;
  tried_.push_back(route.endpoint);
  phase_ = phase::kCalling;
  out_.push_back(
      start_attempt{call.number, call.id, route, call.next_position});
  out_.push_back(report_started{route.ticket});
  attempts_.push_back(std::move(call));
}

void online_request::EndAttempt(attempt_number number,
                                attempt_outcome outcome,
                                bool cancel) {
  const auto call = std::find_if(
      attempts_.begin(), attempts_.end(),
      [number](const attempt& other) { return other.number == number; });
  if (cancel) {
    out_.push_back(cancel_attempt{number});
  }
  out_.push_back(
      report_finished{call->route.ticket, outcome, now_ - call->started_at});
  attempts_.erase(call);
}

void online_request::CancelAttempts(attempt_outcome outcome,
                                    attempt_number except) {
  std::vector<attempt_number> others;
  for (const attempt& call : attempts_) {
    if (call.number != except) {
      others.push_back(call.number);
    }
  }
  for (const attempt_number number : others) {
    EndAttempt(number, outcome, true);
  }
}

void online_request::OnAttemptFailed(attempt_number number,
                                     attempt_outcome outcome,
                                     bool is_proven_not_run) {
  const route_choice route = FindAttempt(number)->route;
  const bool is_late = now_ + kDeadlineSlack >= options_.deadline;
  const bool is_our_end = is_late && outcome == attempt_outcome::kFailed;
  EndAttempt(number, is_our_end ? attempt_outcome::kCancelled : outcome, true);
  if (is_proven_not_run) {
    --attempts_unproven_;
  }
  if (!attempts_.empty() || is_route_open_) {
    return;  // A hedge is under way or on its way.
  }
  if (!options_.is_idempotent && !is_proven_not_run) {
    OnAnswerLost(route);
    return;
  }
  RetryOrGiveUp(is_proven_not_run);
}

void online_request::RetryOrGiveUp(bool is_proven_not_run) {
  if (now_ + kDeadlineSlack >= options_.deadline) {
    OnDeadline();
    return;
  }
  if (!MayTryAgain(is_proven_not_run)) {
    GiveUp(MakeFailure());
    return;
  }
  ConcludeClaim();
  AskRoute(true, false);
}

void online_request::OnAnswerLost(const route_choice& route) {
  if (phase_ == phase::kAsking) {
    return;
  }
  if (!options_.has_key || !route.remembers_outcomes) {
    GiveUp(MakeFailure());
    return;
  }
  phase_ = phase::kAsking;
  AskOutcome();
}

void online_request::OnOverdue(attempt& call) {
  const bool is_kept = UsesClaim() && call.route.remembers_outcomes;
  if (!is_kept) {
    OnAttemptFailed(call.number, attempt_outcome::kTimedOut, false);
    return;
  }
  // The first connection may still bring the answer, or have gone silent.
  call.is_overdue = true;
  OnAnswerLost(call.route);
}

bool online_request::IsEarlyAskPossible() const {
  return UsesClaim() && phase_ == phase::kCalling && attempts_.size() == 1 &&
         !attempts_.front().has_byte &&
         attempts_.front().route.remembers_outcomes;
}

steady_time online_request::EarlyAskTime() const {
  const attempt& call = attempts_.front();
  const duration expected = call.route.expected_time;
  if (expected.count() == 0) {
    return call.started_at + kUnknownTimeAsk;
  }
  return call.started_at + std::max(kEarliestAsk, kEarlyAskFactor * expected);
}

void online_request::AskOutcome() {
  if (is_outcome_open_) {
    return;  // Asked again when the open question is answered.
  }
  is_outcome_open_ = true;
  const bool may_arrive = !attempts_.empty() && !attempts_.front().is_overdue;
  // A call that is only slow is asked for less and less often.
  const duration elapsed =
      may_arrive ? now_ - attempts_.front().started_at : duration{0};
  next_ask_ = now_ + std::max(kOutcomePollPeriod, elapsed / 2);
  out_.push_back(query_outcome{last_route_, !may_arrive});
}

bool online_request::AcceptPosition(attempt& call, const attempt_chunk& piece) {
  const uint64_t position = piece.position.value_or(call.next_position);
  if (position < call.next_position) {
    return false;  // A repeated event.
  }
  if (position > call.next_position) {
    OnAttemptFailed(call.number, attempt_outcome::kFailed, false);
    return false;
  }
  ++call.next_position;
  return true;
}

void online_request::DeliverPiece(attempt& call, std::string_view bytes) {
  if (!is_head_sent_) {
    is_head_sent_ = true;
    ToCaller(send_head{call.head.http_status, call.head.content_type});
  }
  const uint64_t skipped =
      std::min<uint64_t>(bytes.size(), delivered_bytes_ - call.content_offset);
  const bool is_same =
      skipped == 0 ||
      std::string_view(delivered_).substr(call.content_offset, skipped) ==
          bytes.substr(0, skipped);
  if (!is_same) {
    GiveUp(MakeError(error_kind::kEndpointFailed,
                     "the restarted stream differs from the delivered part"));
    return;
  }
  call.content_offset += bytes.size();
  delivered_tokens_ = std::max(delivered_tokens_, call.next_position);
  Deliver(bytes.substr(skipped));
}

void online_request::Deliver(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  const bool is_kept = delivered_.size() == delivered_bytes_ &&
                       delivered_bytes_ + bytes.size() <= kLongestRestartBytes;
  if (is_kept) {
    delivered_ += bytes;
  }
  delivered_bytes_ += bytes.size();
  ToCaller(send_bytes{std::string(bytes)});
}

void online_request::CompleteStream(attempt& call) {
  if (call.content_offset < delivered_bytes_) {
    GiveUp(MakeError(error_kind::kEndpointFailed,
                     "the restarted stream ended before the delivered part"));
    return;
  }
  if (!is_head_sent_) {
    is_head_sent_ = true;
    ToCaller(send_head{call.head.http_status, call.head.content_type});
  }
  ToCaller(send_end{});
  is_answered_ = true;
  EndAttempt(call.number, attempt_outcome::kOk, false);
  Finish();
}

void online_request::CompleteAnswer(endpoint_response answer) {
  ToCaller(send_head{answer.http_status, answer.content_type});
  ToCaller(send_bytes{answer.body});
  ToCaller(send_end{});
  is_answered_ = true;
  if (holds_claim_) {
    holds_claim_ = false;
    out_.push_back(finish_claim{std::move(answer)});
  }
  Finish();
}

error online_request::MakeFailure() const {
  if (attempts_unproven_ == 0) {
    return error{error_kind::kNoCapacity, "the endpoints refused the call",
                 retry_after_};
  }
  if (!options_.is_idempotent) {
    return error{error_kind::kOutcomeUnknown, "the endpoint's answer was lost",
                 retry_after_};
  }
  return error{error_kind::kEndpointFailed, "no attempt brought a whole answer",
               retry_after_};
}

void online_request::GiveUp(error failure) {
  const bool wants_advice = Answer(failure.kind).retry != retry_advice::kNever;
  failure.retry_after = std::max(failure.retry_after, retry_after_);
  if (wants_advice && failure.retry_after.count() == 0) {
    failure.retry_after = kDefaultRetryAfter;
  }
  ToCaller(respond_error{std::move(failure), is_head_sent_});
  is_answered_ = true;
  Finish();
}

void online_request::ToCaller(online_action action) {
  if (!is_answered_) {
    out_.push_back(std::move(action));
  }
}

void online_request::ConcludeClaim() {
  if (!holds_claim_) {
    return;
  }
  holds_claim_ = false;
  if (attempts_unproven_ > 0) {
    out_.push_back(abandon_claim{});
  } else {
    out_.push_back(release_claim{});
  }
}

void online_request::Finish() {
  CancelAttempts(attempt_outcome::kCancelled, 0);
  if (phase_ == phase::kClaiming && is_claim_open_) {
    ReportUnused(last_route_);
  }
  ConcludeClaim();
  phase_ = phase::kEnding;
  if (!is_route_open_ && !is_claim_open_) {
    phase_ = phase::kDone;
    out_.push_back(request_done{});
  }
}

}  // namespace shallotport
