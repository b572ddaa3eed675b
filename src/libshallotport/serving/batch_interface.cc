#include "serving/batch_interface.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "serving/caller_interface.h"
#include "serving/job_json.h"
#include "serving/jsonl_items.h"

namespace shallotport {

namespace {

constexpr duration kTimeout = std::chrono::seconds(10);
// Bounds of one add_items command: its entry is replicated as a whole.
constexpr size_t kMaxItemsPerCommand = 2000;
constexpr size_t kMaxBytesPerCommand = 512UL * 1024;
constexpr uint32_t kResultsPageBytes = 256U * 1024;
constexpr uint32_t kDefaultListLimit = 100;
constexpr uint32_t kMaxListLimit = 1000;
constexpr int64_t kLongestDeadlineMilliseconds = 30LL * 24 * 3600 * 1000;
constexpr size_t kMaxKeyBytes = 256;

constexpr std::string_view kPaths[] = {"/v1/completions",
                                       "/v1/chat/completions"};

std::optional<int64_t> NumberOf(const http_request& request,
                                std::string_view name) {
  const auto text = request.Query(name);
  if (!text) {
    return std::nullopt;
  }
  int64_t number = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && !text->empty()
             ? number
             : -1;
}

error InvalidRequest(std::string detail) {
  return MakeError(error_kind::kInvalidRequest, std::move(detail));
}

http_reply JobReply(const result<job_status>& job) {
  if (!IsOk(job)) {
    return MakeErrorReply(ErrorOf(job), "");
  }
  return MakeJsonReply(200, JobAsJson(ValueOf(job)).dump() + "\n");
}

// The endpoint's path of a job's items: the model API, or a plain service's.
result<std::string> ItemPath(const http_request& request,
                             const service_configuration& service) {
  const std::string_view path = request.Query("path").value_or("");
  if (service.kind == service_kind::kPlain) {
    return "/v1/services/" + service.id.text() +
           (path.empty() || path.front() == '/' ? "" : "/") + std::string(path);
  }
  if (path.empty()) {
    return std::string(kPaths[0]);
  }
  for (const std::string_view known : kPaths) {
    if (path == known) {
      return std::string(path);
    }
  }
  return InvalidRequest(
      "path: expected /v1/completions or /v1/chat/completions");
}

// Pages through the results as the caller reads them.
class results_stream final : public body_stream {
 public:
  results_stream(job_client& client,
                 const clock_source& clock,
                 results_query query,
                 results_page first)
      : client_(client),
        clock_(clock),
        query_(std::move(query)),
        page_(std::move(first)) {}

  state Read(std::string& out, size_t room) override {
    if (pending_.empty() && !LoadPending()) {
      return is_broken_ ? state::kBroken : state::kEnd;
    }
    const size_t taken = std::min(room, pending_.size());
    out.append(pending_, 0, taken);
    pending_.erase(0, taken);
    return state::kMore;
  }

 private:
  bool LoadPending() {
    while (next_line_ == page_.lines.size()) {
      if (!page_.has_more || !LoadPage()) {
        return false;
      }
    }
    pending_ = ResultLine(page_.lines[next_line_++]);
    return true;
  }

  bool LoadPage() {
    query_.from_index = page_.next_index;
    result<results_page> next =
        client_.Results(query_, clock_.Now() + kTimeout);
    if (!IsOk(next)) {
      is_broken_ = true;
      return false;
    }
    page_ = std::move(ValueOf(next));
    next_line_ = 0;
    return true;
  }

