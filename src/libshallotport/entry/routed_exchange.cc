#include "entry/routed_exchange.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>
#include <variant>

#include "fleet/fleet_messages.h"

namespace shallotport {

namespace {

// Complete responses of endpoints are buffered in memory up to this size.
constexpr size_t kMaxResponseBytes = 16u << 20;
// With less time left than this, no endpoint can respond before the deadline.
constexpr std::chrono::milliseconds kMinAttemptTime{5};
// Random addition to the retry delay of refused callers, so that they do not
// all return at the same time.
constexpr int64_t kRetryJitterMs = 300;
constexpr int64_t kMinRetryAfterMs = 100;
// An endpoint that sent nothing for this share of the objective has probably
// lost the request; a retry may still meet the objective.
constexpr double kUnresponsiveShare = 0.6;
// While fewer than this share of a service's slots are taken, a free one is
// found without a request for it.
constexpr double kScarceShare = 0.5;
// A request that waits in an engine's queue for longer than this share of its
// objective would be late.
constexpr double kUsefulWaitShare = 0.5;
// A caller that was refused before is served late rather than refused again.
constexpr std::chrono::milliseconds kReturnedCallerWait{1'000};
// Callers follow a retry delay up to this share of the time that they have.
constexpr int64_t kRetryAfterDivisor = 3;
// Within a stream, events arrive every few tens of milliseconds.
constexpr std::chrono::milliseconds kStreamGapTimeout{800};

// Values of log fields.
std::string_view LogName(endpoint_outcome end) {
  constexpr std::string_view kNames[] = {
      "answered", "shed",           "refused",  "silent",
      "broken",   "other_endpoint", "given_up", "answered"};
  return kNames[static_cast<size_t>(end)];
}

std::string_view LogName(attempt_result outcome) {
  constexpr std::string_view kNames[] = {"not_run", "failed_there",
                                         "may_have_run"};
  return kNames[static_cast<size_t>(outcome)];
}

std::string_view LogName(retry_decision next) {
  constexpr std::string_view kNames[] = {"try_again", "resume",  "refuse",
                                         "fail",      "pass_on", "break_off"};
  return kNames[static_cast<size_t>(next)];
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

std::string FormatSeconds(int64_t milliseconds) {
  char text[24];
  std::snprintf(text, sizeof(text), "%lld.%03lld",
                static_cast<long long>(milliseconds / 1000),
                static_cast<long long>(milliseconds % 1000));
  return text;
}

// "3,0,8" -> running 3, waiting 0.
std::optional<std::pair<uint32_t, uint32_t>> ParseLoad(std::string_view text) {
  uint32_t running = 0;
  uint32_t waiting = 0;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, running);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != ',') {
    return std::nullopt;
  }
  const auto second = std::from_chars(first.ptr + 1, end, waiting);
  if (second.ec != std::errc()) {
    return std::nullopt;
  }
  return std::pair(running, waiting);
}

}  // namespace

routed_exchange::routed_exchange(entry_duty& duty,
                                 const route& matched_route,
                                 caller_request request,
                                 std::shared_ptr<http_exchange> caller)
    : duty_(duty),
      route_(matched_route),
      version_(duty.routes_->configuration().version),
      request_(std::move(request)),
      caller_(std::move(caller)),
      received_at_(duty.clock_.Now()) {
  std::chrono::milliseconds limit = route_.timeout;
  if (request_.time_limit.count() > 0) {
    limit = std::min(limit, request_.time_limit);
  }
  deadline_ = received_at_ + limit;
  elapsed_before_ = duty.usual_time_limit_.RecordAndGetElapsed(
      route_.name, request_.time_limit);
  last_event_id_ = request_.resume_after;
}

void routed_exchange::Begin() {
  ++duty_.counters_.requests;
  service_ = DrawService(route_, duty_.random_);
  caller_->on_disconnected = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      ++self->duty_.counters_.callers_disconnected;
      self->ReleaseEndpoint(endpoint_outcome::kCancelled);
      self->Finish();
    }
  };
  StartAttempt();
}

