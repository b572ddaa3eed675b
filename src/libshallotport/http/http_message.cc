#include "http/http_message.h"

#include <strings.h>

#include <nlohmann/json.hpp>

namespace shallotport {

std::optional<std::string_view> FindField(std::span<const http_field> fields,
                                          std::string_view name) {
  for (const http_field& field : fields) {
    if (field.name.size() == name.size() &&
        ::strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
      return field.value;
    }
  }
  return std::nullopt;
}

http_reply MakeJsonReply(int status, std::string body) {
  http_reply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = std::move(body);
  return reply;
}

std::string ErrorBody(const error& failure, std::string_view request_name) {
  const error_answer& answer = Answer(failure.kind);
  nlohmann::json body;
  nlohmann::json& inner = body["error"];
  inner["code"] = answer.code;
  inner["message"] = failure.detail;
  inner["run"] = NameOf(answer.run);
  inner["retry"] = NameOf(answer.retry);
  if (failure.retry_after.count() > 0) {
    inner["retry_after_ms"] = failure.retry_after.count();
  }
  if (!request_name.empty()) {
    inner["request_id"] = request_name;
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

http_reply MakeErrorReply(const error& failure, std::string_view request_name) {
  http_reply reply = MakeJsonReply(Answer(failure.kind).http_status,
                                   ErrorBody(failure, request_name));
  if (failure.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
    reply.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return reply;
}

std::vector<std::string_view> PathSegments(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    const std::string_view segment = path.substr(0, slash);
    if (!segment.empty()) {
      segments.push_back(segment);
    }
    if (slash == std::string_view::npos) {
      break;
    }
    path.remove_prefix(slash + 1);
  }
  return segments;
}

}  // namespace shallotport
