#include "serving/batch_lane.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "serving/attempt_sink.h"
#include "serving/model_stream.h"

namespace shallotport {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kControlCallTimeout{2000};
constexpr size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr size_t kMaxDetailBytes = 512;
constexpr int kOkStatus = 200;
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kTextPath = "/v1/completions";

bool IsModelPath(std::string_view path) {
  return path == kChatPath || path == kTextPath;
}

// Statuses with which an endpoint says that this request can never succeed.
bool IsRejection(int status) {
  return status == 400 || status == 404 || status == 405 || status == 413 ||
         status == 422;
}

// Endpoints see items of all accounts: their keys must not meet.
std::string EndpointKey(const start_batch_call& call) {
  return Sha256Hex(call.job->account.text() + "\nbatch " + call.job->id.text() +
                   " " + std::to_string(call.item.index));
}

// The whole answer of a stream, in the shape of an answer without streaming.
std::string WholeAnswer(const start_batch_call& call,
                        const std::string& attempt,
                        const partial_answer& streamed) {
  const bool is_chat = call.job->path == kChatPath;
  json choice = {{"index", 0}};
  if (is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", streamed.text}};
  } else {
    choice["text"] = streamed.text;
  }
  const json answer = {
      {"id", attempt},
      {"object", is_chat ? "chat.completion" : "text_completion"},
      {"model", call.job->service.text()},
      {"choices", json::array({choice})},
      {"usage", {{"completion_tokens", streamed.tokens}}}};
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

class ignoring_sink final : public endpoint_call_sink {
 public:
  void OnHead(int, std::vector<http_field>) override {}
  void OnBytes(std::string_view) override {}
  void OnEnd(const endpoint_call_end&) override {}
};

batch_call_end MakeEnd(batch_call call,
                       call_outcome outcome,
                       error_kind kind,
                       std::string body) {
  batch_call_end end;
  end.call = call;
  end.outcome = outcome;
  end.kind = kind;
  end.body = std::move(body);
  return end;
}

}  // namespace

struct batch_lane::open_call {
  call_number number = 0;
  std::string address;
  std::string attempt;
  bool is_model = false;
  bool is_cancelled = false;
};

// Shared with the sinks, which may outlive a call's place here.
struct batch_lane::open_calls {
  std::mutex mutex;
  std::map<batch_call, open_call> calls;

  // Whether the call was cancelled; forgets it.
  bool Close(batch_call call) {
    const std::lock_guard lock(mutex);
    const auto found = calls.find(call);
    const bool is_cancelled =
        found != calls.end() && found->second.is_cancelled;
    calls.erase(call);
    return is_cancelled;
  }
};

// Reads one item's answer, on the caller's thread.
class batch_lane::sink final : public endpoint_call_sink {
 public:
  sink(start_batch_call call,
       std::string attempt,
       const clock_source& clock,
       steady_time times_out,
       std::shared_ptr<open_calls> calls,
       end_handler ended)
      : call_(std::move(call)),
        attempt_(std::move(attempt)),
        clock_(clock),
        times_out_(times_out),
        calls_(std::move(calls)),
        ended_(std::move(ended)),
        reader_(attempt_),
        streamed_(call_.resume) {}

  void OnHead(int status, std::vector<http_field> headers) override {
    status_ = status;
    is_refused_ = status != kOkStatus &&
                  FindField(headers, kNotRunHeader).value_or("") == "1";
    is_foreign_ =
        status == kOkStatus &&
        FindField(headers, kRequestIdHeader).value_or(attempt_) != attempt_;
    is_stream_ = status == kOkStatus && FindField(headers, "Content-Type")
                                            .value_or("")
                                            .starts_with("text/event-stream");
    has_stated_end_ = FindField(headers, "Content-Length").has_value() ||
                      FindField(headers, "Transfer-Encoding").has_value();
  }

  void OnBytes(std::string_view bytes) override {
    if (!is_stream_) {
      is_too_large_ |= body_.size() + bytes.size() > kMaxAnswerBytes;
      if (!is_too_large_) {
        body_.append(bytes);
      }
      return;
    }
    for (const model_event& event : reader_.AddBytes(bytes)) {
      if (event.what == model_event::kind::kToken) {
        streamed_.text += event.text;
        ++streamed_.tokens;
      } else {
        is_done_ |= event.what == model_event::kind::kDone;
        is_foreign_ |= event.what == model_event::kind::kForeign;
      }
    }
  }

  void OnEnd(const endpoint_call_end& end) override {
    const bool is_cancelled = calls_->Close(call_.call);
    batch_call_end out = EndOf(end, is_cancelled);
    out.partial = streamed_;
    ended_(std::move(out));
  }