void routed_exchange::StartAttempt() {
  const steady_time now = duty_.clock_.Now();
  const auto usage = duty_.selector_.SlotUsage(now, service_);
  const bool is_scarce = usage.taken >= kScarceShare * usage.slots;
  if (is_scarce && duty_.request_slot) {
    is_awaiting_slot_ = true;
    const bool is_requested =
        duty_.request_slot(MakeSlotRequest(now),
                           [weak = weak_from_this()](const slot_reply& reply) {
                             if (const auto self = weak.lock()) {
                               self->OnSlotReply(reply);
                             }
                           });
    if (is_requested) {
      return;
    }
    is_awaiting_slot_ = false;
  }
  StartAttemptAtOwnSelection();
}

slot_request routed_exchange::MakeSlotRequest(steady_time now) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  slot_request request;
  request.service = service_;
  request.domain = duty_.options_.selector.domain;
  for (const endpoint_id& each :
       duty_.selector_.EndpointsInBackoff(now, service_)) {
    request.avoided_endpoints.push_back(LoadKey(each));
  }
  for (const endpoint_id& each : constraints_.excluded) {
    request.avoided_endpoints.push_back(LoadKey(each));
  }
  for (const endpoint_id& each : duty_.selector_.TakeFailures()) {
    request.failed_endpoints.push_back(LoadKey(each));
  }
  request.avoided_domains = duty_.selector_.DomainsInBackoff(now, service_);
  request.avoided_domains.insert(request.avoided_domains.end(),
                                 constraints_.unreachable_domains.begin(),
                                 constraints_.unreachable_domains.end());
  const auto elapsed = duration_cast<milliseconds>(now - received_at_);
  const auto remaining =
      std::max(duration_cast<milliseconds>(deadline_ - now), milliseconds(0));
  const bool may_refuse = executions_ == 0 && !has_response_begun_;
  const bool has_returned = elapsed_before_.count() > 0;
  const bool has_objective = route_.objective.count() > 0;
  const auto useful_wait =
      has_returned || !may_refuse || !has_objective
          ? kReturnedCallerWait
          : duration_cast<milliseconds>(route_.objective * kUsefulWaitShare) -
                elapsed;
  request.max_wait_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(useful_wait.count(), 0, remaining.count()));
  request.max_retry_after_ms =
      static_cast<uint32_t>(remaining.count() / kRetryAfterDivisor);
  return request;
}

void routed_exchange::OnSlotReply(const slot_reply& reply) {
  if (is_finished_ || !std::exchange(is_awaiting_slot_, false)) {
    return;
  }
  const bool may_refuse = executions_ == 0 && !has_response_begun_;
  if (reply.kind == slot_reply_kind::kRefused && may_refuse) {
    ++duty_.counters_.refused_busy;
    RefuseUntil(error_kind::kNoCapacity, reply.retry_after_ms);
    return;
  }
  if (reply.kind == slot_reply_kind::kGranted) {
    const auto granted = duty_.selector_.AcquireGranted(
        duty_.clock_.Now(), reply.endpoint, constraints_);
    if (granted) {
      SendTo(*granted);
      return;
    }
  }
  StartAttemptAtOwnSelection();
}

void routed_exchange::StartAttemptAtOwnSelection() {
  const steady_time now = duty_.clock_.Now();
  auto selection = duty_.selector_.Acquire(now, service_, constraints_);
  if (std::holds_alternative<selection_failure>(selection)) {
    if (has_response_begun_) {
      AbortStream("no endpoint available to resume the stream");
    } else if (executions_ > 0) {
      Fail(502, "no other endpoint available for a retry");
    } else if (std::get<selection_failure>(selection) ==
               selection_failure::kAllBusy) {
      ++duty_.counters_.refused_busy;
      Refuse(error_kind::kNoCapacity);
    } else {
      ++duty_.counters_.refused_no_endpoint;
      Refuse(error_kind::kEndpointRefused);
    }
    return;
  }
  SendTo(std::get<selected_endpoint>(std::move(selection)));
}

