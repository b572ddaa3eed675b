#include "entry/routed_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "entry/attempt_observation.h"
#include "entry/retry_after.h"
#include "entry/slot_demand.h"
#include "entry/takeover_policy.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

namespace {

// With less time left than this, no endpoint can respond before the deadline.
constexpr std::chrono::milliseconds kMinAttemptTime{5};
// Random addition to the retry delay of refused callers, so that they do not
// all return at the same time.
constexpr int64_t kRetryJitterMs = 300;
constexpr int64_t kMinRetryAfterMs = 100;
// After no endpoint took a second attempt.
constexpr std::chrono::milliseconds kSecondAttemptDelay{150};
// Between requests to return to an endpoint without a slot.
constexpr std::chrono::milliseconds kReturnDelay{100};
// Longer than a sound endpoint pauses.
constexpr std::chrono::milliseconds kReturnWindow{1'500};

// While fewer than this share of a service's slots are taken, a free one is
// found without a request for it.
constexpr double kScarceShare = 0.5;

// Values of log fields.
std::string_view LogName(endpoint_outcome end) {
  constexpr std::string_view kNames[] = {
      "answered", "shed",           "unreachable", "refused", "silent",
      "broken",   "other_endpoint", "given_up",    "answered"};
  return kNames[static_cast<size_t>(end)];
}

std::string_view LogName(attempt_result outcome) {
  constexpr std::string_view kNames[] = {"not_run", "failed_there",
                                         "may_have_run"};
  return kNames[static_cast<size_t>(outcome)];
}

std::string_view LogName(attempt_fault fault) {
  constexpr std::string_view kNames[] = {
      "none",           "not_the_stream", "event_out_of_order",
      "event_too_long", "incomplete",     "unknown_version"};
  return kNames[static_cast<size_t>(fault)];
}

std::string_view LogName(retry_decision next) {
  constexpr std::string_view kNames[] = {"try_again", "resume",  "refuse",
                                         "fail",      "pass_on", "break_off"};
  return kNames[static_cast<size_t>(next)];
}

int64_t InMilliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

uint64_t KeyOf(const caller_request& request) {
  const bool is_resumed =
      !request.resume_after.empty() && !request.resumed_request.IsEmpty();
  return StreamKey(is_resumed ? request.resumed_request : request.id);
}

request_traits TraitsOf(const inbound_request& request,
                        const wire_profile& wire) {
  return {SharedPromptParts(request.headers, wire.prompt_parts),
          DigestOf(request, wire.prompt_parts, wire.account)};
}

// An endpoint that ends just after a head may look as if nothing were left.
bool IsCutBeforeEvents(const endpoint_attempt& attempt) {
  return attempt.head.is_close_delimited && !attempt.events.has_first();
}

std::string_view LogName(origin_source source) {
  constexpr std::string_view kNames[] = {"sole_version", "own", "store"};
  return kNames[static_cast<size_t>(source)];
}

std::string_view LogName(resumption_result result) {
  constexpr std::string_view kNames[] = {"resumed", "origin_unknown",
                                         "service_not_allowed", "version_gone"};
  return kNames[static_cast<size_t>(result)];
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
      received_at_(duty.clock_.Now()),
      stream_key_(KeyOf(request_)),
      traits_(TraitsOf(request_.wire, duty.options_.wire)),
      overlap_timer_(duty.loop_) {
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
  caller_->on_disconnected = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      ++self->duty_.counters_.callers_disconnected;
      self->Finish();
    }
  };
  caller_->on_taken = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Apply(self->flow_.OnTaken(self->caller_->held()));
    }
  };
  if (duty_.last_deadline_ && deadline_ > *duty_.last_deadline_) {
    ++duty_.counters_.refused_stopping;
    Refuse(error_kind::kShuttingDown);
    return;
  }
  if (IsTakenUp()) {
    if (!ParseEventNumber(request_.resume_after)) {
      Log("request_refused", "malformed_last_event", 400);
      caller_->Respond(400, {}, {});
      Finish();
      return;
    }
    ++duty_.counters_.taken_up;
    FindOrigin();
    return;
  }
  service_ = DrawService(route_, duty_.random_);
  StartAttempt();
}

bool routed_exchange::IsTakenUp() const {
  return route_.kind == request_kind::kStreaming &&
         !request_.resume_after.empty();
}

bool routed_exchange::IsResumable() const {
  return route_.kind == request_kind::kStreaming && route_.is_resumable;
}

