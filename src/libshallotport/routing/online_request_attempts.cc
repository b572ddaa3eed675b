// The attempts of an online_request: start, failure, retry, delivery and end.

#include <algorithm>
#include <utility>

#include "routing/online_request.h"

namespace shallotport {

namespace {

// Delivered content kept, to compare with and skip what a restarted stream
// repeats.
constexpr size_t kMaxRestartBytes = size_t{1} << 20;
// A response that is not streamed has this multiple of the expected time added
// to its first byte timeout.
constexpr int kWholeResponseFactor = 2;
// The outcome of an attempt that can't be repeated is queried at its endpoint
// once it has taken this multiple of the expected time, since its connection
// may be broken without notice.
constexpr int kEarlyQueryFactor = 4;
constexpr duration kMinEarlyQueryDelay{250'000};
// Delay of the early query while the expected time is unknown.
constexpr duration kDefaultEarlyQueryDelay{1'000'000};
// The deadline is passed on in whole milliseconds; an attempt that ends this
// close to it was ended by the deadline.
constexpr duration kDeadlineSlack{2'000};
// Shortest time between two outcome queries while an attempt is in progress.
constexpr duration kOutcomePollPeriod{200'000};
// Retry-After of errors without a time of their own.
constexpr std::chrono::milliseconds kDefaultRetryAfter{1'000};

}  // namespace

bool online_request::IsStreaming(const live_attempt& attempt) const {
  // The response to a non-idempotent request is recorded whole before it is
  // delivered.
  return options_.is_stream && options_.is_idempotent &&
         attempt.head.http_status == 200;
}

bool online_request::IsHedgePossible() const {
  return options_.hedge_after.count() > 0 && options_.is_idempotent &&
         !was_hedged_ && !is_route_pending_ && phase_ == phase::kAttempting &&
         attempts_.size() == 1 && !attempts_.front().has_byte &&
         !attempts_.front().is_overdue && !is_head_sent_ &&
         attempts_started_ < options_.max_attempts;
}

bool online_request::AreAllOverdue() const {
  return std::all_of(
      attempts_.begin(), attempts_.end(),
      [](const live_attempt& attempt) { return attempt.is_overdue; });
}

bool online_request::IsReplacementPossible() const {
  return phase_ == phase::kAttempting && !attempts_.empty() &&
         options_.is_idempotent && AreAllOverdue() && !is_route_pending_ &&
         MayRetry(false);
}

steady_time online_request::TimeoutOf(const live_attempt& attempt) const {
  if (attempt.is_overdue) {
    return steady_time::max();
  }
  if (attempt.has_byte) {
    return attempt.last_byte_at + options_.token_gap_timeout;
  }
  // The first byte of a response that is not streamed comes only when the whole
  // response is ready.
  const bool is_streamed = options_.is_stream && options_.is_idempotent;
  const duration whole =
      is_streamed ? duration{0}
                  : kWholeResponseFactor * attempt.route.expected_time;
  return attempt.started_at + options_.first_byte_timeout + whole;
}

bool online_request::IsTimedOut(const live_attempt& attempt) const {
  return now_ >= TimeoutOf(attempt);
}

online_request::live_attempt* online_request::FindAttempt(
    attempt_number number) {
  for (live_attempt& attempt : attempts_) {
    if (attempt.number == number) {
      return &attempt;
    }
  }
  return nullptr;
}

bool online_request::MayRetry(bool is_proven_not_executed) const {
  const bool is_safe =
      options_.is_idempotent || (is_proven_not_executed && options_.has_key);
  return is_safe && !is_caller_done_ && now_ < options_.deadline &&
         attempts_started_ < options_.max_attempts;
}

bool online_request::CanContinueOn(const route_choice& route) const {
  return route.can_resume || delivered_.size() == delivered_bytes_;
}

void online_request::RequestRoute(bool is_retry, bool is_hedge) {
  is_route_pending_ = true;
  if (attempts_.empty()) {
    phase_ = phase::kRouting;
  }
  actions_.push_back(request_route{attempted_endpoints_, is_retry, is_hedge});
}

void online_request::RequestReplacement() {
  if (IsReplacementPossible() && now_ >= next_replacement_at_) {
    RequestRoute(true, false);
  }
}

void online_request::ReportUnused(const route_choice& route) {
  actions_.push_back(
      report_finished{route.ticket, attempt_outcome::kUnused, duration{0}});
}

void online_request::StartAttempt(const route_choice& route) {
  live_attempt attempt;
  attempt.number = ++attempts_started_;
  attempt.id =
      attempt_id(options_.id.text() + "." + std::to_string(attempt.number));
  attempt.route = route;
  attempt.started_at = now_;
  attempt.last_byte_at = now_;
  if (route.can_resume) {
    attempt.next_position = delivered_tokens_;
    attempt.content_offset = delivered_bytes_;
  }
  is_outcome_query_stale_ = is_outcome_query_pending_;
  ++possibly_executed_attempts_;
  attempted_endpoints_.push_back(route.endpoint);
  phase_ = phase::kAttempting;
  actions_.push_back(
      start_attempt{attempt.number, attempt.id, route, attempt.next_position});
  actions_.push_back(report_started{route.ticket});
  attempts_.push_back(std::move(attempt));
}

void online_request::EndAttempt(attempt_number number,
                                attempt_outcome outcome,
                                bool cancel) {
  const auto attempt = std::find_if(
      attempts_.begin(), attempts_.end(),
      [number](const live_attempt& other) { return other.number == number; });
  if (cancel) {
    actions_.push_back(cancel_attempt{number});
  }
  actions_.push_back(report_finished{attempt->route.ticket, outcome,
                                     now_ - attempt->started_at});
  attempts_.erase(attempt);
}

void online_request::CancelAttempts(attempt_outcome outcome,
                                    attempt_number except) {
  std::vector<attempt_number> others;
  for (const live_attempt& attempt : attempts_) {
    if (attempt.number != except) {
      others.push_back(attempt.number);
    }
  }
  for (const attempt_number number : others) {
    const bool is_silent =
        options_.is_idempotent && FindAttempt(number)->is_overdue;
    EndAttempt(number, is_silent ? attempt_outcome::kTimedOut : outcome, true);
  }
}

void online_request::OnAttemptFailed(attempt_number number,
                                     attempt_outcome outcome,
                                     bool is_proven_not_executed) {
  const route_choice route = FindAttempt(number)->route;
  const bool is_late = now_ + kDeadlineSlack >= options_.deadline;
  const bool is_ended_by_deadline =
      is_late && outcome == attempt_outcome::kFailed;
  EndAttempt(number,
             is_ended_by_deadline ? attempt_outcome::kCancelled : outcome,
             true);
  if (is_proven_not_executed) {
    --possibly_executed_attempts_;
  }
  if (!attempts_.empty() || is_route_pending_) {
    RequestReplacement();
    return;  // Another attempt is in flight or its route is pending.
  }
  if (!options_.is_idempotent && !is_proven_not_executed) {
    OnResponseLost(route);
    return;
  }
  RetryOrFail(is_proven_not_executed);
}

void online_request::RetryOrFail(bool is_proven_not_executed) {
  if (now_ + kDeadlineSlack >= options_.deadline) {
    OnDeadline();
    return;
  }
  if (!MayRetry(is_proven_not_executed)) {
    Fail(MakeFailure());
    return;
  }
  ConcludeClaim();
  RequestRoute(true, false);
}

void online_request::OnResponseLost(const route_choice& route) {
  if (phase_ == phase::kQuerying) {
    return;
  }
  if (!options_.has_key || !route.remembers_outcomes) {
    Fail(MakeFailure());
    return;
  }
  phase_ = phase::kQuerying;
  QueryOutcome();
}

void online_request::OnOverdue(live_attempt& attempt) {
  if (options_.is_idempotent) {
    attempt.is_overdue = true;
    RequestReplacement();
    return;
  }
  const bool keeps_connection = UsesClaim() && attempt.route.remembers_outcomes;
  if (!keeps_connection) {
    OnAttemptFailed(attempt.number, attempt_outcome::kTimedOut, false);
    return;
  }
  // The connection may still deliver the response, or be broken without notice.
  attempt.is_overdue = true;
  OnResponseLost(attempt.route);
}

bool online_request::IsEarlyQueryPossible() const {
  return UsesClaim() && phase_ == phase::kAttempting && attempts_.size() == 1 &&
         !attempts_.front().has_byte &&
         attempts_.front().route.remembers_outcomes;
}

steady_time online_request::EarlyQueryTime() const {
  const live_attempt& attempt = attempts_.front();
  const duration expected = attempt.route.expected_time;
  if (expected.count() == 0) {
    return attempt.started_at + kDefaultEarlyQueryDelay;
  }
  return attempt.started_at +
         std::max(kMinEarlyQueryDelay, kEarlyQueryFactor * expected);
}

void online_request::QueryOutcome() {
  if (is_outcome_query_pending_) {
    return;  // Repeated, if needed, when the pending query is replied to.
  }
  is_outcome_query_pending_ = true;
  const bool may_arrive = !attempts_.empty() && !attempts_.front().is_overdue;
  // Queries a slow attempt at increasing intervals.
  const duration elapsed =
      may_arrive ? now_ - attempts_.front().started_at : duration{0};
  next_outcome_query_at_ = now_ + std::max(kOutcomePollPeriod, elapsed / 2);
  actions_.push_back(query_outcome{last_route_, !may_arrive});
}

bool online_request::AcceptPosition(live_attempt& attempt,
                                    const attempt_chunk& chunk) {
  const uint64_t position = chunk.position.value_or(attempt.next_position);
  if (position < attempt.next_position) {
    return false;  // Repeated event.
  }
  if (position > attempt.next_position) {
    OnAttemptFailed(attempt.number, attempt_outcome::kFailed, false);
    return false;
  }
  ++attempt.next_position;
  return true;
}

void online_request::DeliverChunk(live_attempt& attempt,
                                  std::string_view bytes) {
  const bool is_first_output = !is_head_sent_;
  if (is_first_output) {
    is_head_sent_ = true;
    SendToCaller(
        send_head{attempt.head.http_status, attempt.head.content_type});
  }
  const uint64_t skipped = std::min<uint64_t>(
      bytes.size(), delivered_bytes_ - attempt.content_offset);
  const bool matches_delivered =
      skipped == 0 ||
      std::string_view(delivered_).substr(attempt.content_offset, skipped) ==
          bytes.substr(0, skipped);
  if (!matches_delivered) {
    OnStreamDiffers(attempt.number,
                    "the restarted stream differs from the delivered part");
    return;
  }
  attempt.content_offset += bytes.size();
  delivered_tokens_ = std::max(delivered_tokens_, attempt.next_position);
  Deliver(bytes.substr(skipped));
  // While an attempt only repeats, the other one may be the first to go on.
  if (is_first_output || skipped < bytes.size()) {
    CancelAttempts(attempt_outcome::kCancelled, attempt.number);
  }
}

void online_request::OnStreamDiffers(attempt_number number,
                                     std::string_view reason) {
  if (attempts_.size() > 1) {
    // No evidence against the endpoint: sampling may choose other tokens.
    OnAttemptFailed(number, attempt_outcome::kCancelled, false);
    return;
  }
  Fail(MakeError(error_kind::kEndpointFailed, std::string(reason)));
}

void online_request::Deliver(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  const bool keeps_content =
      delivered_.size() == delivered_bytes_ &&
      delivered_bytes_ + bytes.size() <= kMaxRestartBytes;
  if (keeps_content) {
    delivered_ += bytes;
  }
  delivered_bytes_ += bytes.size();
  SendToCaller(send_bytes{std::string(bytes)});
}

void online_request::CompleteStream(live_attempt& attempt) {
  if (attempt.content_offset < delivered_bytes_) {
    OnStreamDiffers(attempt.number,
                    "the restarted stream ended before the delivered part");
    return;
  }
  if (!is_head_sent_) {
    is_head_sent_ = true;
    SendToCaller(
        send_head{attempt.head.http_status, attempt.head.content_type});
  }
  SendToCaller(send_end{});
  is_caller_done_ = true;
  EndAttempt(attempt.number, attempt_outcome::kOk, false);
  Finish();
}

void online_request::CompleteResponse(endpoint_response response) {
  SendToCaller(send_head{response.http_status, response.content_type});
  SendToCaller(send_bytes{response.body});
  SendToCaller(send_end{});
  is_caller_done_ = true;
  if (holds_claim_) {
    holds_claim_ = false;
    actions_.push_back(finish_claim{std::move(response)});
  }
  Finish();
}

error online_request::MakeFailure() const {
  if (possibly_executed_attempts_ == 0) {
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

void online_request::Fail(error failure) {
  const bool wants_advice = Answer(failure.kind).retry != retry_advice::kNever;
  failure.retry_after = std::max(failure.retry_after, retry_after_);
  if (wants_advice && failure.retry_after.count() == 0) {
    failure.retry_after = kDefaultRetryAfter;
  }
  SendToCaller(respond_error{std::move(failure), is_head_sent_});
  is_caller_done_ = true;
  Finish();
}

void online_request::SendToCaller(online_action action) {
  if (!is_caller_done_) {
    actions_.push_back(std::move(action));
  }
}

void online_request::ConcludeClaim() {
  if (!holds_claim_) {
    return;
  }
  holds_claim_ = false;
  if (possibly_executed_attempts_ > 0) {
    actions_.push_back(abandon_claim{});
  } else {
    actions_.push_back(release_claim{});
  }
}

void online_request::Finish() {
  CancelAttempts(attempt_outcome::kCancelled, 0);
  if (phase_ == phase::kClaiming && is_claim_pending_) {
    ReportUnused(last_route_);
  }
  ConcludeClaim();
  phase_ = phase::kEnding;
  if (!is_route_pending_ && !is_claim_pending_) {
    phase_ = phase::kDone;
    actions_.push_back(request_done{});
  }
}

}  // namespace shallotport
