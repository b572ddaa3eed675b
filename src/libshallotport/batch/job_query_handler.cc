#include "batch/job_query_handler.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace shallotport {

namespace {

constexpr uint32_t kMaxListedJobs = 1000;
constexpr uint32_t kMaxPageBytes = 8 << 20;
// Limits the lines of a page whose bodies are small.
constexpr uint32_t kMaxPageLines = 4096;
// Encoded size of a line without its body.
constexpr uint32_t kLineOverheadBytes = 32;

job_refusal NoSuchJob() {
  return {error_kind::kNotFound, "no such job"};
}

uint32_t ExecutionsOf(const item_entry& entry) {
  const uint32_t failed = entry.failed_attempts;
  return entry.state == item_state::kDone ? failed + 1 : failed;
}

}  // namespace

job_id MakeJobId(uint32_t group, job_number number) {
  return job_id("job-" + std::to_string(group) + "-" + std::to_string(number));
}

std::optional<job_number> ParseJobId(uint32_t group, const job_id& id) {
  const std::string prefix = "job-" + std::to_string(group) + "-";
  const std::string& text = id.text();
  if (!text.starts_with(prefix)) {
    return std::nullopt;
  }
  job_number number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + prefix.size(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      MakeJobId(group, number) != id) {
    return std::nullopt;
  }
  return number;
}

bool IsVisibleTo(const account_id& account, const job_record& job) {
  return account.IsEmpty() || account == job.account;
}

const job_record* job_query_handler::FindJob(const account_id& account,
                                             const job_id& id) const {
  const std::optional<job_number> number = ParseJobId(group_, id);
  if (!number) {
    return nullptr;
  }
  const auto found = catalogue_.jobs.find(*number);
  if (found == catalogue_.jobs.end() || !IsVisibleTo(account, found->second)) {
    return nullptr;
  }
  return &found->second;
}

uint64_t job_query_handler::ItemsWithEarlierDeadline(
    const job_record& job) const {
  uint64_t items = 0;
  for (const job_number number : catalogue_.running) {
    const job_record& other = catalogue_.jobs.at(number);
    if (other.service == job.service && number != job.number &&
        other.deadline <= job.deadline) {
      items += other.Remaining();
    }
  }
  return items;
}

job_status job_query_handler::StatusOf(const job_record& job) const {
  job_status out;
  out.id = MakeJobId(group_, job.number);
  out.account = job.account;
  out.service = job.service;
  out.phase = job.phase;
  out.counts = {job.items.size(),     job.done,      job.failed, 0, job.leased,
                job.waiting_suspects, job.duplicates};
  if (job.phase == job_phase::kCancelled) {
    out.counts.cancelled = job.Remaining();
  }
  out.created = job.created;
  out.deadline = job.deadline;
  out.ended = job.ended;
  if (job.IsEnded()) {
    out.expected_end = job.ended;
  } else if (job.Remaining() > 0) {
    const uint64_t items = ItemsWithEarlierDeadline(job) + job.Remaining();
    const int64_t needed =
        ExpectedMilliseconds(catalogue_.services.at(job.service), items);
    out.expected_end = needed == 0 ? 0 : now_ + needed;
  }
  if (out.expected_end > job.deadline ||
      (!job.IsEnded() && now_ > job.deadline)) {
    out.outlook = deadline_outlook::kLate;
  } else if (out.expected_end > 0) {
    out.outlook = deadline_outlook::kOnTime;
  }
  return out;
}

