#include "serving/caller_interface.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "serving/attempt_sink.h"

namespace shallotport {

namespace {

using nlohmann::json;

// Prompts that agree in this many bytes are taken to share cached state.
constexpr size_t kPrefixBytes = 512;
constexpr size_t kMaxNameBytes = 256;
constexpr std::chrono::milliseconds kLongestDeadline{3'600'000};
constexpr std::string_view kBearer = "Bearer ";

std::string PromptOf(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  std::string text;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return text;
  }
  for (const json& message : *messages) {
    if (text.size() >= kPrefixBytes) {
      break;
    }
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      text += message.value("role", "") + ":" +
              message["content"].get<std::string>() + "\n";
    }
  }
  return text;
}

uint64_t PrefixHash(std::string_view prompt, const account_id& account) {
  const uint64_t seed = HashOf(account.text());
  return prompt.empty() ? 0 : HashOf(prompt.substr(0, kPrefixBytes), seed);
}

// Names that end up in headers and answers: printable, bounded.
bool IsPlainName(std::string_view name) {
  return name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

result<std::chrono::milliseconds> DeadlineOf(
    const http_request& request,
    const service_configuration& service) {
  const auto text = request.Header("X-Deadline-Ms");
  if (!text) {
    return service.default_deadline;
  }
  int64_t count = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), count);
  if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() ||
      count < 1 || count > kLongestDeadline.count()) {
    return MakeError(
        error_kind::kInvalidRequest,
        "X-Deadline-Ms: not a whole number of milliseconds from 1 to " +
            std::to_string(kLongestDeadline.count()));
  }
  return std::chrono::milliseconds(count);
}

}  // namespace

caller_interface::caller_interface(options self,
                                   const exchange_services& services,
                                   const configuration_view& configuration)
    : self_(std::move(self)),
      services_(services),
      configuration_(configuration) {}

http_reply caller_interface::Handle(http_request request) {
  std::string public_id(request.Header(kRequestIdHeader).value_or(""));
  if (public_id.empty() || !IsPlainName(public_id)) {
    public_id = NextRequestId().text();
  }
  const auto refuse = [&](const error& reason) {
    http_reply reply = MakeErrorReply(reason, public_id);
    reply.headers.push_back({std::string(kRequestIdHeader), public_id});
    reply.headers.push_back({std::string(kNotRunHeader), "1"});
    return reply;
  };
  const error draining{error_kind::kShuttingDown, "the host is shutting down",
                       std::chrono::milliseconds(1)};
  const result<authenticated_caller> caller = Authenticate(request);
  if (!IsOk(caller)) {
    return refuse(ErrorOf(caller));
  }
  const bool is_batch =
      request.path == "/v1/batches" || request.path.starts_with("/v1/batches/");
  if (is_batch && is_draining_) {
    return refuse(draining);
  }
  if (is_batch) {
    if (!batches_) {
      return refuse(MakeError(error_kind::kNotFound, "no batch jobs here"));
    }
    http_reply reply = batches_(request, ValueOf(caller));
    reply.headers.push_back({std::string(kRequestIdHeader), public_id});
    return reply;
  }
  result<exchange_request> exchange =
      MakeExchange(request, ValueOf(caller), public_id);
  if (!IsOk(exchange)) {
    return refuse(ErrorOf(exchange));
  }
  const auto running = std::make_shared<online_exchange>(
      std::move(ValueOf(exchange)), services_);
  return is_draining_ ? running->Refuse(draining) : running->Serve();
}

result<authenticated_caller> caller_interface::Authenticate(
    const http_request& request) const {
  authenticated_caller caller;
  caller.settings = configuration_.Current();
  if (!caller.settings) {
    return error{error_kind::kNoCapacity,
                 "the host has no configuration in force yet",
                 std::chrono::milliseconds(500)};
  }
  const std::string_view text = request.Header("Authorization").value_or("");
  if (!text.starts_with(kBearer)) {
    return MakeError(error_kind::kUnauthenticated,
                     "Authorization: Bearer TOKEN is missing");
  }
  caller.token = text.substr(kBearer.size());
  caller.account = caller.settings->FindByToken(caller.token);
  if (caller.account == nullptr) {
    return MakeError(error_kind::kUnauthenticated, "unknown token");
  }
  return caller;
}

