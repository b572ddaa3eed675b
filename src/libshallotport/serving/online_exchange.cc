#include "serving/online_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "serving/attempt_sink.h"
#include "serving/exchange_finisher.h"
#include "serving/routing_duty.h"
#include "serving/serving_metrics.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kControlCallTimeout{2000};
constexpr std::chrono::milliseconds kShortestCallTimeout{1};

online_request_options MachineOptions(const exchange_request& request) {
  online_request_options options;
  options.id = request.id;
  options.is_idempotent = request.is_idempotent;
  options.has_key = !request.key.empty() && !request.is_claimed;
  options.is_stream = request.is_stream;
  options.deadline = request.deadline;
  options.first_byte_timeout = request.service.first_byte_timeout;
  options.token_gap_timeout = request.service.token_gap_timeout;
  options.hedge_after = request.service.hedge_after;
  options.max_attempts = request.service.max_attempts;
  return options;
}

claim_subject SubjectOf(const exchange_request& request) {
  claim_subject subject;
  subject.account = request.account;
  subject.key = request.key;
  subject.method = request.method;
  subject.path = request.path;
  subject.body = request.body;
  subject.attempt = attempt_id(request.id.text());
  return subject;
}

// A reply body that goes on being produced by its exchange.
class exchange_stream final : public body_stream {
 public:
  explicit exchange_stream(std::shared_ptr<online_exchange> exchange)
      : exchange_(std::move(exchange)) {}
  ~exchange_stream() override { exchange_->EndReply(); }
  state Read(std::string& out, size_t room) override {
    return exchange_->ReadMore(out, room);
  }

 private:
  std::shared_ptr<online_exchange> exchange_;
};

// The answer of an endpoint that was asked for an outcome.
class outcome_sink final : public endpoint_call_sink {
 public:
  // `closes_key`: an absent key was refused for good with the question.
  outcome_sink(incarnation asked,
               bool closes_key,
               std::shared_ptr<event_mailbox> mailbox)
      : asked_(asked), closes_key_(closes_key), mailbox_(std::move(mailbox)) {}
  void OnHead(int status, std::vector<http_field> /*headers*/) override {
    is_good_ = status == 200;
  }
  void OnBytes(std::string_view bytes) override { body_.append(bytes); }
  void OnEnd(const endpoint_call_end& end) override {
    outcome_received learned;
    if (is_good_ && end.is_whole) {
      learned = Read();
    }
    mailbox_->Push(std::move(learned));
  }

 private:
  outcome_received Read() const {
    outcome_received learned;
    const auto body = nlohmann::json::parse(body_, nullptr, false);
    // Another incarnation of the endpoint remembers nothing of the call.
    if (!body.is_object() || body.value("incarnation", uint64_t{0}) != asked_) {
      return learned;
    }
    const std::string state = body.value("state", "");
    if (state == "absent" && closes_key_) {
      learned.outcome = outcome_query_result::kNotExecuted;
    } else if (state == "running") {
      learned.outcome = outcome_query_result::kInProgress;
    } else if (state == "done" && body.contains("answer")) {
      learned.outcome = outcome_query_result::kAnswered;
      learned.response.content_type = "application/json";
      learned.response.body = body["answer"].dump();
    }
    return learned;
  }

  incarnation asked_;
  bool closes_key_;
  std::shared_ptr<event_mailbox> mailbox_;
  std::string body_;
  bool is_good_ = false;
};

// For calls whose answer nobody waits for.
class ignoring_sink final : public endpoint_call_sink {
 public:
  void OnHead(int, std::vector<http_field>) override {}
  void OnBytes(std::string_view) override {}
  void OnEnd(const endpoint_call_end&) override {}
};

}  // namespace

online_exchange::online_exchange(exchange_request request,
                                 const exchange_services& services)
    : request_(std::move(request)),
      services_(services),
      mailbox_(std::make_shared<event_mailbox>()),
      machine_(MachineOptions(request_)),
      writer_(request_.public_id, request_.service.id.text(), request_.is_chat),
      subject_(SubjectOf(request_)),
      started_at_(services.clock->Now()) {}

http_reply online_exchange::Serve() {
  is_started_ = true;
  Perform(machine_.Start(services_.clock->Now()));
  while (!IsReplyReady() && !machine_.is_done()) {
    HandleNextEvent();
  }
  return MakeReply();
}

http_reply online_exchange::Refuse(error reason) {
  failure_ = std::move(reason);
  CorrectRefusal();
  return MakeReply();
}

void online_exchange::CorrectRefusal() {
  const bool uses_claim =
      !request_.is_idempotent && !request_.key.empty() && !request_.is_claimed;
  if (!uses_claim || has_begun_claim_ ||
      Answer(failure_->kind).run != run_outcome::kNotRun) {
    return;
  }
  claim_decided known = services_.claims->Lookup(
      subject_, services_.clock->Now() + services_.claim_timeout);
  if (known.decision == claim_decision::kRecorded) {
    failure_.reset();
    Do(respond_recorded{std::move(known.recorded)});
  } else if (known.decision == claim_decision::kRefused) {
    failure_ = std::move(known.reason);
  }
}