void routed_exchange::SendTo(selected_endpoint endpoint) {
  const steady_time now = duty_.clock_.Now();
  selected_ = std::move(endpoint);
  duty_.NotifyLoadChanged();
  ++attempts_;
  ++duty_.counters_.attempts;
  last_received_at_ = now;
  head_ = {};
  body_.clear();
  is_stream_ = false;
  events_.Reset();
  outbound_request out;
  out.method = request_.wire.method;
  out.bytes = FormatAttempt(*selected_, now);
  out.echo_header = duty_.options_.wire.request_id;
  out.echo_value = request_.id.text();
  const std::weak_ptr<routed_exchange> weak = weak_from_this();
  call_events events;
  events.on_head = [weak](response_head head) {
    if (const auto self = weak.lock()) {
      self->OnHead(std::move(head));
    }
  };
  events.on_body = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->OnBody(bytes);
    }
  };
  events.on_end = [weak](call_end end) {
    if (const auto self = weak.lock()) {
      self->OnEnd(end);
    }
  };
  call_ =
      duty_.pool_.Start(selected_->address, std::move(out), std::move(events));
}

std::string routed_exchange::FormatAttempt(const selected_endpoint& at,
                                           steady_time now) const {
  const wire_profile& wire = duty_.options_.wire;
  header_list headers;
  for (const auto& [name, value] : request_.wire.headers.fields()) {
    const bool is_replaced = EqualsIgnoringCase(name, wire.time_limit_ms) ||
                             EqualsIgnoringCase(name, wire.expected_endpoint) ||
                             EqualsIgnoringCase(name, wire.resume_after);
    if (!is_replaced && !IsConnectionHeader(name)) {
      headers.Add(name, value);
    }
  }
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
  headers.Add(wire.time_limit_ms,
              std::to_string(std::max<int64_t>(remaining.count(), 1)));
  headers.Add(wire.expected_endpoint, at.endpoint.text());
  if (!last_event_id_.empty()) {
    headers.Add(wire.resume_after, last_event_id_);
  }
  return FormatRequest(request_.wire.method, request_.wire.target, headers,
                       request_.wire.body);
}

void routed_exchange::OnHead(response_head head) {
  const wire_profile& wire = duty_.options_.wire;
  const steady_time now = duty_.clock_.Now();
  if (const auto load = ParseLoad(head.headers.Value(wire.load))) {
    duty_.selector_.RecordLoad(now, selected_->endpoint, load->first,
                               load->second);
  }
  head_ = std::move(head);
  const bool is_event_stream =
      head_.headers.Value("Content-Type").starts_with("text/event-stream");
  is_stream_ = IsSuccess(head_.status) && is_event_stream;
}

void routed_exchange::OnBody(std::string_view bytes) {
  if (!is_stream_) {
    if (body_.size() + bytes.size() <= kMaxResponseBytes) {
      body_.append(bytes);
    }
    return;
  }
  last_received_at_ = duty_.clock_.Now();
  const std::string complete_events = events_.Feed(bytes);
  if (complete_events.empty()) {
    return;
  }
  BeginResponse();
  if (!events_.last_id().empty()) {
    last_event_id_ = events_.last_id();
  }
  caller_->SendChunk(complete_events);
}

// The response's head is sent with its first event: until then another endpoint
// can take over the request.
void routed_exchange::BeginResponse() {
  if (std::exchange(has_response_begun_, true)) {
    return;
  }
  const duration waited = duty_.clock_.Now() - received_at_;
  duty_.metrics_.ObserveFirstByte(route_.name, waited);
  const bool is_in_time = waited <= duration(route_.objective);
  ++(is_in_time ? duty_.counters_.first_events_in_time
                : duty_.counters_.first_events_late);
  caller_->BeginStream(head_.status, ResponseHeaders());
}

header_list routed_exchange::ResponseHeaders() const {
  header_list headers;
  for (const auto& [name, value] : head_.headers.fields()) {
    if (!IsConnectionHeader(name) &&
        !EqualsIgnoringCase(name, duty_.options_.wire.load)) {
      headers.Add(name, value);
    }
  }
  return headers;
}

void routed_exchange::OnEnd(call_end end) {
  const auto self = shared_from_this();
  call_.reset();
  const wire_profile& wire = duty_.options_.wire;
  switch (end) {
    case call_end::kComplete:
      OnCompleteResponse();
      return;
    case call_end::kNotSent:
      OnAttemptFailed(attempt_result::kNotExecuted,
                      endpoint_outcome::kUnreachable);
      return;
    case call_end::kConnectTimeout:
      OnAttemptFailed(attempt_result::kNotExecuted, endpoint_outcome::kSilent);
      return;
    case call_end::kBroken:
    case call_end::kInvalidResponse: {
      // A refusal is valid even if its body is incomplete.
      const bool is_refused = head_.headers.Find(wire.not_executed) != nullptr;
      OnAttemptFailed(
          is_refused ? attempt_result::kNotExecuted : attempt_result::kInDoubt,
          endpoint_outcome::kBroken);
      return;
    }
  }
}