bool routed_exchange::HasUnknownVersion(const endpoint_attempt& attempt) const {
  const bool may_be_joined = IsResumable() || IsTakenUp();
  return may_be_joined && !attempt.has_output &&
         !duty_.selector_.IsSameStart(attempt.at);
}

void routed_exchange::FindOrigin() {
  if (!duty_.find_stream) {
    OnOriginFound({});
    return;
  }
  duty_.find_stream(stream_key_,
                    [weak = weak_from_this()](const found_origin& found) {
                      if (const auto self = weak.lock()) {
                        self->OnOriginFound(found);
                      }
                    });
}

// Where the origin is not known, a host that is out of step may not know of the
// version either at which the stream began.
void routed_exchange::OnOriginFound(const found_origin& found) {
  if (is_finished_) {
    return;
  }
  const service_id* sole = SoleService(route_.services);
  const bool needs_view =
      found.source == origin_source::kNone && sole != nullptr &&
      duty_.versions_.SoleVersion(duty_.clock_.Now(), *sole).has_value();
  if (!needs_view || !duty_.confirm_view) {
    ResumeAt(found, false);
    return;
  }
  duty_.confirm_view([weak = weak_from_this(), found](bool is_current) {
    if (const auto self = weak.lock()) {
      self->ResumeAt(found, is_current);
    }
  });
}

void routed_exchange::ResumeAt(const found_origin& found,
                               bool is_view_current) {
  if (is_finished_) {
    return;
  }
  resumption_facts facts;
  facts.services = route_.services;
  facts.is_view_complete = is_view_current;
  facts.is_serving = [this](const stream_origin& origin) {
    return duty_.selector_.IsVersionServing(origin.service,
                                            origin.software_version);
  };
  const steady_time now = duty_.clock_.Now();
  const service_id* sole = SoleService(route_.services);
  if (found.source != origin_source::kNone) {
    facts.origin = found.origin;
  } else if (sole != nullptr && !duty_.route_history_.HasMoved(now, route_)) {
    facts.sole_version = duty_.versions_.SoleVersion(now, *sole);
  }
  const resumption_decision decision = DecideResumption(facts);
  if (decision.result != resumption_result::kResume) {
    RejectResumption(decision, facts);
    return;
  }
  switch (found.source) {
    case origin_source::kOwn:
      ++duty_.counters_.taken_up_own;
      break;
    case origin_source::kStore:
      ++duty_.counters_.taken_up_store;
      break;
    case origin_source::kNone:
      ++duty_.counters_.taken_up_sole_version;
      break;
  }
  duty_.log_.LogRequest("stream_taken_up",
                        {{"request", request_.id.text()},
                         {"resumed_request", request_.resumed_request.text()},
                         {"route", route_.name},
                         {"last_event", request_.resume_after},
                         {"origin_version", decision.origin.software_version},
                         {"origin_from", LogName(found.source)}});
  service_ = decision.origin.service;
  constraints_.software_version = decision.origin.software_version;
  StartAttempt();
}

void routed_exchange::RejectResumption(const resumption_decision& decision,
                                       const resumption_facts& facts) {
  const bool is_unknown = decision.result == resumption_result::kOriginUnknown;
  ++(is_unknown ? duty_.counters_.refused_origin_unknown
                : duty_.counters_.refused_version_gone);
  service_ = decision.origin.service;
  duty_.log_.LogRequest(
      "stream_not_resumed",
      {{"request", request_.id.text()},
       {"resumed_request", request_.resumed_request.text()},
       {"route", route_.name},
       {"reason", LogName(decision.result)},
       {"origin_service", decision.origin.service.text()},
       {"origin_version", decision.origin.software_version},
       {"sole_version", facts.sole_version.value_or("")},
       {"all_control_linked", int64_t{facts.is_view_complete ? 1 : 0}}});
  Refuse(error_kind::kEndpointRefused);
}

void routed_exchange::RecordOrigin(const selected_endpoint& at, bool at_once) {
  if (!IsResumable() || !duty_.record_stream ||
      recorded_version_ == at.software_version) {
    return;
  }
  recorded_version_ = at.software_version;
  duty_.record_stream(stream_key_, {service_, at.software_version}, at_once);
}