job_reply<job_status> job_query_handler::Reply(
    const job_status_query& query) const {
  const job_record* const job = FindJob(query.account, query.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  return StatusOf(*job);
}

job_reply<job_list> job_query_handler::Reply(
    const list_jobs_query& query) const {
  job_number after = 0;
  if (!query.after.IsEmpty()) {
    const std::optional<job_number> parsed = ParseJobId(group_, query.after);
    if (!parsed) {
      return NoSuchJob();
    }
    after = *parsed;
  }
  const uint32_t limit = std::clamp(query.limit, 1U, kMaxListedJobs);
  job_list out;
  const auto add = [&](const job_record& job) {
    if (out.jobs.size() == limit) {
      out.has_more = true;
      return false;
    }
    out.jobs.push_back(StatusOf(job));
    return true;
  };
  if (query.account.IsEmpty()) {
    auto next = catalogue_.jobs.upper_bound(after);
    while (next != catalogue_.jobs.end() && add(next->second)) {
      ++next;
    }
    return out;
  }
  const auto usage = catalogue_.accounts.find(query.account);
  if (usage == catalogue_.accounts.end()) {
    return out;
  }
  const std::set<job_number>& jobs = usage->second.jobs;
  auto next = jobs.upper_bound(after);
  while (next != jobs.end() && add(catalogue_.jobs.at(*next))) {
    ++next;
  }
  return out;
}

status job_query_handler::AddLine(const job_record& job,
                                  const item_entry& entry,
                                  uint32_t index,
                                  results_page& page) const {
  if (!entry.IsSettled()) {
    if (job.phase == job_phase::kCancelled) {
      page.lines.push_back({index, final_outcome::kCancelled,
                            error_kind::kCancelled, entry.failed_attempts, ""});
    }
    return success{};
  }
  result<std::string> body = payloads_.Read(entry.payload);
  if (!IsOk(body)) {
    return ErrorOf(body);
  }
  const final_outcome outcome = entry.state == item_state::kDone
                                    ? final_outcome::kDone
                                    : final_outcome::kFailed;
  page.lines.push_back({index, outcome, entry.failure, ExecutionsOf(entry),
                        ValueOf(std::move(body))});
  return success{};
}

job_reply<results_page> job_query_handler::Reply(
    const results_query& query) const {
  const job_record* const job = FindJob(query.account, query.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  const uint32_t max_bytes = std::clamp(query.max_bytes, 1U, kMaxPageBytes);
  const uint32_t size = job->items.size();
  results_page page;
  page.phase = job->phase;
  page.next_index = std::min(query.from_index, size);
  uint32_t bytes = 0;
  while (page.next_index < size && bytes < max_bytes &&
         page.lines.size() < kMaxPageLines) {
    const result<std::vector<item_entry>> chunk =
        job->items.ReadChunk(page.next_index, payloads_);
    if (!IsOk(chunk)) {
      return job_refusal{ErrorOf(chunk).kind, ErrorOf(chunk).detail};
    }
    uint32_t position = page.next_index % item_table::kChunkItems;
    while (position < ValueOf(chunk).size() && bytes < max_bytes &&
           page.lines.size() < kMaxPageLines) {
      const item_entry& entry = ValueOf(chunk)[position];
      const size_t lines_before = page.lines.size();
      const status added = AddLine(*job, entry, page.next_index, page);
      if (!IsOk(added)) {
        return job_refusal{ErrorOf(added).kind, ErrorOf(added).detail};
      }
      if (page.lines.size() > lines_before) {
        bytes += kLineOverheadBytes +
                 static_cast<uint32_t>(page.lines.back().body.size());
      }
      ++position;
      ++page.next_index;
    }
  }
  page.has_more = page.next_index < size;
  return page;
}

result<std::string> job_query_handler::ReadBody(const item_ref& ref) const {
  const auto found = catalogue_.jobs.find(ref.job);
  if (found == catalogue_.jobs.end() || found->second.items.IsFrozen() ||
      ref.index >= found->second.items.size()) {
    return std::string();
  }
  const item_entry& entry = found->second.items.At(ref.index);
  if (entry.IsSettled()) {
    return std::string();
  }
  return payloads_.Read(entry.payload);
}

job_reply<lease_bodies> job_query_handler::Reply(
    const lease_bodies_query& query) const {
  const uint32_t max_bytes = std::clamp(query.max_bytes, 1U, kMaxPageBytes);
  lease_bodies out;
  size_t bytes = 0;
  for (const item_ref& ref : query.items) {
    result<std::string> body = ReadBody(ref);
    if (!IsOk(body)) {
      return job_refusal{ErrorOf(body).kind, ErrorOf(body).detail};
    }
    bytes += ValueOf(body).size();
    if (!out.bodies.empty() && bytes > max_bytes) {
      break;
    }
    out.bodies.push_back(ValueOf(std::move(body)));
  }
  return out;
}

job_reply<lease_changes> job_query_handler::Reply(
    const revocations_query& query) const {
  return LeaseChangesOf(catalogue_, query.host, query.host_incarnation,
                        query.epochs);
}

job_reply<waiting_items> job_query_handler::Reply(
    const waiting_query& query) const {
  waiting_items out;
  for (const job_number number : catalogue_.running) {
    const job_record& job = catalogue_.jobs.at(number);
    if (std::ranges::find(query.services, job.service) !=
        query.services.end()) {
      out.count += job.Waiting();
    }
  }
  return out;
}

lease_changes LeaseChangesOf(const job_catalogue& catalogue,
                             const host_id& host,
                             incarnation host_incarnation,
                             const std::vector<lease_epoch>& epochs) {
  lease_changes out;
  for (const lease_epoch epoch : epochs) {
    const auto found = catalogue.leases.find(epoch);
    if (found == catalogue.leases.end() || found->second.host != host ||
        found->second.host_incarnation != host_incarnation) {
      out.ended.push_back(epoch);
      continue;
    }
    out.revoked.insert(out.revoked.end(), found->second.revoked.begin(),
                       found->second.revoked.end());
  }
  return out;
}

}  // namespace shallotport
