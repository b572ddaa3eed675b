#include "entry/routed_exchange.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>
#include <variant>

namespace shallotport {

namespace {

// Whole answers of endpoints are held in memory up to this size.
constexpr size_t kMaxAnswerBytes = 16u << 20;
// A run that gets less than this of its caller's time cannot answer.
constexpr std::chrono::milliseconds kLeastTime{5};
// Spread over which refused callers come back, so that they do not meet again.
constexpr int64_t kRetrySpreadMs = 300;
constexpr int64_t kShortestRetryMs = 100;
// An endpoint that says nothing for this share of the objective has probably
// lost the request; a second try may still be in time.
constexpr double kSilentShare = 0.6;
// In the middle of a stream events come every few tens of milliseconds.
constexpr std::chrono::milliseconds kSilentMidStream{800};

// Words of the log lines.
std::string_view NameOf(endpoint_outcome how) {
  constexpr std::string_view kNames[] = {"answered", "shed",   "refused",
                                         "silent",   "broken", "other_endpoint",
                                         "given_up"};
  return kNames[static_cast<size_t>(how)];
}

std::string_view NameOf(attempt_result outcome) {
  constexpr std::string_view kNames[] = {"not_run", "failed_there",
                                         "may_have_run"};
  return kNames[static_cast<size_t>(outcome)];
}

std::string_view NameOf(retry_decision next) {
  constexpr std::string_view kNames[] = {"try_again", "resume",  "refuse",
                                         "fail",      "pass_on", "break_off"};
  return kNames[static_cast<size_t>(next)];
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

std::string Seconds(int64_t milliseconds) {
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
                                 const route& on,
                                 caller_request request,
                                 std::shared_ptr<http_exchange> caller)
    : duty_(duty),
      route_(on),
      version_(duty.routes_->configuration().version),
      request_(std::move(request)),
      caller_(std::move(caller)),
      began_(duty.clock_.Now()) {
  std::chrono::milliseconds limit = route_.timeout;
  if (request_.time_limit.count() > 0) {
    limit = std::min(limit, request_.time_limit);
  }
  due_ = began_ + limit;
  last_event_ = request_.resume_after;
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
  Try();
}

void routed_exchange::Try() {
  const steady_time now = duty_.clock_.Now();
  auto placed = duty_.selector_.Acquire(now, service_, wish_);
  if (std::holds_alternative<selection_failure>(placed)) {
    if (has_begun_) {
      BreakOff("no endpoint to resume at");
    } else if (runs_ > 0) {
      Fail(502, "no other endpoint");
    } else if (std::get<selection_failure>(placed) ==
               selection_failure::kAllBusy) {
      ++duty_.counters_.refused_busy;
      Refuse(error_kind::kNoCapacity);
    } else {
      ++duty_.counters_.refused_no_endpoint;
      Refuse(error_kind::kEndpointRefused);
    }
    return;
  }
  at_ = std::get<selected_endpoint>(placed);
  ++tries_;
  ++duty_.counters_.attempts;
  last_heard_ = now;
  head_ = {};
  body_.clear();
  is_stream_ = false;
  events_.Reset();
  outbound_request out;
  out.method = request_.wire.method;
  out.bytes = FormatTry(*at_, now);
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
  call_ = duty_.pool_.Start(at_->address, std::move(out), std::move(events));
}

std::string routed_exchange::FormatTry(const selected_endpoint& at,
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
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(due_ - now);
  headers.Add(wire.time_limit_ms,
              std::to_string(std::max<int64_t>(left.count(), 1)));
  headers.Add(wire.expected_endpoint, at.endpoint.text());
  if (!last_event_.empty()) {
    headers.Add(wire.resume_after, last_event_);
  }
  return FormatRequest(request_.wire.method, request_.wire.target, headers,
                       request_.wire.body);
}

void routed_exchange::OnHead(response_head head) {
  const wire_profile& wire = duty_.options_.wire;
  const steady_time now = duty_.clock_.Now();
  if (const auto load = ParseLoad(head.headers.Value(wire.load))) {
    duty_.selector_.RecordLoad(now, at_->endpoint, load->first, load->second);
  }
  head_ = std::move(head);
  const bool is_event_stream =
      head_.headers.Value("Content-Type").starts_with("text/event-stream");
  is_stream_ = IsSuccess(head_.status) && is_event_stream;
}

void routed_exchange::OnBody(std::string_view bytes) {
  if (!is_stream_) {
    if (body_.size() + bytes.size() <= kMaxAnswerBytes) {
      body_.append(bytes);
    }
    return;
  }
  last_heard_ = duty_.clock_.Now();
  const std::string whole = events_.Feed(bytes);
  if (whole.empty()) {
    return;
  }
  BeginPassing();
  if (!events_.last_id().empty()) {
    last_event_ = events_.last_id();
  }
  caller_->SendChunk(whole);
}

// The answer's head goes out with its first event: until then another endpoint
// may still take the request.
void routed_exchange::BeginPassing() {
  if (std::exchange(has_begun_, true)) {
    return;
  }
  const duration waited = duty_.clock_.Now() - began_;
  duty_.metrics_.ObserveFirstByte(route_.name, waited);
  const bool is_in_time = waited <= duration(route_.objective);
  ++(is_in_time ? duty_.counters_.first_events_in_time
                : duty_.counters_.first_events_late);
  caller_->BeginStream(head_.status, AnswerHeaders());
}

header_list routed_exchange::AnswerHeaders() const {
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
      OnWholeAnswer();
      return;
    case call_end::kNotSent:
      AfterTry(attempt_result::kNotRun, endpoint_outcome::kUnreachable);
      return;
    case call_end::kConnectTimeout:
      AfterTry(attempt_result::kNotRun, endpoint_outcome::kSilent);
      return;
    case call_end::kBroken:
    case call_end::kInvalidResponse: {
      // A refusal counts even if its body did not come whole.
      const bool is_refused = head_.headers.Find(wire.not_executed) != nullptr;
      AfterTry(is_refused ? attempt_result::kNotRun : attempt_result::kInDoubt,
               endpoint_outcome::kBroken);
      return;
    }
  }
}

void routed_exchange::OnWholeAnswer() {
  const wire_profile& wire = duty_.options_.wire;
  const bool is_not_run =
      head_.headers.Find(wire.not_executed) != nullptr || head_.status == 421;
  if (is_not_run) {
    AfterTry(attempt_result::kNotRun, head_.status == 421
                                          ? endpoint_outcome::kOtherEndpoint
                                          : endpoint_outcome::kShed);
    return;
  }
  const bool is_proven = head_.headers.Find(wire.endpoint_proof) != nullptr;
  if (is_stream_) {
    if (events_.has_partial() || !is_proven) {
      AfterTry(attempt_result::kInDoubt, endpoint_outcome::kBroken);
      return;
    }
    BeginPassing();
    ReleaseEndpoint(endpoint_outcome::kServed);
    ++duty_.counters_.served;
    duty_.silence_budget_.OnSuccess();
    caller_->EndStream();
    Finish();
    return;
  }
  if (!IsSuccess(head_.status)) {
    AfterTry(attempt_result::kFailedThere, endpoint_outcome::kServed);
    return;
  }
  if (!is_proven || body_.size() >= kMaxAnswerBytes || has_begun_) {
    AfterTry(attempt_result::kInDoubt, endpoint_outcome::kBroken);
    return;
  }
  ReleaseEndpoint(endpoint_outcome::kServed);
  ++duty_.counters_.served;
  duty_.silence_budget_.OnSuccess();
  caller_->Respond(head_.status, AnswerHeaders(), body_);
  Finish();
}

void routed_exchange::AfterTry(attempt_result outcome, endpoint_outcome how) {
  const endpoint_id endpoint = at_->endpoint;
  const domain_id domain = at_->domain;
  ReleaseEndpoint(how);
  wish_.excluded.insert(endpoint);
  last_endpoint_ = endpoint;
  if (how == endpoint_outcome::kSilent) {
    wish_.unreachable_domains.insert(domain);
  }
  if (outcome != attempt_result::kNotRun) {
    ++runs_;
  }
  const steady_time now = duty_.clock_.Now();
  attempt_history state;
  state.may_run_again = route_.IsRepeatable();
  state.is_resumable = route_.is_resumable;
  state.max_executions = route_.max_executions;
  state.runs = runs_;
  state.tries = tries_;
  state.has_begun = has_begun_;
  state.is_time_left = now + kLeastTime < due_;
  const retry_decision next = DecideNext(state, outcome);
  const auto load_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      duty_.selector_.LoadAge(now, endpoint));
  duty_.log_.LogRequest("try_failed",
                        {{"request", request_.id.text()},
                         {"route", route_.name},
                         {"endpoint", endpoint.text()},
                         {"domain", domain.text()},
                         {"end", NameOf(how)},
                         {"outcome", NameOf(outcome)},
                         {"status", int64_t{head_.status}},
                         {"next", NameOf(next)},
                         {"runs", int64_t{runs_}},
                         {"max_runs", int64_t{route_.max_executions}},
                         {"load_age_ms", load_age.count()}});
  switch (next) {
    case retry_decision::kTryAgain:
      Try();
      return;
    case retry_decision::kResume:
      ++duty_.counters_.resumed;
      Try();
      return;
    case retry_decision::kRefuse:
      ++duty_.counters_.refused_not_executed;
      Refuse(error_kind::kNoCapacity);
      return;
    case retry_decision::kFail:
      Fail(502, "the endpoint's answer broke");
      return;
    case retry_decision::kPassOn:
      PassOnFailure();
      return;
    case retry_decision::kBreakOff:
      BreakOff("the endpoint's stream broke");
      return;
  }
}

void routed_exchange::ReleaseEndpoint(endpoint_outcome how) {
  if (at_) {
    duty_.selector_.Release(duty_.clock_.Now(), at_->endpoint, how);
    at_.reset();
  }
}

// Only of requests that may go again.
bool routed_exchange::IsSilent(steady_time now) const {
  if (!at_ || !route_.IsRepeatable() || runs_ + 1 >= route_.max_executions ||
      route_.objective.count() == 0) {
    return false;
  }
  const duration first_answer = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          kSilentShare * static_cast<double>(route_.objective.count())));
  const duration limit = has_begun_ ? kSilentMidStream : first_answer;
  return now > last_heard_ + limit;
}