bool online_exchange::IsReplyReady() const {
  if (failure_ || is_out_ended_) {
    return true;
  }
  return status_ != 0 && request_.is_stream && IsEventStream();
}

void online_exchange::HandleNextEvent() {
  std::optional<online_event> event = mailbox_->PopUntil(machine_.next_timer());
  const steady_time now = services_.clock->Now();
  Perform(machine_.Handle(
      now, event ? *std::move(event) : online_event(timer_expired{})));
}

void online_exchange::Perform(action_list actions) {
  for (online_action& action : actions) {
    std::visit([this](auto& kind) { Do(kind); }, action);
  }
}

http_reply online_exchange::MakeReply() {
  const bool is_streamed = !failure_ && !is_out_ended_;
  http_reply reply;
  if (failure_) {
    reply = MakeErrorReply(*failure_, request_.public_id);
    if (Answer(failure_->kind).run == run_outcome::kNotRun) {
      reply.headers.push_back({std::string(kNotRunHeader), "1"});
    }
  } else {
    reply.status = status_;
    reply.headers.push_back({"Content-Type", reply_type_});
  }
  reply.headers.push_back({std::string(kRequestIdHeader), request_.public_id});
  if (is_streamed) {
    reply.stream = std::make_unique<exchange_stream>(shared_from_this());
    return reply;
  }
  if (!failure_) {
    reply.body = std::move(out_);
  }
  EndReply();
  return reply;
}

body_stream::state online_exchange::ReadMore(std::string& out, size_t room) {
  while (out_.empty() && !is_out_ended_ && !is_out_broken_ &&
         !machine_.is_done()) {
    HandleNextEvent();
  }
  const size_t taken = std::min(room, out_.size());
  out.append(out_, 0, taken);
  out_.erase(0, taken);
  if (!out_.empty()) {
    return body_stream::state::kMore;
  }
  if (is_out_ended_) {
    return body_stream::state::kEnd;
  }
  return is_out_broken_ || machine_.is_done() ? body_stream::state::kBroken
                                              : body_stream::state::kMore;
}

void online_exchange::EndReply() {
  if (std::exchange(is_reply_ended_, true)) {
    return;
  }
  services_.metrics->CountReply(
      failure_ ? Answer(failure_->kind).code : std::string_view("ok"),
      services_.clock->Now() - started_at_);
  if (machine_.is_done() || !is_started_) {
    return;
  }
  if (!is_out_ended_ && !failure_) {
    Perform(machine_.Handle(services_.clock->Now(), caller_disconnected{}));
  }
  if (!machine_.is_done()) {
    services_.finisher->Adopt(shared_from_this());
  }
}

void online_exchange::RunToEnd() {
  while (!machine_.is_done()) {
    HandleNextEvent();
  }
}

bool online_exchange::IsModel() const {
  return request_.service.kind == service_kind::kModel;
}

bool online_exchange::IsEventStream() const {
  return reply_type_.starts_with("text/event-stream");
}

std::string online_exchange::EndpointKey() const {
  // Endpoints see keys of all accounts: theirs must not meet.
  return Sha256Hex(request_.account.text() + "\n" + request_.key);
}

void online_exchange::Do(request_route& action) {
  route_query query;
  query.account = request_.account;
  query.service = request_.service.id;
  query.prefix_hash = request_.prefix_hash;
  query.deadline = request_.deadline;
  query.excluded = std::move(action.excluded);
  query.is_retry = action.is_retry;
  query.is_hedge = action.is_hedge;
  query.is_spilled = request_.is_spilled;
  services_.routing->Admit(std::move(query),
                           [mailbox = mailbox_](result<route_choice> choice) {
                             mailbox->Push(route_decided{std::move(choice)});
                           });
}

void online_exchange::Do(const begin_claim& action) {
  has_begun_claim_ = true;
  const steady_time limit = std::min(
      request_.deadline, services_.clock->Now() + services_.claim_timeout);
  mailbox_->Push(services_.claims->Begin(
      subject_, action.endpoint, action.started, limit, request_.deadline));
}

void online_exchange::Do(const finish_claim& action) {
  services_.claims->Finish(subject_, action.response);
}

void online_exchange::Do(const release_claim& /*action*/) {
  services_.claims->Release(subject_);
}

void online_exchange::Do(const abandon_claim& /*action*/) {
  services_.claims->Abandon(subject_);
}