void routed_exchange::StartAttempt() {
  if (is_awaiting_slot_) {
    return;  // For a second attempt, which now becomes the only one.
  }
  const steady_time now = duty_.clock_.Now();
  const auto usage =
      duty_.selector_.SlotUsage(now, service_, constraints_.software_version);
  const bool is_scarce = usage.taken >= kScarceShare * usage.slots;
  const selection_constraints constraints = CurrentConstraints();
  const bool may_be_granted = !constraints.is_limited_to_avoided &&
                              duty_.selector_.MayBegin(now, constraints);
  if (is_scarce && may_be_granted && duty_.request_slot) {
    is_awaiting_slot_ = true;
    const auto ticket = duty_.request_slot(
        MakeDemand(now, constraints), duty_.MayQueueForSlots(route_),
        [weak = weak_from_this()](const slot_reply& reply) {
          if (const auto self = weak.lock()) {
            self->OnSlotReply(reply);
          }
        });
    if (ticket) {
      slot_ticket_ = *ticket;
      return;
    }
    is_awaiting_slot_ = false;
  }
  StartAttemptAtOwnSelection();
}

queued_slot_request routed_exchange::MakeDemand(
    steady_time now,
    const selection_constraints& constraints) const {
  const bool may_refuse =
      current_ == nullptr && executed_at_.empty() && !has_response_begun_;
  return MakeSlotDemand(
      now,
      {route_, request_.account, service_, received_at_, deadline_,
       elapsed_before_.count() > 0 || IsTakenUp(), may_refuse},
      constraints, duty_.options_.selector.domain, duty_.selector_);
}

void routed_exchange::OnSlotReply(const slot_reply& reply) {
  if (is_finished_ || !std::exchange(is_awaiting_slot_, false)) {
    return;
  }
  if (current_ != nullptr && !NeedsSecond(duty_.clock_.Now())) {
    // The endpoint has gone on meanwhile.
    duty_.slow_retry_budget_.Return();
    return;
  }
  if (reply.kind == slot_reply_kind::kRefused) {
    if (current_ != nullptr) {
      DeferSecondAttempt();
      return;
    }
    if (executed_at_.empty() && !has_response_begun_) {
      ++duty_.counters_.refused_busy;
      RefuseUntil(error_kind::kNoCapacity, reply.retry_after_ms);
      return;
    }
  }
  if (reply.kind == slot_reply_kind::kGranted) {
    const auto granted = duty_.selector_.AcquireGranted(
        duty_.clock_.Now(), reply.endpoint, CurrentConstraints());
    if (granted) {
      SendTo(*granted);
      return;
    }
  }
  StartAttemptAtOwnSelection();
}

selection_constraints routed_exchange::CurrentConstraints() const {
  selection_constraints constraints = constraints_;
  constraints.traits = &traits_;
  constraints.prefers_known_version = IsResumable();
  constraints.is_repeat = current_ != nullptr || !executed_at_.empty();
  constraints.avoided = displaced_;
  constraints.is_limited_to_avoided = IsLimitedToReturn(History());
  if (current_ != nullptr) {
    constraints.excluded.insert(current_->at.endpoint);
    constraints.excluded.insert(full_for_second_.begin(),
                                full_for_second_.end());
    if (route_.kind == request_kind::kStreaming) {
      // Whichever of the two begins the stream, its recorded origin holds.
      constraints.software_version = current_->at.software_version;
    }
  }
  return constraints;
}

uint32_t routed_exchange::Executions() const {
  const bool is_at_new_endpoint =
      current_ != nullptr && !executed_at_.contains(current_->at.endpoint);
  return static_cast<uint32_t>(executed_at_.size()) +
         (is_at_new_endpoint ? 1 : 0);
}

bool routed_exchange::MayReturn() const {
  return std::any_of(
      displaced_.begin(), displaced_.end(), [this](const endpoint_id& each) {
        return current_ == nullptr || each != current_->at.endpoint;
      });
}

attempt_history routed_exchange::History() const {
  attempt_history history;
  history.is_repeatable = route_.IsRepeatable();
  history.is_resumable = IsResumable();
  history.max_executions = route_.max_executions;
  history.executions = Executions();
  history.may_return = MayReturn();
  history.refusals = refusals_;
  history.has_response_begun = has_response_begun_;
  history.has_time_left = duty_.clock_.Now() + kMinAttemptTime < deadline_;
  return history;
}

observed_attempt routed_exchange::Observed(
    const endpoint_attempt& attempt) const {
  return ObservationOf(attempt.at, service_, request_.id.text(),
                       attempt.begun_at, attempt.output, traits_);
}

bool routed_exchange::DeferReturn() {
  const steady_time now = duty_.clock_.Now();
  if (!last_return_at_) {
    last_return_at_ = std::min(now + kReturnWindow, deadline_);
  }
  if (!MayReturn() || now + kReturnDelay > *last_return_at_) {
    return false;
  }
  next_return_at_ = now + kReturnDelay;
  return true;
}