void routed_exchange::Tick(steady_time now) {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  if (now < due_) {
    if (IsSilent(now) && duty_.silence_budget_.TryTake()) {
      ++duty_.counters_.unresponsive_attempts;
      call_.reset();
      AfterTry(attempt_result::kInDoubt, endpoint_outcome::kCancelled);
    }
    return;
  }
  ++duty_.counters_.timed_out;
  call_.reset();
  ReleaseEndpoint(endpoint_outcome::kCancelled);
  if (has_begun_) {
    BreakOff("time limit");
  } else {
    Fail(504, "time limit");
  }
}

void routed_exchange::Refuse(error_kind kind) {
  header_list headers;
  const auto spread = static_cast<int64_t>(
      UniformBelow(duty_.random_, static_cast<uint64_t>(kRetrySpreadMs)));
  headers.Add(duty_.options_.wire.retry_after,
              Seconds(kShortestRetryMs + spread));
  const int status = 503;
  Log("request_refused", Answer(kind).code, status);
  caller_->Respond(status, headers, {});
  Finish();
}

void routed_exchange::Fail(int status, std::string_view reason) {
  ++duty_.counters_.failed_in_doubt;
  Log("request_failed", reason, status);
  caller_->Respond(status, {}, {});
  Finish();
}

void routed_exchange::PassOnFailure() {
  ++duty_.counters_.forwarded_failures;
  Log("request_failed", "the endpoint's own failure", head_.status);
  caller_->Respond(head_.status, AnswerHeaders(), body_);
  Finish();
}