void routed_exchange::OnCompleteResponse() {
  const wire_profile& wire = duty_.options_.wire;
  const bool is_not_executed =
      head_.headers.Find(wire.not_executed) != nullptr || head_.status == 421;
  if (is_not_executed) {
    OnAttemptFailed(attempt_result::kNotExecuted,
                    head_.status == 421 ? endpoint_outcome::kOtherEndpoint
                                        : endpoint_outcome::kShed);
    return;
  }
  const bool has_endpoint_proof =
      head_.headers.Find(wire.endpoint_proof) != nullptr;
  if (is_stream_) {
    if (events_.has_partial() || !has_endpoint_proof) {
      OnAttemptFailed(attempt_result::kInDoubt, endpoint_outcome::kBroken);
      return;
    }
    BeginResponse();
    ReleaseEndpoint(endpoint_outcome::kServed);
    ++duty_.counters_.served;
    duty_.slow_retry_budget_.OnSuccess();
    caller_->EndStream();
    Finish();
    return;
  }
  if (!IsSuccess(head_.status)) {
    OnAttemptFailed(attempt_result::kEndpointFailed, endpoint_outcome::kFailed);
    return;
  }
  if (!has_endpoint_proof || body_.size() >= kMaxResponseBytes ||
      has_response_begun_) {
    OnAttemptFailed(attempt_result::kInDoubt, endpoint_outcome::kBroken);
    return;
  }
  ReleaseEndpoint(endpoint_outcome::kServed);
  ++duty_.counters_.served;
  duty_.slow_retry_budget_.OnSuccess();
  caller_->Respond(head_.status, ResponseHeaders(), body_);
  Finish();
}

void routed_exchange::OnAttemptFailed(attempt_result outcome,
                                      endpoint_outcome end) {
  const endpoint_id endpoint = selected_->endpoint;
  const domain_id domain = selected_->domain;
  ReleaseEndpoint(end);
  constraints_.excluded.insert(endpoint);
  last_endpoint_ = endpoint;
  if (end == endpoint_outcome::kSilent) {
    constraints_.unreachable_domains.insert(domain);
  }
  if (outcome != attempt_result::kNotExecuted) {
    ++executions_;
  }
  const steady_time now = duty_.clock_.Now();
  attempt_history history;
  history.is_repeatable = route_.IsRepeatable();
  history.is_resumable = route_.is_resumable;
  history.max_executions = route_.max_executions;
  history.executions = executions_;
  history.attempts = attempts_;
  history.has_response_begun = has_response_begun_;
  history.has_time_left = now + kMinAttemptTime < deadline_;
  const retry_decision next = DecideRetry(history, outcome);
  const auto load_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      duty_.selector_.PeerLoadAge(now, endpoint));
  duty_.log_.LogRequest("try_failed",
                        {{"request", request_.id.text()},
                         {"route", route_.name},
                         {"endpoint", endpoint.text()},
                         {"domain", domain.text()},
                         {"end", LogName(end)},
                         {"outcome", LogName(outcome)},
                         {"status", int64_t{head_.status}},
                         {"next", LogName(next)},
                         {"runs", int64_t{executions_}},
                         {"max_runs", int64_t{route_.max_executions}},
                         {"load_age_ms", load_age.count()}});
  switch (next) {
    case retry_decision::kRetry:
      StartAttempt();
      return;
    case retry_decision::kResume:
      ++duty_.counters_.resumed;
      StartAttempt();
      return;
    case retry_decision::kRefuse:
      ++duty_.counters_.refused_not_executed;
      Refuse(error_kind::kNoCapacity);
      return;
    case retry_decision::kFail:
      Fail(502, "the endpoint's answer broke");
      return;
    case retry_decision::kForwardFailure:
      ForwardFailure();
      return;
    case retry_decision::kAbort:
      AbortStream("the endpoint's stream broke");
      return;
  }
}