void routed_exchange::StartAttemptAtOwnSelection() {
  const steady_time now = duty_.clock_.Now();
  auto selection = duty_.selector_.Acquire(now, service_, CurrentConstraints());
  if (std::holds_alternative<selected_endpoint>(selection)) {
    SendTo(std::get<selected_endpoint>(std::move(selection)));
    return;
  }
  const auto failure = std::get<selection_failure>(selection);
  if (current_ != nullptr) {
    DeferSecondAttempt();
  } else if (failure != selection_failure::kPoison && DeferReturn()) {
    return;
  } else if (has_response_begun_) {
    AbortStream("no endpoint available to resume the stream");
  } else if (!executed_at_.empty()) {
    Fail(502, "no other endpoint available for a retry");
  } else if (failure == selection_failure::kPoison) {
    ++duty_.counters_.refused_poison;
    RefusePoison();
  } else if (failure == selection_failure::kAllBusy) {
    ++duty_.counters_.refused_busy;
    Refuse(error_kind::kNoCapacity);
  } else {
    ++duty_.counters_.refused_no_endpoint;
    Refuse(error_kind::kEndpointRefused);
  }
}

void routed_exchange::SendTo(selected_endpoint endpoint) {
  const steady_time now = duty_.clock_.Now();
  const auto attempt = std::make_shared<endpoint_attempt>(duty_.memory_);
  attempt->at = std::move(endpoint);
  attempt->begun_at = now;
  attempt->last_received_at = now;
  if (route_.kind == request_kind::kStreaming) {
    attempt->events = event_splitter(event_sequence(last_event_id_));
  }
  // Endpoints without recent reports are used as well.
  duty_.versions_.Record(now, service_, attempt->at.software_version);
  if (current_ != nullptr || !executed_at_.empty()) {
    duty_.admission_.OnRepeated(request_);
  }
  ++attempts_;
  ++duty_.counters_.attempts;
  if (duty_.selector_.limits().IsLimited(
          {attempt->at.endpoint, attempt->at.start_time_ms})) {
    ++duty_.counters_.attempts_at_limited;
    duty_.counters_.repeats_at_limited += attempts_ > 1 ? 1 : 0;
  }
  duty_.counters_.returns += displaced_.contains(attempt->at.endpoint) ? 1 : 0;
  if (current_ == nullptr) {
    current_ = attempt;
    RecordOrigin(attempt->at, false);
  } else {
    second_ = attempt;
    ScheduleOverlapEnd(now);
    ++duty_.counters_.second_attempts;
  }
  duty_.NotifyLoadChanged();
  outbound_request out;
  out.method = request_.wire.method;
  out.bytes = FormatAttempt(attempt->at, now);
  out.echo_header = duty_.options_.wire.request_id;
  out.echo_value = request_.id.text();
  const auto notify = [exchange = weak_from_this(),
                       weak = std::weak_ptr(attempt)](const auto& handle) {
    const auto self = exchange.lock();
    const auto open = weak.lock();
    if (self != nullptr && open != nullptr) {
      handle(*self, open);
    }
  };
  call_events events;
  events.on_head = [notify](response_head head) {
    notify([&head](routed_exchange& self, const attempt_ptr& open) {
      self.OnHead(open, std::move(head));
    });
  };
  events.on_body = [notify](std::string_view bytes) {
    notify([bytes](routed_exchange& self, const attempt_ptr& open) {
      self.OnBody(open, bytes);
    });
  };
  events.on_end = [notify](call_end end) {
    notify([end](routed_exchange& self, const attempt_ptr& open) {
      self.OnEnd(open, end);
    });
  };
  attempt->call =
      duty_.pool_.Start(attempt->at.address, std::move(out), std::move(events));
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

// Nothing of a response is sent on, or joined with what was, before its head
// says that it can be.
void routed_exchange::OnHead(const attempt_ptr& attempt, response_head head) {
  const wire_profile& wire = duty_.options_.wire;
  duty_.ReadLoad(attempt->at, head);
  duty_.ReadLeaving(attempt->at, head);
  duty_.ReadLimit(attempt->at, head);
  attempt->head = std::move(head);
  attempt->kind = ClassifyResponse(FactsOf(attempt->head, wire),
                                   has_response_begun_ || IsTakenUp());
  if (attempt->kind == response_kind::kUnusable) {
    OnFaultyResponse(attempt, attempt_fault::kUnusableHead);
  } else if (has_response_begun_ && attempt->kind == response_kind::kFailure) {
    OnCompleteResponse(attempt);  // Its body is of no use.
  }
}

void routed_exchange::OnBody(const attempt_ptr& attempt,
                             std::string_view bytes) {
  attempt->last_received_at = duty_.clock_.Now();
  if (attempt->kind != response_kind::kStream) {
    attempt->body.Append(bytes);
    if (attempt->body.is_cut()) {
      OnFaultyResponse(attempt, attempt_fault::kIncomplete);
    }
    return;
  }
  const std::string complete_events = attempt->events.Feed(bytes);
  if (!complete_events.empty()) {
    if (HasUnknownVersion(*attempt)) {
      OnFaultyResponse(attempt, attempt_fault::kUnknownVersion);
      return;
    }
    SendOn(attempt, complete_events);
  }
  if (is_finished_) {
    return;
  }
  if (attempt->events.is_out_of_order()) {
    OnFaultyResponse(attempt, attempt_fault::kEventOutOfOrder);
  } else if (attempt->events.is_overlong()) {
    OnFaultyResponse(attempt, attempt_fault::kEventTooLong);
  }
}

void routed_exchange::SendOn(const attempt_ptr& attempt,
                             const std::string& events) {
  attempt->has_output = true;
  KeepOnly(attempt);
  FixVersion(*attempt);
  BeginResponse(*attempt);
  if (!attempt->events.last_id().empty()) {
    last_event_id_ = attempt->events.last_id();
  }
  if (attempt->output.BecomesSustained(attempt->last_received_at)) {
    duty_.crash_observer_.OnSustainedOutput(Observed(*attempt));
  }
  caller_->SendChunk(events);
  Apply(flow_.OnSent(attempt->last_received_at, caller_->held()));
}

void routed_exchange::Apply(flow_action action) {
  if (current_ == nullptr || current_->call == nullptr) {
    return;
  }
  if (action == flow_action::kPause) {
    current_->call->Pause();
  } else if (action == flow_action::kResume) {
    current_->call->Resume();
  }
}

void routed_exchange::FixVersion(const endpoint_attempt& attempt) {
  if (!has_response_begun_) {
    constraints_.software_version = attempt.at.software_version;
    RecordOrigin(attempt.at, true);
  }
}

// The response's head is sent with its first event: until then another endpoint
// can take over the request.
void routed_exchange::BeginResponse(const endpoint_attempt& attempt) {
  if (std::exchange(has_response_begun_, true)) {
    return;
  }
  const duration waited = duty_.clock_.Now() - received_at_;
  duty_.metrics_.ObserveFirstByte(route_.name, waited);
  const bool is_in_time = waited <= duration(route_.objective);
  ++(is_in_time ? duty_.counters_.first_events_in_time
                : duty_.counters_.first_events_late);
  caller_->BeginStream(attempt.head.status, ResponseHeaders(attempt));
}

header_list routed_exchange::ResponseHeaders(
    const endpoint_attempt& attempt) const {
  header_list headers;
  for (const auto& [name, value] : attempt.head.headers.fields()) {
    if (!IsConnectionHeader(name) &&
        !EqualsIgnoringCase(name, duty_.options_.wire.load)) {
      headers.Add(name, value);
    }
  }
  return headers;
}

void routed_exchange::OnEnd(const attempt_ptr& attempt, call_end end) {
  const auto self = shared_from_this();
  attempt->call.reset();
  switch (end) {
    case call_end::kComplete:
      OnCompleteResponse(attempt);
      return;
    case call_end::kNotSent:
      OnAttemptFailed(attempt, attempt_result::kNotExecuted,
                      endpoint_outcome::kUnreachable);
      return;
    case call_end::kRefused:
      OnAttemptFailed(attempt, attempt_result::kNotExecuted,
                      endpoint_outcome::kEnded);
      return;
    case call_end::kConnectTimeout:
      OnAttemptFailed(attempt, attempt_result::kNotExecuted,
                      endpoint_outcome::kSilent);
      return;
    case call_end::kBroken:
    case call_end::kInvalidResponse: {
      // A refusal is valid even if its body is incomplete.
      const bool is_refused = attempt->kind == response_kind::kNotExecuted;
      OnAttemptFailed(
          attempt,
          is_refused ? attempt_result::kNotExecuted : attempt_result::kInDoubt,
          endpoint_outcome::kBroken);
      return;
    }
  }
}

void routed_exchange::OnCompleteResponse(const attempt_ptr& attempt) {
  const int status = attempt->head.status;
  switch (attempt->kind) {
    case response_kind::kNotExecuted:
      OnAttemptFailed(attempt, attempt_result::kNotExecuted,
                      status == 421 ? endpoint_outcome::kOtherEndpoint
                                    : endpoint_outcome::kShed);
      return;
    case response_kind::kFailure:
      OnAttemptFailed(attempt, attempt_result::kEndpointFailed,
                      endpoint_outcome::kFailed);
      return;
    case response_kind::kNone:
    case response_kind::kUnusable:
      OnFaultyResponse(attempt, attempt_fault::kUnusableHead);
      return;
    case response_kind::kStream:
      if (attempt->events.has_partial() || IsCutBeforeEvents(*attempt)) {
        OnFaultyResponse(attempt, attempt_fault::kIncomplete);
        return;
      }
      if (HasUnknownVersion(*attempt)) {
        OnFaultyResponse(attempt, attempt_fault::kUnknownVersion);
        return;
      }
      break;
    case response_kind::kWhole:
      if (has_response_begun_) {
        OnFaultyResponse(attempt, attempt_fault::kIncomplete);
        return;
      }
      break;
  }
  KeepOnly(attempt);
  duty_.crash_observer_.OnWholeAnswer(Observed(*attempt));
  EndAttempt(*attempt, endpoint_outcome::kServed);
  current_.reset();
  ++duty_.counters_.served;
  duty_.slow_retry_budget_.OnSuccess();
  if (attempt->kind == response_kind::kStream) {
    BeginResponse(*attempt);
    caller_->SendChunk(attempt->events.TakeHeldBack());
    caller_->EndStream();
  } else {
    caller_->Respond(status, ResponseHeaders(*attempt), attempt->body.bytes());
  }
  Finish();
}

void routed_exchange::OnFaultyResponse(const attempt_ptr& attempt,
                                       attempt_fault fault) {
  attempt->fault = fault;
  duty_.counters_.unusable_heads +=
      fault == attempt_fault::kUnusableHead ? 1 : 0;
  duty_.counters_.events_out_of_order +=
      fault == attempt_fault::kEventOutOfOrder ? 1 : 0;
  // An endpoint that has started again is sound.
  OnAttemptFailed(attempt, attempt_result::kInDoubt,
                  fault == attempt_fault::kUnknownVersion
                      ? endpoint_outcome::kCancelled
                      : endpoint_outcome::kBroken);
}

void routed_exchange::OnAttemptFailed(const attempt_ptr& attempt,
                                      attempt_result outcome,
                                      endpoint_outcome end) {
  const endpoint_id endpoint = attempt->at.endpoint;
  const domain_id domain = attempt->at.domain;
  const bool was_second = attempt == second_;
  if (end == endpoint_outcome::kShed &&
      duty_.selector_.limits().IsLimited(
          {endpoint, attempt->at.start_time_ms})) {
    ++duty_.counters_.refused_by_limited;
  }
  if (end == endpoint_outcome::kBroken) {
    ++duty_.counters_.broken_attempts;
    // An endpoint that announced its end has not crashed.
    // Nor one whose response was not read at its pace.
    if (duty_.selector_.IsServing(endpoint) && !flow_.is_paused()) {
      duty_.crash_observer_.OnBroken(Observed(*attempt));
    }
  }
  EndAttempt(*attempt, end);
  if (was_second) {
    second_.reset();
    next_second_at_ = duty_.clock_.Now() + kSecondAttemptDelay;
  } else {
    current_ = std::exchange(second_, nullptr);
  }
  const bool may_be_needed = was_second && end == endpoint_outcome::kShed;
  const bool may_return =
      displaced_.contains(endpoint) &&
      (end == endpoint_outcome::kShed || end == endpoint_outcome::kSilent);
  if (may_be_needed && !may_return) {
    full_for_second_.insert(endpoint);
  } else if (!may_return) {
    constraints_.excluded.insert(endpoint);
    displaced_.erase(endpoint);
  }
  last_endpoint_ = endpoint;
  if (end == endpoint_outcome::kSilent) {
    constraints_.unreachable_domains.insert(domain);
  }
  if (outcome != attempt_result::kNotExecuted) {
    executed_at_.insert(endpoint);
  } else if (!was_second && !duty_.selector_.HasEnded(endpoint)) {
    ++refusals_;
  }
  const steady_time now = duty_.clock_.Now();
  const bool is_other_under_way = current_ != nullptr;
  const retry_decision next = DecideRetry(History(), outcome);
  const int64_t load_age_ms =
      InMilliseconds(duty_.selector_.PeerLoadAge(now, endpoint));
  duty_.log_.LogRequest(
      "try_failed",
      {{"request", request_.id.text()},
       {"route", route_.name},
       {"endpoint", endpoint.text()},
       {"domain", domain.text()},
       {"end", LogName(end)},
       {"outcome", LogName(outcome)},
       {"status", int64_t{attempt->head.status}},
       {"reason", LogName(attempt->fault)},
       {"next", is_other_under_way ? "other_attempt" : LogName(next)},
       {"runs", int64_t{Executions()}},
       {"max_runs", int64_t{route_.max_executions}},
       {"load_age_ms", load_age_ms},
       {"prompt_parts", FormatPromptParts(traits_.parts)},
       {"request_digest", FormatDigest(traits_.digest)}});
  if (is_other_under_way) {
    return;
  }
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
      ForwardFailure(*attempt);
      return;
    case retry_decision::kAbort:
      AbortStream("the endpoint's stream broke");
      return;
  }
}