void routed_exchange::BreakOff(std::string_view reason) {
  ++duty_.counters_.streams_aborted;
  Log("stream_broken_off", reason, 0);
  caller_->Abort();
  Finish();
}

void routed_exchange::Log(std::string_view event,
                          std::string_view reason,
                          int status) {
  const steady_time now = duty_.clock_.Now();
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - began_);
  const auto places = duty_.selector_.SlotUsage(now, service_);
  duty_.log_.LogRequest(event,
                        {{"request", request_.id.text()},
                         {"route", route_.name},
                         {"config_version", static_cast<int64_t>(version_)},
                         {"service", service_.text()},
                         {"status", int64_t{status}},
                         {"reason", reason},
                         {"last_endpoint", last_endpoint_.text()},
                         {"tries", int64_t{tries_}},
                         {"runs", int64_t{runs_}},
                         {"waited_ms", waited.count()},
                         {"places", int64_t{places.places}},
                         {"taken", int64_t{places.taken}}});
}

void routed_exchange::Finish() {
  if (std::exchange(is_finished_, true)) {
    return;
  }
  caller_->on_disconnected = nullptr;
  duty_.metrics_.ObserveWhole(route_.name, duty_.clock_.Now() - began_);
  call_.reset();
  ReleaseEndpoint(endpoint_outcome::kCancelled);
  duty_.active_.erase(shared_from_this());
}

}  // namespace shallotport
