// What a fake endpoint does with each kind of request.

#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/digest.h"
#include "fakes/fake_answers.h"
#include "fakes/fake_endpoint_server.h"

namespace shallotport {

using nlohmann::json;

namespace {

constexpr int kExitStatusOfFault = 137;

std::string HeaderOf(const _u_request& request, const char* name) {
  const char* value = u_map_get_case(request.map_header, name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string ParameterOf(const _u_request& request, const char* name) {
  const char* value = u_map_get(request.map_url, name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string_view BodyOf(const _u_request& request) {
  return {static_cast<const char*>(request.binary_body),
          request.binary_body_length};
}

// A discarded value for anything but a JSON object.
json ObjectOf(const _u_request& request) {
  json body = json::parse(BodyOf(request), nullptr, false);
  return body.is_object() ? body : json(json::value_t::discarded);
}

void SetJson(_u_response& response, unsigned status, const json& body) {
  const std::string text = body.dump();
  ulfius_set_binary_body_response(&response, status, text.data(), text.size());
  u_map_put(response.map_header, "Content-Type", "application/json");
}

void SetError(_u_response& response, unsigned status, const char* code) {
  SetJson(response, status, {{"error", code}});
}

void SetNotRun(_u_response& response, unsigned status, const char* code) {
  u_map_put(response.map_header, "X-Not-Run", "1");
  SetError(response, status, code);
}

uint32_t NumberOr(const std::string& text, uint32_t fallback) {
  uint32_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Sends the first half of a body whose whole length was promised.
struct cut_body {
  std::string text;
  size_t sent = 0;
};

ssize_t ReadCutBody(void* data, uint64_t, char* out, size_t max) {
  cut_body& body = *static_cast<cut_body*>(data);
  const size_t rest = body.text.size() / 2 - body.sent;
  if (rest == 0) {
    return static_cast<ssize_t>(U_STREAM_ERROR);
  }
  const size_t size = std::min(rest, max);
  body.text.copy(out, size, body.sent);
  body.sent += size;
  return static_cast<ssize_t>(size);
}

void SetCutJson(_u_response& response, const json& body) {
  auto* cut = new cut_body{body.dump()};
  u_map_put(response.map_header, "Content-Type", "application/json");
  ulfius_set_stream_response(
      &response, 200, ReadCutBody,
      [](void* data) { delete static_cast<cut_body*>(data); }, cut->text.size(),
      4096, cut);
}

}  // namespace

// The state of one streamed answer, owned by the connection.
struct fake_endpoint_server::stream_reader {
  fake_endpoint_server* server;
  std::shared_ptr<fake_call> call;
  std::string buffer;
  uint32_t next_token = 0;
  bool is_done = false;

  static ssize_t Read(void* data, uint64_t, char* out, size_t max) {
    auto& reader = *static_cast<stream_reader*>(data);
    if (reader.buffer.empty() && !reader.Fill()) {
      return static_cast<ssize_t>(U_STREAM_END);
    }
    const size_t size = std::min(reader.buffer.size(), max);
    reader.buffer.copy(out, size);
    reader.buffer.erase(0, size);
    return static_cast<ssize_t>(size);
  }

  static void Free(void* data) {
    auto* reader = static_cast<stream_reader*>(data);
    {
      const std::lock_guard lock(reader->server->mutex_);
      if (reader->server->engine_.Cancel(reader->server->Now(),
                                         reader->call->attempt)) {
        reader->server->engine_changed_.notify_all();
      }
    }
    delete reader;
  }

  // Waits for the next token. False at the end of the stream.
  bool Fill() {
    if (is_done) {
      return false;
    }
    std::unique_lock lock(server->mutex_);
    fake_call& own = *call;
    const uint32_t half =
        own.first_token + (own.token_count - own.first_token) / 2;
    if (own.fault == fault_mode::kTruncate && next_token >= half) {
      return false;
    }
    if (own.fault == fault_mode::kSilent && next_token >= half) {
      lock.unlock();
      server->WaitSilently();
      return false;
    }
    own.changed.wait(lock, [this, &own] {
      return own.computed_tokens > next_token || own.is_finished ||
             own.is_cancelled || server->is_stopping_;
    });
    if (own.computed_tokens > next_token) {
      buffer = FakeStreamChunk(own, next_token++);
      return true;
    }
    is_done = true;
    if (!own.is_finished) {
      return false;
    }
    lock.unlock();
    server->FinishCall(own);
    buffer = "data: [DONE]\n\n";
    return true;
  }
};

void fake_endpoint_server::HandleCompletion(const _u_request& request,
                                            _u_response& response) {
  const json body = ObjectOf(request);
  if (body.is_discarded()) {
    return SetNotRun(response, 400, "invalid_request");
  }
  const fault_setting fault = DrawFault();
  if (RefuseIfFaulty(fault.mode, response)) {
    return;
  }
  auto call = std::make_shared<fake_call>();
  call->is_chat = body.contains("messages");
  call->prompt = FakePromptOf(body);
  call->attempt = HeaderOf(request, "X-Request-Id");
  call->key = HeaderOf(request, "Idempotency-Key");
  if (!ReserveAttempt(call)) {
    return SetNotRun(response, 409, "attempt_exists");
  }
  if (call->key.empty()) {
    call->key = "prompt:" + std::to_string(HashOf(call->prompt));
  }
  const auto max_tokens = body.find("max_tokens");
  call->token_count =
      max_tokens != body.end() && max_tokens->is_number_unsigned()
          ? max_tokens->get<uint32_t>()
          : 16;
  if (options_.record.can_resume) {
    call->first_token = std::min(
        NumberOr(HeaderOf(request, "X-Resume-From"), 0), call->token_count);
  }
  call->computed_tokens = call->first_token;
  call->fault = fault.mode;
  if (fault.mode == fault_mode::kSlow) {
    std::this_thread::sleep_for(fault.extra);
  }
  if (!run_book_.BeginRun(call->key, call->attempt)) {
    const std::lock_guard lock(mutex_);
    calls_.erase(call->attempt);
    return SetNotRun(response, 503, "key_closed");
  }
  {
    const std::lock_guard lock(mutex_);
    call->shown_id = call->attempt;
    call->shown_prompt = call->prompt;
    if (fault.mode == fault_mode::kCrossed) {
      call->shown_id = previous_attempt_;
      call->shown_prompt = previous_prompt_;
    }
    previous_attempt_ = call->attempt;
    previous_prompt_ = call->prompt;
    engine_.Submit(Now(), {call->attempt, call->prompt, call->token_count,
                           call->first_token});
  }
  engine_changed_.notify_all();
  u_map_put(response.map_header, "X-Request-Id", call->shown_id.c_str());
  const auto stream = body.find("stream");
  if (stream != body.end() && stream->is_boolean() && stream->get<bool>()) {
    AnswerStream(call, response);
  } else {
    AnswerWhole(call, response);
  }
}

bool fake_endpoint_server::ReserveAttempt(
    const std::shared_ptr<fake_call>& call) {
  const std::lock_guard lock(mutex_);
  if (call->attempt.empty()) {
    call->attempt = "local-" + std::to_string(++local_attempts_);
  }
  return calls_.emplace(call->attempt, call).second;
}

void fake_endpoint_server::AnswerStream(const std::shared_ptr<fake_call>& call,
                                        _u_response& response) {
  u_map_put(response.map_header, "Content-Type", "text/event-stream");
  auto* reader = new stream_reader{this, call, {}, call->first_token};
  ulfius_set_stream_response(&response, 200, &stream_reader::Read,
                             &stream_reader::Free, U_STREAM_SIZE_UNKNOWN, 4096,
                             reader);
}

void fake_endpoint_server::AnswerWhole(const std::shared_ptr<fake_call>& call,
                                       _u_response& response) {
  {
    std::unique_lock lock(mutex_);
    call->changed.wait(lock, [this, &call] {
      return call->is_finished || call->is_cancelled || is_stopping_;
    });
    if (!call->is_finished) {
      return SetError(response, 499, "cancelled");
    }
  }
  if (call->fault == fault_mode::kSilent) {
    WaitSilently();
  }
  FinishCall(*call);
  const json body = FakeWholeAnswer(*call);
  if (call->fault == fault_mode::kTruncate) {
    return SetCutJson(response, body);
  }
  SetJson(response, 200, body);
}

void fake_endpoint_server::FinishCall(const fake_call& call) {
  run_book_.EndRun(call.key, FakeWholeAnswer(call).dump());
  if (call.fault == fault_mode::kDieAfter) {
    _exit(kExitStatusOfFault);
  }
}

void fake_endpoint_server::HandleService(const _u_request& request,
                                         _u_response& response) {
  const fault_setting fault = DrawFault();
  if (RefuseIfFaulty(fault.mode, response)) {
    return;
  }
  const std::string attempt = HeaderOf(request, "X-Request-Id");
  std::string key = HeaderOf(request, "Idempotency-Key");
  if (key.empty()) {
    key = "attempt:" + attempt;
  }
  {
    const std::lock_guard lock(mutex_);
    ++active_services_;
  }
  const bool is_slow = fault.mode == fault_mode::kSlow;
  std::this_thread::sleep_for(options_.service_time +
                              (is_slow ? fault.extra : duration(0)));
  const std::optional<uint64_t> run = run_book_.BeginRun(key, attempt);
  if (run) {
    const std::string token = Sha256Hex(options_.record.id.text() + ":" + key +
                                        ":" + std::to_string(*run));
    json body = {{"run", *run}, {"token", token.substr(0, 16)}};
    run_book_.EndRun(key, body.dump());
    if (fault.mode == fault_mode::kDieAfter) {
      _exit(kExitStatusOfFault);
    }
    if (fault.mode == fault_mode::kSilent) {
      WaitSilently();
    }
    const bool is_crossed = fault.mode == fault_mode::kCrossed;
    u_map_put(response.map_header, "X-Request-Id",
              is_crossed ? "crossed" : attempt.c_str());
    if (fault.mode == fault_mode::kTruncate) {
      SetCutJson(response, body);
    } else {
      SetJson(response, 200, body);
    }
  } else {
    SetNotRun(response, 503, "key_closed");
  }
  const std::lock_guard lock(mutex_);
  --active_services_;
}

void fake_endpoint_server::HandleCancel(const _u_request& request,
                                        _u_response& response) {
  const json body = ObjectOf(request);
  if (body.is_discarded() || !body.contains("attempt") ||
      !body["attempt"].is_string()) {
    return SetError(response, 400, "invalid_request");
  }
  bool is_cancelled = false;
  {
    const std::lock_guard lock(mutex_);
    is_cancelled = engine_.Cancel(Now(), body["attempt"].get<std::string>());
  }
  engine_changed_.notify_all();
  SetJson(response, 200, {{"cancelled", is_cancelled}});
}

void fake_endpoint_server::HandleOutcome(const _u_request& request,
                                         _u_response& response) {
  if (!options_.record.remembers_outcomes) {
    return SetError(response, 404, "not_found");
  }
  constexpr std::array<const char*, 3> kStateNames = {"absent", "running",
                                                      "done"};
  const fake_run_book::outcome outcome = run_book_.OutcomeOf(
      ParameterOf(request, "key"), ParameterOf(request, "close") == "1");
  json body = {{"state", kStateNames[static_cast<size_t>(outcome.state)]},
               {"incarnation", options_.record.started}};
  if (outcome.state == fake_run_book::key_state::kDone) {
    body["answer"] = json::parse(outcome.answer, nullptr, false);
  }
  SetJson(response, 200, body);
}

void fake_endpoint_server::HandleRuns(const _u_request&,
                                      _u_response& response) {
  json body = run_book_.ToJson();
  const std::lock_guard lock(mutex_);
  body["cache_hits"] = engine_.cache_hits();
  body["cache_misses"] = engine_.cache_misses();
  body["running"] = engine_.running();
  body["queued"] = engine_.queued();
  SetJson(response, 200, body);
}

void fake_endpoint_server::HandleOrder(const _u_request& request,
                                       _u_response& response) {
  const json body = ObjectOf(request);
  if (body.is_discarded() || !body.contains("fencing") ||
      !body["fencing"].is_number_unsigned()) {
    return SetError(response, 400, "invalid_request");
  }
  const std::string order = body.value("order_id", "");
  if (!run_book_.AcceptOrder(body["fencing"].get<uint64_t>(), order,
                             options_.record.checks_fencing)) {
    return SetJson(response, 409,
                   {{"error", "old_fencing_number"},
                    {"highest", run_book_.highest_fencing()}});
  }
  SetJson(response, 200, {{"accepted", true}, {"order_id", order}});
}

void fake_endpoint_server::HandleFault(const _u_request& request,
                                       _u_response& response) {
  const json body = ObjectOf(request);
  const auto mode = body.is_discarded()
                        ? std::nullopt
                        : FaultModeOfName(body.value("mode", "none"));
  if (!mode) {
    return SetError(response, 400, "invalid_request");
  }
  const std::lock_guard lock(mutex_);
  options_.fault.mode = *mode;
  options_.fault.rate = body.value("rate", 1.0);
  options_.fault.extra = std::chrono::milliseconds(body.value("extra_ms", 0));
  SetJson(response, 200,
          {{"mode", kFaultModeNames[static_cast<size_t>(*mode)]}});
}

bool fake_endpoint_server::RefuseIfFaulty(fault_mode fault,
                                          _u_response& response) const {
  if (fault == fault_mode::kDieBefore) {
    _exit(kExitStatusOfFault);
  }
  if (fault != fault_mode::kRefuse) {
    return false;
  }
  SetNotRun(response, 503, "refused");
  return true;
}

void fake_endpoint_server::WaitSilently() {
  constexpr std::chrono::seconds kLongestSilence{60};
  std::unique_lock lock(mutex_);
  engine_changed_.wait_for(lock, kLongestSilence,
                           [this] { return is_stopping_ || is_leaving_; });
}

fault_setting fake_endpoint_server::DrawFault() {
  const std::lock_guard lock(mutex_);
  return UniformUnit(random_) < options_.fault.rate ? options_.fault
                                                    : fault_setting{};
}

}  // namespace shallotport