void routed_exchange::EndAttempt(endpoint_attempt& attempt,
                                 endpoint_outcome end) {
  attempt.call.reset();
  duty_.selector_.Release(duty_.clock_.Now(), attempt.at.endpoint, end);
  duty_.NotifyLoadChanged();
}

void routed_exchange::KeepOnly(const attempt_ptr& attempt) {
  if (second_ == nullptr) {
    return;
  }
  const bool is_takeover = attempt == second_;
  if (is_takeover) {
    std::swap(current_, second_);
  }
  const attempt_ptr other = std::exchange(second_, nullptr);
  executed_at_.insert(other->at.endpoint);  // Or it may have been.
  displaced_.insert(other->at.endpoint);
  next_second_at_ = duty_.clock_.Now() + kSecondAttemptDelay;
  duty_.counters_.takeovers += is_takeover ? 1 : 0;
  const steady_time now = duty_.clock_.Now();
  const endpoint_attempt& later = is_takeover ? *current_ : *other;
  duty_.log_.LogRequest(
      is_takeover ? "second_try_took_over" : "second_try_ended",
      {{"request", request_.id.text()},
       {"route", route_.name},
       {"endpoint", current_->at.endpoint.text()},
       {"ended_endpoint", other->at.endpoint.text()},
       {"silent_ms", InMilliseconds(now - other->last_received_at)},
       {"overlap_ms", InMilliseconds(now - later.begun_at)}});
  EndAttempt(*other, endpoint_outcome::kCancelled);
}

