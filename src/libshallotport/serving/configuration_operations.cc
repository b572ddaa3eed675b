#include "serving/configuration_operations.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/configuration_parser.h"

namespace shallotport {

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

result<configuration_change> ReadChange(const http_request& request) {
  configuration_change change;
  const std::string_view expected =
      request.Query("expected_revision").value_or("");
  const char* end = expected.data() + expected.size();
  const auto parsed =
      std::from_chars(expected.data(), end, change.expected_revision);
  if (expected.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(error_kind::kInvalidRequest,
                     "expected_revision: expected a whole number");
  }
  change.change_id = request.Query("change_id").value_or("");
  if (change.change_id.empty()) {
    return MakeError(error_kind::kInvalidRequest,
                     "change_id: expected a text that names this change");
  }
  change.author = request.Query("author").value_or("");
  change.note = request.Query("note").value_or("");
  result<configuration> config =
      ParseConfiguration(request.body, "configuration");
  if (!IsOk(config)) {
    return ErrorOf(config);
  }
  change.text = request.body;
  change.parsed = std::move(ValueOf(config));
  return change;
}

http_reply ReplyOf(const change_outcome& outcome) {
  const nlohmann::json body = {{"revision", outcome.revision},
                               {"repeated", outcome.is_repeat}};
  switch (outcome.verdict) {
    case change_verdict::kAccepted:
      return MakeJsonReply(200, body.dump() + "\n");
    case change_verdict::kConflict:
      return MakeErrorReply(
          MakeError(error_kind::kConflict,
                    "revision " + std::to_string(outcome.revision) +
                        " is in force, not the expected one"),
          "");
    case change_verdict::kChangeIdReused:
      return MakeErrorReply(
          MakeError(error_kind::kConflict,
                    "change_id was used for a different change"),
          "");
    case change_verdict::kInvalid:
      break;
  }
  return MakeErrorReply(
      MakeError(error_kind::kInvalidRequest, "the change was refused"), "");
}

}  // namespace

configuration_operations::configuration_operations(
    replicated_log& log,
    const clock_source& clock,
    std::function<void()> on_applied)
    : client_(log), clock_(clock), on_applied_(std::move(on_applied)) {}

void configuration_operations::AddRoutes(route_table& routes) {
  routes.Add("POST", "/v1/configuration",
             [this](const http_request& request, path_captures) {
               return Apply(request);
             });
  routes.Add("GET", "/v1/configuration",
             [this](const http_request&, path_captures) { return Current(); });
}

http_reply configuration_operations::Apply(const http_request& request) {
  const result<configuration_change> change = ReadChange(request);
  if (!IsOk(change)) {
    return MakeErrorReply(ErrorOf(change), "");
  }
  const result<change_outcome> outcome =
      client_.Apply(ValueOf(change), clock_.Now() + kTimeout);
  if (!IsOk(outcome)) {
    return MakeErrorReply(ErrorOf(outcome), "");
  }
  if (ValueOf(outcome).verdict == change_verdict::kAccepted) {
    on_applied_();
  }
  return ReplyOf(ValueOf(outcome));
}

http_reply configuration_operations::Current() {
  const result<configuration_in_force> current =
      client_.Current(clock_.Now() + kTimeout);
  if (!IsOk(current)) {
    return MakeErrorReply(ErrorOf(current), "");
  }
  const nlohmann::json body = {{"revision", ValueOf(current).revision},
                               {"text", ValueOf(current).text}};
  return MakeJsonReply(200, body.dump() + "\n");
}

}  // namespace shallotport
