#include "serving/job_operations.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "serving/job_json.h"

namespace shallotport {

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);
constexpr uint32_t kDefaultLimit = 100;

// The number of a query parameter, `otherwise` without one; nothing when it is
// no whole number.
std::optional<uint32_t> NumberOf(const http_request& request,
                                 std::string_view name,
                                 uint32_t otherwise) {
  const auto text = request.Query(name);
  if (!text) {
    return otherwise;
  }
  uint32_t number = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

http_reply BadNumber(const std::string& name) {
  return MakeErrorReply(MakeError(error_kind::kInvalidRequest,
                                  name + ": expected a whole number"),
                        "");
}

// Operators see the account too.
nlohmann::json ForOperators(const job_status& job) {
  nlohmann::json out = JobAsJson(job);
  out["account"] = job.account.text();
  return out;
}

http_reply JobReply(const result<job_status>& job) {
  if (!IsOk(job)) {
    return MakeErrorReply(ErrorOf(job), "");
  }
  return MakeJsonReply(200, ForOperators(ValueOf(job)).dump() + "\n");
}

}  // namespace

job_operations::job_operations(replicated_log& log, const clock_source& clock)
    : client_(log), clock_(clock) {}

void job_operations::AddRoutes(route_table& routes) {
  routes.Add("GET", "/v1/jobs",
             [this](const http_request& request, path_captures) {
               return List(request);
             });
  routes.Add("GET", "/v1/jobs/*",
             [this](const http_request&, path_captures captures) {
               return Show(job_id(std::string(captures[0])));
             });
  routes.Add("POST", "/v1/jobs/*/cancel",
             [this](const http_request&, path_captures captures) {
               return Cancel(job_id(std::string(captures[0])));
             });
  routes.Add("GET", "/v1/jobs/*/results",
             [this](const http_request& request, path_captures captures) {
               return Results(request, job_id(std::string(captures[0])));
             });
}

http_reply job_operations::List(const http_request& request) {
  const std::optional<uint32_t> limit =
      NumberOf(request, "limit", kDefaultLimit);
  if (!limit) {
    return BadNumber("limit");
  }
  list_jobs_query query;
  query.account =
      account_id(std::string(request.Query("account").value_or("")));
  query.after = job_id(std::string(request.Query("after").value_or("")));
  query.limit = *limit;
  const result<job_list> list = client_.List(query, clock_.Now() + kTimeout);
  if (!IsOk(list)) {
    return MakeErrorReply(ErrorOf(list), "");
  }
  nlohmann::json jobs = nlohmann::json::array();
  for (const job_status& job : ValueOf(list).jobs) {
    jobs.push_back(ForOperators(job));
  }
  const nlohmann::json body = {{"jobs", std::move(jobs)},
                               {"has_more", ValueOf(list).has_more}};
  return MakeJsonReply(200, body.dump() + "\n");
}

http_reply job_operations::Show(const job_id& id) {
  return JobReply(client_.Status({account_id(), id}, clock_.Now() + kTimeout));
}

http_reply job_operations::Cancel(const job_id& id) {
  return JobReply(client_.Cancel({account_id(), id}, clock_.Now() + kTimeout));
}

http_reply job_operations::Results(const http_request& request,
                                   const job_id& id) {
  const std::optional<uint32_t> from = NumberOf(request, "from", 0);
  if (!from) {
    return BadNumber("from");
  }
  results_query query;
  query.id = id;
  query.from_index = *from;
  const result<results_page> page =
      client_.Results(query, clock_.Now() + kTimeout);
  if (!IsOk(page)) {
    return MakeErrorReply(ErrorOf(page), "");
  }
  http_reply reply;
  reply.headers.push_back({"Content-Type", "application/jsonl"});
  if (ValueOf(page).has_more) {
    reply.headers.push_back(
        {"X-Next-Index", std::to_string(ValueOf(page).next_index)});
  }
  for (const result_line& line : ValueOf(page).lines) {
    reply.body += ResultLine(line);
  }
  return reply;
}

}  // namespace shallotport