void routed_exchange::ExcuseStall(duration gap, steady_time now) {
  for (const attempt_ptr& each : {current_, second_}) {
    if (each != nullptr) {
      each->last_received_at = std::min(now, each->last_received_at + gap);
    }
  }
}

bool routed_exchange::NeedsSecond(steady_time now) const {
  attempt_silence state;
  state.is_repeatable = route_.IsRepeatable();
  state.has_response_begun = has_response_begun_;
  state.has_second_attempt = second_ != nullptr;
  state.executions = Executions();
  state.max_executions = route_.max_executions;
  state.may_return = MayReturn();
  state.silent_for = now - current_->last_received_at;
  state.objective = route_.objective;
  if (route_.kind == request_kind::kStreaming) {
    state.max_overlap = MaxOverlap(duty_.hold_ups_.Longest(now));
  }
  return NeedsSecondAttempt(state);
}

void routed_exchange::BeginSecondIfSilent(steady_time now) {
  const bool may_begin =
      current_ != nullptr && !is_awaiting_slot_ && now >= next_second_at_;
  if (may_begin && NeedsSecond(now) && duty_.slow_retry_budget_.TryTake()) {
    StartAttempt();
  }
}

// Only engines must not work on one request side by side.
void routed_exchange::ScheduleOverlapEnd(steady_time now) {
  if (route_.kind != request_kind::kStreaming) {
    return;
  }
  max_overlap_ = MaxOverlap(duty_.hold_ups_.Longest(now));
  overlap_timer_.expires_after(max_overlap_);
  overlap_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self != nullptr) {
          self->EndLongOverlap(self->duty_.clock_.Now());
        }
      });
}