std::vector<http_field> online_exchange::HeadersOf(
    const start_attempt& action) const {
  std::vector<http_field> headers;
  headers.push_back({std::string(kRequestIdHeader), action.id.text()});
  if (!request_.content_type.empty()) {
    headers.push_back({"Content-Type", request_.content_type});
  }
  if (action.resume_after > 0) {
    headers.push_back({"X-Resume-From", std::to_string(action.resume_after)});
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - services_.clock->Now());
  headers.push_back(
      {"X-Deadline-Ms", std::to_string(std::max<int64_t>(left.count(), 1))});
  if (!action.route.spill_domain) {
    if (!request_.key.empty()) {
      headers.push_back({"Idempotency-Key", EndpointKey()});
    }
    return headers;
  }
  headers.push_back({std::string(kSpilledHeader), services_.peer_secret});
  headers.push_back({"Authorization", "Bearer " + request_.bearer_token});
  if (!request_.key.empty()) {
    headers.push_back({"Idempotency-Key", request_.key});
    headers.push_back({std::string(kClaimedHeader), "1"});
  }
  return headers;
}

void online_exchange::Do(const start_attempt& action) {
  endpoint_call call;
  call.method = request_.method;
  call.address = action.route.address;
  call.path = request_.path;
  call.headers = HeadersOf(action);
  call.body = request_.body;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - services_.clock->Now());
  // A call that cannot be repeated may still answer after the deadline, for
  // the record that resends get.
  call.timeout =
      std::max(kShortestCallTimeout, request_.is_idempotent ? left : 2 * left);
  call.connect_timeout =
      std::clamp(left, kShortestCallTimeout, call.connect_timeout);
  attempt_sink::identity self{action.attempt, action.id,
                              request_id(request_.public_id), IsModel()};
  const result<call_number> started = services_.caller->Start(
      std::move(call),
      std::make_shared<attempt_sink>(std::move(self), mailbox_));
  if (!IsOk(started)) {
    mailbox_->Push(attempt_ended{action.attempt, attempt_end_kind::kNotSent,
                                 ErrorOf(started).retry_after});
    return;
  }
  calls_[action.attempt] = {ValueOf(started), action};
}

void online_exchange::Do(const cancel_attempt& action) {
  const auto found = calls_.find(action.attempt);
  if (found == calls_.end()) {
    return;
  }
  services_.caller->Cancel(found->second.number);
  CancelAtEngine(found->second.attempt);
  calls_.erase(found);
}

// Closing the connection is enough for an engine that sees it closed; one
// behind a silent connection has to be told over a new one.
void online_exchange::CancelAtEngine(const start_attempt& attempt) {
  if (!IsModel() || attempt.route.spill_domain) {
    return;
  }
  endpoint_call call;
  call.address = attempt.route.address;
  call.path = "/control/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = nlohmann::json{{"attempt", attempt.id.text()}}.dump();
  call.timeout = kControlCallTimeout;
  (void)services_.caller->Start(std::move(call),
                                std::make_shared<ignoring_sink>());
}

void online_exchange::Do(const query_outcome& action) {
  endpoint_call call;
  call.method = "GET";
  call.address = action.route.address;
  call.path = "/control/outcome?key=" + EndpointKey() +
              (action.closes_key ? "&close=1" : "");
  call.timeout = kControlCallTimeout;
  const result<call_number> started = services_.caller->Start(
      std::move(call), std::make_shared<outcome_sink>(
                           action.route.started, action.closes_key, mailbox_));
  if (!IsOk(started)) {
    mailbox_->Push(outcome_received{});
  }
}

void online_exchange::Do(const report_started& action) {
  services_.routing->ReportStarted(action.ticket);
}

void online_exchange::Do(const report_first_byte& action) {
  services_.metrics->ObserveFirstByte(services_.clock->Now() - started_at_);
  services_.routing->ReportFirstByte(action.ticket);
}

void online_exchange::Do(const report_finished& action) {
  services_.routing->ReportFinished(action.ticket, action.outcome,
                                    action.service_time);
}

void online_exchange::Do(const send_head& action) {
  status_ = action.http_status;
  reply_type_ = action.content_type;
}

void online_exchange::Do(const send_bytes& action) {
  out_ += IsEventStream() ? writer_.Token(action.bytes) : action.bytes;
}

void online_exchange::Do(const send_end& /*action*/) {
  if (IsEventStream()) {
    out_ += writer_.End();
  }
  is_out_ended_ = true;
}

void online_exchange::Do(const respond_recorded& action) {
  Do(send_head{action.response.http_status, action.response.content_type});
  Do(send_bytes{action.response.body});
  Do(send_end{});
}

void online_exchange::Do(const respond_error& action) {
  failure_ = action.failure;
  if (!action.is_after_head) {
    CorrectRefusal();
    return;
  }
  if (IsEventStream()) {
    out_ += model_stream_writer::Failure(
        ErrorBody(action.failure, request_.public_id));
  }
  is_out_broken_ = true;
}

void online_exchange::Do(const request_done& /*action*/) {}

}  // namespace shallotport
