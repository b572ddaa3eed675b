#include "configuration_reports.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "configuration_distributor.h"

namespace shallotport {

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);
constexpr duration kProgressTimeout = std::chrono::seconds(1);

result<uint64_t> NumberOf(const http_request& request,
                          std::string_view name,
                          std::optional<uint64_t> fallback) {
  const std::optional<std::string_view> text = request.Query(name);
  if (!text && fallback) {
    return *fallback;
  }
  uint64_t number = 0;
  const std::string_view digits = text.value_or("");
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(error_kind::kInvalidRequest,
                     std::string(name) + ": expected a whole number");
  }
  return number;
}

nlohmann::json NamesOf(const std::vector<host_id>& hosts) {
  nlohmann::json names = nlohmann::json::array();
  for (const host_id& host : hosts) {
    names.push_back(host.text());
  }
  return names;
}

nlohmann::json JsonOf(const change_record& record) {
  return {{"revision", record.revision},
          {"previous_revision", record.previous_revision},
          {"change_id", record.change_id},
          {"author", record.author},
          {"note", record.note},
          {"accepted_at_ms", record.accepted_at}};
}

}  // namespace

configuration_reports::configuration_reports(
    replicated_log& log,
    const clock_source& clock,
    configuration_distributor& distributor)
    : client_(log), clock_(clock), distributor_(distributor) {}

void configuration_reports::AddRoutes(route_table& routes) {
  routes.Add("GET", "/v1/configuration/history",
             [this](const http_request& request, path_captures) {
               return History(request);
             });
  routes.Add("GET", "/v1/configuration/text",
             [this](const http_request& request, path_captures) {
               return Text(request);
             });
  routes.Add("GET", "/v1/configuration/progress",
             [this](const http_request& request, path_captures) {
               return Progress(request);
             });
}

http_reply configuration_reports::History(const http_request& request) {
  const auto limit = NumberOf(request, "limit", 20);
  if (!IsOk(limit)) {
    return MakeErrorReply(ErrorOf(limit), "");
  }
  const auto records = client_.History(ValueOf(limit), clock_.Now() + kTimeout);
  if (!IsOk(records)) {
    return MakeErrorReply(ErrorOf(records), "");
  }
  nlohmann::json changes = nlohmann::json::array();
  for (const change_record& record : ValueOf(records)) {
    changes.push_back(JsonOf(record));
  }
  return MakeJsonReply(200, nlohmann::json{{"changes", changes}}.dump() + "\n");
}

http_reply configuration_reports::Text(const http_request& request) {
  const auto revision = NumberOf(request, "revision", std::nullopt);
  if (!IsOk(revision)) {
    return MakeErrorReply(ErrorOf(revision), "");
  }
  const auto text = client_.TextOf(ValueOf(revision), clock_.Now() + kTimeout);
  if (!IsOk(text)) {
    return MakeErrorReply(ErrorOf(text), "");
  }
  const nlohmann::json body = {{"revision", ValueOf(revision)},
                               {"text", ValueOf(text)}};
  return MakeJsonReply(200, body.dump() + "\n");
}

http_reply configuration_reports::Progress(const http_request& request) {
  const auto revision = NumberOf(request, "revision", std::nullopt);
  if (!IsOk(revision)) {
    return MakeErrorReply(ErrorOf(revision), "");
  }
  const auto progress =
      distributor_.Progress(ValueOf(revision), kProgressTimeout);
  if (!IsOk(progress)) {
    return MakeErrorReply(ErrorOf(progress), "");
  }
  const nlohmann::json body = {{"revision", ValueOf(revision)},
                               {"behind", NamesOf(ValueOf(progress).behind)},
                               {"silent", NamesOf(ValueOf(progress).silent)}};
  return MakeJsonReply(200, body.dump() + "\n");
}

}  // namespace shallotport