void routed_exchange::EndLongOverlap(steady_time now) {
  if (second_ == nullptr || route_.kind != request_kind::kStreaming) {
    return;
  }
  switch (DecideOverlap(now - second_->begun_at, max_overlap_,
                        now - current_->last_received_at)) {
    case overlap_decision::kKeepBoth:
      return;
    case overlap_decision::kEndFirst:
      KeepOnly(second_);
      return;
    case overlap_decision::kEndSecond:
      KeepOnly(current_);
      return;
  }
}

void routed_exchange::DeferSecondAttempt() {
  next_second_at_ = duty_.clock_.Now() + kSecondAttemptDelay;
  duty_.slow_retry_budget_.Return();
}

void routed_exchange::Tick(steady_time now) {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  if (now < deadline_) {
    if (flow_.is_paused() && current_ != nullptr) {
      current_->last_received_at = now;
    }
    Apply(flow_.OnTick(now, caller_->held()));
    EndLongOverlap(now);
    BeginSecondIfSilent(now);
    if (next_return_at_ && now >= *next_return_at_) {
      next_return_at_.reset();
      StartAttempt();
    }
    return;
  }
  ++duty_.counters_.timed_out;
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
  SendRefusal(Answer(kind).code, retry_after_ms);
}

void routed_exchange::RefusePoison() {
  const steady_time now = duty_.clock_.Now();
  const crash_attribution& crashes = duty_.selector_.crashes();
  const duration blocked_for = crashes.BlockedFor(now, traits_);
  SendRefusal(
      crashes.IsBlocked(now, {traits_.parts}) ? "poison_part"
                                              : "poison_request",
      std::chrono::ceil<std::chrono::milliseconds>(blocked_for).count());
}