result<caller_interface::online_target> caller_interface::FindTarget(
    const http_request& request,
    const account_id& account) {
  const std::vector<std::string_view> segments = PathSegments(request.path);
  if (segments.size() >= 3 && segments[0] == "v1" &&
      segments[1] == "services") {
    online_target target;
    target.service = service_id(std::string(segments[2]));
    target.endpoint_path = request.path;
    return target;
  }
  const bool is_chat = request.path == "/v1/chat/completions";
  if (!is_chat && request.path != "/v1/completions") {
    return MakeError(error_kind::kNotFound, "no " + request.path + " here");
  }
  if (request.method != "POST") {
    return MakeError(error_kind::kInvalidRequest,
                     request.path + " takes POST only");
  }
  result<online_target> target = ReadModelRequest(request, account);
  if (IsOk(target)) {
    ValueOf(target).is_chat = is_chat;
  }
  return target;
}

result<caller_interface::online_target> caller_interface::ReadModelRequest(
    const http_request& request,
    const account_id& account) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeError(error_kind::kInvalidRequest,
                     "the body is no JSON object in UTF-8");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return MakeError(error_kind::kInvalidRequest,
                     "model: missing; expected a text");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return MakeError(error_kind::kInvalidRequest,
                     "stream: expected true or false");
  }
  online_target target;
  target.service = service_id(model->get<std::string>());
  target.endpoint_path = request.path;
  target.is_model = true;
  target.is_stream = stream != body.end() && stream->get<bool>();
  target.prefix_hash = PrefixHash(PromptOf(body), account);
  return target;
}

result<exchange_request> caller_interface::MakeExchange(
    http_request& request,
    const authenticated_caller& caller,
    const std::string& public_id) {
  result<online_target> found = FindTarget(request, caller.account->id);
  if (!IsOk(found)) {
    return ErrorOf(found);
  }
  online_target& target = ValueOf(found);
  const service_configuration* service =
      caller.settings->FindService(target.service);
  const bool is_reachable =
      service != nullptr && MayCall(*caller.account, *service) &&
      (service->kind == service_kind::kModel) == target.is_model;
  if (!is_reachable) {
    return MakeError(error_kind::kNotFound,
                     "no service " + target.service.text());
  }
  const result<std::chrono::milliseconds> deadline =
      DeadlineOf(request, *service);
  if (!IsOk(deadline)) {
    return ErrorOf(deadline);
  }
  exchange_request exchange;
  exchange.key = request.Header("Idempotency-Key").value_or("");
  if (!IsPlainName(exchange.key)) {
    return MakeError(error_kind::kInvalidRequest,
                     "Idempotency-Key: expected at most 256 printable "
                     "characters without spaces");
  }
  exchange.id = NextRequestId();
  exchange.public_id = public_id;
  exchange.account = caller.account->id;
  exchange.bearer_token = caller.token;
  exchange.service = *service;
  exchange.is_idempotent = service->is_idempotent || request.method == "GET" ||
                           request.method == "HEAD";
  exchange.method = request.method;
  exchange.path = target.endpoint_path;
  exchange.content_type = request.Header("Content-Type").value_or("");
  exchange.body = std::move(request.body);
  exchange.prefix_hash = target.prefix_hash;
  exchange.is_stream = target.is_stream;
  exchange.is_chat = target.is_chat;
  exchange.is_spilled = IsFromPeer(request);
  exchange.is_claimed =
      exchange.is_spilled && request.Header(kClaimedHeader).has_value();
  exchange.deadline = services_.clock->Now() + ValueOf(deadline);
  return exchange;
}

bool caller_interface::IsFromPeer(const http_request& request) const {
  return request.Header(kSpilledHeader).value_or("") == services_.peer_secret;
}

request_id caller_interface::NextRequestId() {
  return request_id(self_.host.text() + "-" + std::to_string(self_.started) +
                    "-" + std::to_string(++last_request_));
}

}  // namespace shallotport