 private:
  batch_call_end EndOf(const endpoint_call_end& end, bool is_cancelled) const {
    const auto make = [this](call_outcome outcome, error_kind kind,
                             std::string detail) {
      return MakeEnd(call_.call, outcome, kind, std::move(detail));
    };
    if (!end.is_sent) {
      return make(
          is_cancelled ? call_outcome::kCancelled : call_outcome::kNotRun,
          error_kind::kNoCapacity, end.detail);
    }
    if (is_refused_) {
      return make(call_outcome::kNotRun, error_kind::kEndpointRefused,
                  Detail());
    }
    if (is_foreign_ || is_too_large_) {
      return make(call_outcome::kFailed, error_kind::kEndpointFailed,
                  is_foreign_ ? "the answer belongs to another call"
                              : "the answer is too large");
    }
    if (std::optional<std::string> answer = Answer(end)) {
      return make(call_outcome::kDone, error_kind::kInternal,
                  *std::move(answer));
    }
    if (is_cancelled) {
      return make(call_outcome::kCancelled, error_kind::kCancelled, "");
    }
    if (end.is_whole && status_ == kOkStatus && !is_stream_) {
      return make(call_outcome::kFailed, error_kind::kEndpointFailed,
                  "the answer states no end of its body");
    }
    if (end.is_whole && status_ != kOkStatus) {
      return IsRejection(status_) ? make(call_outcome::kRejected,
                                         error_kind::kInvalidRequest, Detail())
                                  : make(call_outcome::kFailed,
                                         error_kind::kEndpointFailed, Detail());
    }
    const bool is_late = clock_.Now() >= times_out_;
    return make(is_late ? call_outcome::kFailed : call_outcome::kEndpointDied,
                error_kind::kEndpointFailed, "broke off: " + end.detail);
  }

  std::optional<std::string> Answer(const endpoint_call_end& end) const {
    if (status_ != kOkStatus) {
      return std::nullopt;
    }
    if (is_stream_) {
      return is_done_ ? std::optional(WholeAnswer(call_, attempt_, streamed_))
                      : std::nullopt;
    }
    return end.is_whole && has_stated_end_ ? std::optional(body_)
                                           : std::nullopt;
  }

  std::string Detail() const {
    return std::to_string(status_) + " " + body_.substr(0, kMaxDetailBytes);
  }

  const start_batch_call call_;
  const std::string attempt_;
  const clock_source& clock_;
  const steady_time times_out_;
  const std::shared_ptr<open_calls> calls_;
  const end_handler ended_;
  model_stream_reader reader_;
  partial_answer streamed_;
  std::string body_;
  int status_ = 0;
  bool is_refused_ = false;
  bool is_foreign_ = false;
  bool is_stream_ = false;
  bool has_stated_end_ = false;
  bool is_done_ = false;
  bool is_too_large_ = false;
};

batch_lane::batch_lane(options chosen,
                       const clock_source& clock,
                       endpoint_caller& caller)
    : options_(std::move(chosen)),
      clock_(clock),
      caller_(caller),
      calls_(std::make_shared<open_calls>()) {}

batch_lane::~batch_lane() = default;

endpoint_call batch_lane::MakeCall(const start_batch_call& call,
                                   const std::string& attempt) const {
  endpoint_call made;
  made.address = call.address;
  made.path = call.job->path;
  made.body = call.body;
  made.timeout = options_.call_timeout;
  made.headers = {{std::string(kRequestIdHeader), attempt},
                  {"Content-Type", "application/json"}};
  if (!call.job->is_idempotent) {
    made.headers.push_back({"Idempotency-Key", EndpointKey(call)});
  }
  if (call.resume.tokens > 0) {
    made.headers.push_back(
        {"X-Resume-From", std::to_string(call.resume.tokens)});
  }
  return made;
}

void batch_lane::Start(const start_batch_call& call, end_handler ended) {
  const std::string attempt = "batch." + options_.host.text() + "." +
                              std::to_string(options_.started) + "." +
                              std::to_string(call.call);
  endpoint_call made = MakeCall(call, attempt);
  const bool is_model = IsModelPath(call.job->path);
  if (is_model) {
    json body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) {
      ended(MakeEnd(call.call, call_outcome::kRejected,
                    error_kind::kInvalidRequest, "the item is no JSON object"));
      return;
    }
    body["stream"] = call.can_resume;
    made.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  auto reading = std::make_shared<sink>(call, attempt, clock_,
                                        clock_.Now() + options_.call_timeout,
                                        calls_, ended);
  // Held so that the end of a quick call finds its entry.
  std::unique_lock lock(calls_->mutex);
  const result<call_number> number =
      caller_.Start(std::move(made), std::move(reading));
  if (IsOk(number)) {
    calls_->calls[call.call] = {ValueOf(number), call.address, attempt,
                                is_model, false};
    return;
  }
  lock.unlock();
  ended(MakeEnd(call.call, call_outcome::kNotRun, ErrorOf(number).kind,
                ErrorOf(number).detail));
}

void batch_lane::Cancel(batch_call call) {
  open_call cancelled;
  {
    const std::lock_guard lock(calls_->mutex);
    const auto found = calls_->calls.find(call);
    if (found == calls_->calls.end()) {
      return;
    }
    found->second.is_cancelled = true;
    cancelled = found->second;
  }
  caller_.Cancel(cancelled.number);
  if (cancelled.is_model) {
    CancelAtEngine(cancelled);
  }
}

// Over a new connection: the call's own may have gone silent.
void batch_lane::CancelAtEngine(const open_call& cancelled) {
  endpoint_call call;
  call.address = cancelled.address;
  call.path = "/control/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = json{{"attempt", cancelled.attempt}}.dump();
  call.timeout = kControlCallTimeout;
  (void)caller_.Start(std::move(call), std::make_shared<ignoring_sink>());
}

}  // namespace shallotport