void routed_exchange::SendRefusal(std::string_view reason,
                                  int64_t retry_after_ms) {
  header_list headers;
  headers.Add(duty_.options_.wire.retry_after, FormatSeconds(retry_after_ms));
  const int status = 503;
  Log("request_refused", reason, status);
  caller_->Respond(status, headers, {});
  duty_.admission_.OnNotExecuted(request_);
  Finish();
}

void routed_exchange::Fail(int status, std::string_view reason) {
  ++duty_.counters_.failed_in_doubt;
  Log("request_failed", reason, status);
  caller_->Respond(status, {}, {});
  Finish();
}

void routed_exchange::ForwardFailure(const endpoint_attempt& attempt) {
  const int status = attempt.head.status;
  // The endpoint did not mark it as not executed.
  if (PromisesNotExecuted(status)) {
    Fail(502, "the endpoint's error can't be passed on");
    return;
  }
  ++duty_.counters_.forwarded_failures;
  Log("request_failed", "the endpoint returned an error", status);
  caller_->Respond(status, ResponseHeaders(attempt), attempt.body.bytes());
  Finish();
}

void routed_exchange::AbortStream(std::string_view reason) {
  ++duty_.counters_.streams_aborted;
  Log("stream_broken_off", reason, 0);
  caller_->Abort();
  Finish();
}

void routed_exchange::Log(std::string_view event,
                          std::string_view reason,
                          int status) {
  const steady_time now = duty_.clock_.Now();
  const auto usage =
      duty_.selector_.SlotUsage(now, service_, constraints_.software_version);
  duty_.log_.LogRequest(event,
                        {{"request", request_.id.text()},
                         {"route", route_.name},
                         {"config_version", static_cast<int64_t>(version_)},
                         {"service", service_.text()},
                         {"status", int64_t{status}},
                         {"reason", reason},
                         {"last_endpoint", last_endpoint_.text()},
                         {"tries", int64_t{attempts_}},
                         {"runs", int64_t{Executions()}},
                         {"waited_ms", InMilliseconds(now - received_at_)},
                         {"places", int64_t{usage.slots}},
                         {"taken", int64_t{usage.taken}}});
}

void routed_exchange::Finish() {
  if (std::exchange(is_finished_, true)) {
    return;
  }
  caller_->on_disconnected = nullptr;
  caller_->on_taken = nullptr;
  if (is_awaiting_slot_ && duty_.cancel_slot) {
    duty_.cancel_slot(slot_ticket_);
  }
  duty_.metrics_.ObserveTotal(route_.name, duty_.clock_.Now() - received_at_);
  for (const attempt_ptr& each :
       {std::exchange(current_, nullptr), std::exchange(second_, nullptr)}) {
    if (each != nullptr) {
      EndAttempt(*each, endpoint_outcome::kCancelled);
    }
  }
  duty_.active_.erase(shared_from_this());
}

}  // namespace shallotport