void routed_exchange::ReleaseEndpoint(endpoint_outcome end) {
  if (selected_) {
    duty_.selector_.Release(duty_.clock_.Now(), selected_->endpoint, end);
    selected_.reset();
    duty_.NotifyLoadChanged();
  }
}

// Only for requests that may be executed again.
bool routed_exchange::IsUnresponsive(steady_time now) const {
  if (!selected_ || !route_.IsRepeatable() ||
      executions_ + 1 >= route_.max_executions ||
      route_.objective.count() == 0) {
    return false;
  }
  const duration first_byte_limit = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          kUnresponsiveShare * static_cast<double>(route_.objective.count())));
  const duration limit =
      has_response_begun_ ? kStreamGapTimeout : first_byte_limit;
  return now > last_received_at_ + limit;
}

void routed_exchange::Tick(steady_time now) {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  if (now < deadline_) {
    if (IsUnresponsive(now) && duty_.slow_retry_budget_.TryTake()) {
      ++duty_.counters_.unresponsive_attempts;
      has_ended_silent_attempt_ = true;
      call_.reset();
      OnAttemptFailed(attempt_result::kInDoubt, endpoint_outcome::kCancelled);
    }
    return;
  }
  ++duty_.counters_.timed_out;
  call_.reset();
  ReleaseEndpoint(endpoint_outcome::kCancelled);
  if (has_response_begun_) {
    AbortStream("time limit");
  } else {
    Fail(504, "time limit");
  }
}

void routed_exchange::Refuse(error_kind kind) {
  const auto jitter = static_cast<int64_t>(
      UniformBelow(duty_.random_, static_cast<uint64_t>(kRetryJitterMs)));
  RefuseUntil(kind, kMinRetryAfterMs + jitter);
}

void routed_exchange::RefuseUntil(error_kind kind, int64_t retry_after_ms) {
  header_list headers;
  headers.Add(duty_.options_.wire.retry_after, FormatSeconds(retry_after_ms));
  const int status = 503;
  Log("request_refused", Answer(kind).code, status);
  caller_->Respond(status, headers, {});
  Finish();
}

void routed_exchange::Fail(int status, std::string_view reason) {
  ++duty_.counters_.failed_in_doubt;
  duty_.counters_.failed_after_silence += has_ended_silent_attempt_ ? 1 : 0;
  Log("request_failed", reason, status);
  caller_->Respond(status, {}, {});
  Finish();
}

void routed_exchange::ForwardFailure() {
  ++duty_.counters_.forwarded_failures;
  Log("request_failed", "the endpoint returned an error", head_.status);
  caller_->Respond(head_.status, ResponseHeaders(), body_);
  Finish();
}

void routed_exchange::AbortStream(std::string_view reason) {
  ++duty_.counters_.streams_aborted;
  duty_.counters_.streams_aborted_after_silence +=
      has_ended_silent_attempt_ ? 1 : 0;
  Log("stream_broken_off", reason, 0);
  caller_->Abort();
  Finish();
}

void routed_exchange::Log(std::string_view event,
                          std::string_view reason,
                          int status) {
  const steady_time now = duty_.clock_.Now();
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - received_at_);
  const auto usage = duty_.selector_.SlotUsage(now, service_);
  duty_.log_.LogRequest(event,
                        {{"request", request_.id.text()},
                         {"route", route_.name},
                         {"config_version", static_cast<int64_t>(version_)},
                         {"service", service_.text()},
                         {"status", int64_t{status}},
                         {"reason", reason},
                         {"last_endpoint", last_endpoint_.text()},
                         {"tries", int64_t{attempts_}},
                         {"runs", int64_t{executions_}},
                         {"waited_ms", waited.count()},
                         {"places", int64_t{usage.slots}},
                         {"taken", int64_t{usage.taken}}});
}

void routed_exchange::Finish() {
  if (std::exchange(is_finished_, true)) {
    return;
  }
  caller_->on_disconnected = nullptr;
  duty_.metrics_.ObserveTotal(route_.name, duty_.clock_.Now() - received_at_);
  call_.reset();
  ReleaseEndpoint(endpoint_outcome::kCancelled);
  duty_.active_.erase(shared_from_this());
}

}  // namespace shallotport