  job_client& client_;
  const clock_source& clock_;
  results_query query_;
  results_page page_;
  size_t next_line_ = 0;
  std::string pending_;
  bool is_broken_ = false;
};

}  // namespace

const batch_interface::operation batch_interface::kOperations[] = {
    {"POST", "", false, &batch_interface::Create},
    {"GET", "", false, &batch_interface::List},
    {"GET", "", true, &batch_interface::Show},
    {"DELETE", "", true, &batch_interface::Delete},
    {"POST", "items", true, &batch_interface::AddItems},
    {"POST", "seal", true, &batch_interface::Seal},
    {"POST", "cancel", true, &batch_interface::Cancel},
    {"GET", "results", true, &batch_interface::Results},
};

batch_interface::batch_interface(replicated_log& log, const clock_source& clock)
    : client_(log), clock_(clock) {}

steady_time batch_interface::Deadline() const {
  return clock_.Now() + kTimeout;
}

http_reply batch_interface::Handle(const http_request& request,
                                   const authenticated_caller& caller) {
  const std::vector<std::string_view> segments = PathSegments(request.path);
  const bool has_job = segments.size() > 2;
  const std::string_view action = segments.size() > 3 ? segments[3] : "";
  for (const operation& known : kOperations) {
    if (known.method == request.method && known.has_job == has_job &&
        known.action == action && segments.size() <= 4) {
      const job_id id(has_job ? std::string(segments[2]) : "");
      return (this->*known.handle)(request, caller, id);
    }
  }
  return MakeErrorReply(
      MakeError(error_kind::kNotFound,
                "no " + request.method + " " + request.path + " here"),
      "");
}

result<create_job> batch_interface::ReadCreate(
    const http_request& request,
    const authenticated_caller& caller) const {
  const service_id id(std::string(request.Query("service").value_or("")));
  if (id.IsEmpty()) {
    return InvalidRequest("service: missing; expected a service's name");
  }
  const service_configuration* service = caller.settings->FindService(id);
  if (service == nullptr || !MayCall(*caller.account, *service)) {
    return MakeError(error_kind::kNotFound, "no service " + id.text());
  }
  const std::optional<int64_t> relative = NumberOf(request, "deadline_ms");
  const std::optional<int64_t> absolute = NumberOf(request, "deadline_unix_ms");
  if (relative.has_value() == absolute.has_value()) {
    return InvalidRequest(
        "deadline: expected deadline_ms (from now) or deadline_unix_ms");
  }
  const wall_milliseconds now = clock_.WallNow();
  const int64_t left = relative ? *relative : *absolute - now;
  if (left <= 0 || left > kLongestDeadlineMilliseconds) {
    return InvalidRequest("deadline: expected a time within the next 30 days");
  }
  result<std::string> path = ItemPath(request, *service);
  if (!IsOk(path)) {
    return ErrorOf(path);
  }
  create_job command;
  command.account = caller.account->id;
  command.key = request.Header("Idempotency-Key").value_or("");
  if (command.key.size() > kMaxKeyBytes) {
    return InvalidRequest("Idempotency-Key: longer than 256 bytes");
  }
  command.service = id;
  command.path = std::move(ValueOf(path));
  command.deadline = now + left;
  command.account_weight = caller.account->batch_weight;
  command.max_attempts = service->batch_max_attempts;
  command.is_idempotent = service->is_idempotent;
  // A resend states the same time in the same words, whenever it comes.
  command.digest = Sha256Hex(
      id.text() + "\n" + command.path + "\n" +
      std::string(request.Query("deadline_ms").value_or("")) + "\n" +
      std::string(request.Query("deadline_unix_ms").value_or("")) + "\n" +
      std::string(request.Query("open").value_or("")) + "\n" + request.body);
  return command;
}

http_reply batch_interface::Create(const http_request& request,
                                   const authenticated_caller& caller,
                                   const job_id& /*id*/) {
  const bool stays_open = request.Query("open").value_or("") == "1";
  const result<create_job> command = ReadCreate(request, caller);
  if (!IsOk(command)) {
    return MakeErrorReply(ErrorOf(command), "");
  }
  const result<std::vector<std::string_view>> items = CutItems(request.body);
  if (!IsOk(items)) {
    return MakeErrorReply(ErrorOf(items), "");
  }
  if (ValueOf(items).empty() && !stays_open) {
    return MakeErrorReply(InvalidRequest("the body has no items"), "");
  }
  const result<job_created> created =
      client_.Create(ValueOf(command), Deadline());
  if (!IsOk(created)) {
    return MakeErrorReply(ErrorOf(created), "");
  }
  const job_id& id = ValueOf(created).id;
  if (!ValueOf(created).is_sealed) {
    const result<uint32_t> uploaded =
        Upload(caller.account->id, id, 0, ValueOf(items));
    if (!IsOk(uploaded)) {
      return MakeErrorReply(ErrorOf(uploaded), "");
    }
  }
  if (stays_open || ValueOf(created).is_sealed) {
    return JobReply(client_.Status({caller.account->id, id}, Deadline()));
  }
  return JobReply(client_.Seal(
      {caller.account->id, id, static_cast<uint32_t>(ValueOf(items).size())},
      Deadline()));
}

result<uint32_t> batch_interface::Upload(
    const account_id& account,
    const job_id& id,
    uint32_t first,
    std::span<const std::string_view> items) {
  uint32_t next = first;
  size_t done = 0;
  while (done < items.size()) {
    add_items command{account, id, next, {}};
    size_t bytes = 0;
    while (done < items.size() && command.bodies.size() < kMaxItemsPerCommand &&
           (bytes == 0 || bytes + items[done].size() <= kMaxBytesPerCommand)) {
      bytes += items[done].size();
      command.bodies.emplace_back(items[done++]);
    }
    const result<items_added> added = client_.Add(command, Deadline());
    if (!IsOk(added)) {
      return ErrorOf(added);
    }
    next += static_cast<uint32_t>(command.bodies.size());
  }
  return next;
}

http_reply batch_interface::AddItems(const http_request& request,
                                     const authenticated_caller& caller,
                                     const job_id& id) {
  const std::optional<int64_t> first = NumberOf(request, "first");
  if (!first || *first < 0) {
    return MakeErrorReply(
        InvalidRequest("first: expected the index of the first item"), "");
  }
  const result<std::vector<std::string_view>> items = CutItems(request.body);
  if (!IsOk(items)) {
    return MakeErrorReply(ErrorOf(items), "");
  }
  const result<uint32_t> next = Upload(
      caller.account->id, id, static_cast<uint32_t>(*first), ValueOf(items));
  if (!IsOk(next)) {
    return MakeErrorReply(ErrorOf(next), "");
  }
  const nlohmann::json body = {{"next_index", ValueOf(next)}};
  return MakeJsonReply(200, body.dump() + "\n");
}

http_reply batch_interface::Seal(const http_request& request,
                                 const authenticated_caller& caller,
                                 const job_id& id) {
  const std::optional<int64_t> count = NumberOf(request, "count");
  if (!count || *count < 1) {
    return MakeErrorReply(InvalidRequest("count: expected the number of items"),
                          "");
  }
  return JobReply(client_.Seal(
      {caller.account->id, id, static_cast<uint32_t>(*count)}, Deadline()));
}

http_reply batch_interface::List(const http_request& request,
                                 const authenticated_caller& caller,
                                 const job_id& /*id*/) {
  list_jobs_query query;
  query.account = caller.account->id;
  query.after = job_id(std::string(request.Query("after").value_or("")));
  const int64_t limit = NumberOf(request, "limit").value_or(kDefaultListLimit);
  if (limit < 1 || limit > kMaxListLimit) {
    return MakeErrorReply(InvalidRequest("limit: expected 1 to 1000"), "");
  }
  query.limit = static_cast<uint32_t>(limit);
  const result<job_list> jobs = client_.List(query, Deadline());
  if (!IsOk(jobs)) {
    return MakeErrorReply(ErrorOf(jobs), "");
  }
  nlohmann::json body = {{"jobs", nlohmann::json::array()},
                         {"has_more", ValueOf(jobs).has_more}};
  for (const job_status& job : ValueOf(jobs).jobs) {
    body["jobs"].push_back(JobAsJson(job));
  }
  return MakeJsonReply(200, body.dump() + "\n");
}

http_reply batch_interface::Show(const http_request& /*request*/,
                                 const authenticated_caller& caller,
                                 const job_id& id) {
  return JobReply(client_.Status({caller.account->id, id}, Deadline()));
}

http_reply batch_interface::Cancel(const http_request& /*request*/,
                                   const authenticated_caller& caller,
                                   const job_id& id) {
  return JobReply(client_.Cancel({caller.account->id, id}, Deadline()));
}

http_reply batch_interface::Delete(const http_request& /*request*/,
                                   const authenticated_caller& caller,
                                   const job_id& id) {
  const result<job_deleted> deleted =
      client_.Delete({caller.account->id, id}, Deadline());
  if (!IsOk(deleted)) {
    return MakeErrorReply(ErrorOf(deleted), "");
  }
  return MakeJsonReply(200, "{}\n");
}

http_reply batch_interface::Results(const http_request& request,
                                    const authenticated_caller& caller,
                                    const job_id& id) {
  const int64_t from = NumberOf(request, "from").value_or(0);
  if (from < 0) {
    return MakeErrorReply(InvalidRequest("from: expected an item's index"), "");
  }
  results_query query{caller.account->id, id, static_cast<uint32_t>(from),
                      kResultsPageBytes};
  // The first page decides between an error and a stream.
  result<results_page> first = client_.Results(query, Deadline());
  if (!IsOk(first)) {
    return MakeErrorReply(ErrorOf(first), "");
  }
  http_reply reply;
  reply.headers.push_back({"Content-Type", "application/jsonl"});
  reply.stream = std::make_unique<results_stream>(
      client_, clock_, std::move(query), std::move(ValueOf(first)));
  return reply;
}

}  // namespace shallotport
