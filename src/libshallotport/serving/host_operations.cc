#include "serving/host_operations.h"

#include <nlohmann/json.hpp>

#include "consensus/consensus_core.h"
#include "consensus/forwarding_log.h"
#include "consensus/host_replacement.h"

namespace shallotport {

namespace {

constexpr duration kStepTimeout = std::chrono::seconds(10);
constexpr duration kCatchUpTimeout = std::chrono::seconds(60);

host_id HostOf(const http_request& request, std::string_view parameter) {
  return host_id(std::string(request.Query(parameter).value_or("")));
}

http_reply MissingParameter(std::string_view parameter) {
  return MakeErrorReply(
      MakeError(error_kind::kInvalidRequest,
                std::string(parameter) + ": expected a host id"),
      "");
}

http_reply ReplyOf(const status& outcome) {
  return IsOk(outcome) ? MakeJsonReply(200, "{\"done\":true}\n")
                       : MakeErrorReply(ErrorOf(outcome), "");
}

}  // namespace

host_operations::host_operations(forwarding_log& log, const clock_source& clock)
    : log_(log), clock_(clock) {}

void host_operations::AddRoutes(route_table& routes) {
  routes.Add("GET", "/v1/hosts",
             [this](const http_request&, path_captures) { return List(); });
  routes.Add("POST", "/v1/hosts/add",
             [this](const http_request& request, path_captures) {
               return Add(request);
             });
  routes.Add("POST", "/v1/hosts/remove",
             [this](const http_request& request, path_captures) {
               return Remove(request);
             });
  routes.Add("POST", "/v1/hosts/replace",
             [this](const http_request& request, path_captures) {
               return Replace(request);
             });
}

http_reply host_operations::List() const {
  nlohmann::json body;
  body["leader"] = log_.leader().text();
  body["members"] = nlohmann::json::array();
  for (const host_id& host : log_.members()) {
    body["members"].push_back(host.text());
  }
  return MakeJsonReply(200, body.dump() + "\n");
}

http_reply host_operations::Add(const http_request& request) {
  const host_id host = HostOf(request, "host");
  if (host.IsEmpty()) {
    return MissingParameter("host");
  }
  const auto take = [this](membership_step step, const host_id& subject) {
    return log_.ChangeMembership(step, subject, clock_.Now() + kStepTimeout);
  };
  return ReplyOf(AddVoter(take, host, clock_, clock_.Now() + kCatchUpTimeout));
}

http_reply host_operations::Remove(const http_request& request) {
  const host_id host = HostOf(request, "host");
  if (host.IsEmpty()) {
    return MissingParameter("host");
  }
  return ReplyOf(log_.ChangeMembership(membership_step::kRemove, host,
                                       clock_.Now() + kStepTimeout));
}

http_reply host_operations::Replace(const http_request& request) {
  const host_id host = HostOf(request, "host");
  const host_id by = HostOf(request, "by");
  if (host.IsEmpty() || by.IsEmpty()) {
    return MissingParameter(host.IsEmpty() ? "host" : "by");
  }
  const auto take = [this](membership_step step, const host_id& subject) {
    return log_.ChangeMembership(step, subject, clock_.Now() + kStepTimeout);
  };
  return ReplyOf(
      ReplaceVoter(take, host, by, clock_, clock_.Now() + kCatchUpTimeout));
}

}  // namespace shallotport
