#include "batch/job_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "batch/job_query_handler.h"
#include "batch/job_snapshot.h"

namespace shallotport {

namespace {

constexpr size_t kMaxKeyBytes = 256;
// Limits the work of one expire_jobs command.
constexpr uint32_t kMaxRemovedJobs = 64;

job_refusal NoSuchJob() {
  return {error_kind::kNotFound, "no such job"};
}

job_refusal Refuse(error_kind kind, std::string detail) {
  return {kind, std::move(detail)};
}

}  // namespace

job_state::job_state(const job_state_settings& settings,
                     item_payloads& payloads)
    : settings_(settings), payloads_(payloads) {}

std::string job_state::Apply(const apply_context& context,
                             std::string_view command) {
  if (!IsOk(health_)) {
    return Encode(job_reply<job_status>(
        Refuse(error_kind::kStorageFailed, ErrorOf(health_).detail)));
  }
  leader_time_ = context.leader_time;
  const result<job_command> decoded = Decode<job_command>(command);
  if (!IsOk(decoded)) {
    return Encode(job_reply<job_status>(
        Refuse(ErrorOf(decoded).kind, ErrorOf(decoded).detail)));
  }
  return std::visit(
      [&](const auto& message) { return Encode(Execute(context, message)); },
      ValueOf(decoded));
}

std::string job_state::Query(std::string_view query) const {
  if (!IsOk(health_)) {
    return Encode(job_reply<job_status>(
        Refuse(error_kind::kStorageFailed, ErrorOf(health_).detail)));
  }
  const result<job_query> decoded = Decode<job_query>(query);
  if (!IsOk(decoded)) {
    return Encode(job_reply<job_status>(
        Refuse(ErrorOf(decoded).kind, ErrorOf(decoded).detail)));
  }
  const job_query_handler handler(catalogue_, payloads_.store(),
                                  settings_.group, leader_time_);
  if (std::holds_alternative<expiry_query>(ValueOf(decoded))) {
    return Encode(
        job_reply<next_expiry>(next_expiry{NextExpiry().value_or(0)}));
  }
  return std::visit(
      [&](const auto& message) { return Encode(handler.Reply(message)); },
      ValueOf(decoded));
}

payload_location job_state::Store(std::string_view bytes) {
  const result<payload_location> stored = payloads_.Append(bytes);
  if (!IsOk(stored)) {
    health_ = ErrorOf(stored);
    return {};
  }
  return ValueOf(stored);
}

job_record* job_state::FindJob(const account_id& account, const job_id& id) {
  const std::optional<job_number> number = ParseJobId(settings_.group, id);
  if (!number) {
    return nullptr;
  }
  const auto found = catalogue_.jobs.find(*number);
  if (found == catalogue_.jobs.end() || !IsVisibleTo(account, found->second)) {
    return nullptr;
  }
  return &found->second;
}

job_status job_state::StatusOf(const apply_context& context,
                               const job_record& job) const {
  const job_query_handler handler(catalogue_, payloads_.store(),
                                  settings_.group, context.leader_time);
  return handler.StatusOf(job);
}

job_reply<job_created> job_state::Execute(const apply_context& context,
                                          const create_job& command) {
  if (command.account.IsEmpty() || command.service.IsEmpty() ||
      command.path.empty() || command.key.size() > kMaxKeyBytes) {
    return Refuse(error_kind::kInvalidRequest,
                  "a job needs an account, a service, a path and a key of at "
                  "most 256 bytes");
  }
  if (!command.key.empty()) {
    const auto existing = catalogue_.keys.find({command.account, command.key});
    if (existing != catalogue_.keys.end()) {
      const job_record& job = catalogue_.jobs.at(existing->second);
      if (job.digest != command.digest) {
        return Refuse(error_kind::kConflict,
                      "the key was used for another request");
      }
      return job_created{MakeJobId(settings_.group, job.number), true,
                         job.items.size(), job.phase != job_phase::kOpen};
    }
    if (catalogue_.removed_job_keys.contains(
            RemovedKeyHash(command.account, command.key))) {
      return Refuse(error_kind::kKeyExpired,
                    "the key's job was removed with its results");
    }
  }
  if (command.deadline <= context.leader_time) {
    return Refuse(error_kind::kDeadlineUnreachable, "the deadline has passed");
  }
  job_record job;
  job.number = context.index;
  job.account = command.account;
  job.key = command.key;
  job.digest = command.digest;
  job.service = command.service;
  job.path = command.path;
  job.created = context.leader_time;
  job.last_upload = context.leader_time;
  job.deadline = command.deadline;
  job.max_attempts = std::clamp(command.max_attempts, 1U, 100U);
  job.is_idempotent = command.is_idempotent;
  account_usage& usage = catalogue_.accounts[command.account];
  usage.weight = std::max(command.account_weight, 1U);
  usage.jobs.insert(job.number);
  catalogue_.services.try_emplace(command.service);
  ++catalogue_.counters.jobs_created;
  catalogue_.Insert(std::move(job));
  return job_created{MakeJobId(settings_.group, context.index), false, 0,
                     false};
}

job_reply<items_added> job_state::Execute(const apply_context& context,
                                          const add_items& command) {
  job_record* const job = FindJob(command.account, command.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  const uint32_t size = job->items.size();
  const uint64_t end =
      uint64_t{command.first_index} + uint64_t{command.bodies.size()};
  if (command.first_index > size) {
    return Refuse(error_kind::kConflict,
                  "the next item is " + std::to_string(size));
  }
  if (end <= size) {
    return items_added{size};
  }
  if (job->phase != job_phase::kOpen) {
    return Refuse(error_kind::kConflict, "the job takes no more items");
  }
  if (end > settings_.max_items_per_job) {
    return Refuse(error_kind::kTooLarge, "too many items in one job");
  }
  if (std::ranges::any_of(command.bodies, &std::string::empty)) {
    return Refuse(error_kind::kInvalidRequest, "an item is empty");
  }
  for (uint32_t index = size; index < end; ++index) {
    item_entry entry;
    entry.payload = Store(command.bodies[index - command.first_index]);
    job->items.Append(entry, generation_);
  }
  job->last_upload = context.leader_time;
  return items_added{job->items.size()};
}

void job_state::StartJob(const apply_context& context, job_record& job) {
  job.phase = job_phase::kRunning;
  catalogue_.open.erase(job.number);
  catalogue_.running.insert(job.number);
  account_usage& usage = catalogue_.accounts.at(job.account);
  if (usage.running_jobs == 0) {
    // Idle time earns no credit: an account that becomes active gets at least
    // the least virtual time of the active accounts.
    std::optional<uint64_t> least;
    for (const auto& [account, other] : catalogue_.accounts) {
      if (other.running_jobs > 0) {
        least =
            std::min(least.value_or(other.virtual_time), other.virtual_time);
      }
    }
    usage.virtual_time = std::max(usage.virtual_time, least.value_or(0));
  }
  ++usage.running_jobs;
  EndJobIfComplete(context, job);
}

job_reply<job_status> job_state::Execute(const apply_context& context,
                                         const seal_job& command) {
  job_record* const job = FindJob(command.account, command.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  if (command.item_count != job->items.size()) {
    return Refuse(
        error_kind::kConflict,
        "the job has " + std::to_string(job->items.size()) + " items");
  }
  if (job->phase == job_phase::kOpen) {
    StartJob(context, *job);
  }
  return StatusOf(context, *job);
}

// Moves the job's items from the leases to their revoked lists, which the
// holders get with the next renewal or revocations_query.
void job_state::RevokeLeases(const job_record& job) {
  if (job.leased == 0) {
    return;
  }
  for (auto& [epoch, lease] : catalogue_.leases) {
    const auto first = std::partition(
        lease.items.begin(), lease.items.end(),
        [&](const item_ref& ref) { return ref.job != job.number; });
    for (auto ref = first; ref != lease.items.end(); ++ref) {
      lease.revoked.push_back(*ref);
      if (job.items.At(ref->index).IsSuspect()) {
        --catalogue_.services.at(job.service).suspects_leased;
      }
    }
    lease.items.erase(first, lease.items.end());
  }
}

void job_state::ReleaseUnsettled(const job_record& job) {
  for (uint32_t index = 0; index < job.items.size(); ++index) {
    const item_entry& entry = job.items.At(index);
    if (!entry.IsSettled()) {
      payloads_.Release(entry.payload);
    }
  }
}

job_reply<job_status> job_state::Execute(const apply_context& context,
                                         const cancel_job& command) {
  job_record* const job = FindJob(command.account, command.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  if (!job->IsEnded()) {
    RevokeLeases(*job);
    ReleaseUnsettled(*job);
    job->leased = 0;
    job->waiting_suspects = 0;
    ++catalogue_.counters.jobs_cancelled;
    EndJob(context, *job, job_phase::kCancelled);
  }
  return StatusOf(context, *job);
}

void job_state::EndJobIfComplete(const apply_context& context,
                                 job_record& job) {
  if (job.phase != job_phase::kRunning || job.Remaining() > 0) {
    return;
  }
  ++catalogue_.counters.jobs_finished;
  if (context.leader_time > job.deadline) {
    ++catalogue_.counters.jobs_late;
  }
  EndJob(context, job, job_phase::kFinished);
}

void job_state::EndJob(const apply_context& context,
                       job_record& job,
                       job_phase phase) {
  if (job.phase == job_phase::kRunning) {
    --catalogue_.accounts.at(job.account).running_jobs;
  }
  catalogue_.open.erase(job.number);
  catalogue_.running.erase(job.number);
  job.phase = phase;
  job.ended = context.leader_time;
  job.returned = {};
  job.suspects = {};
  catalogue_.ended.emplace(job.ended, job.number);
  const status frozen = job.items.Freeze(payloads_);
  if (!IsOk(frozen)) {
    health_ = frozen;
  }
}

job_reply<job_deleted> job_state::Execute(const apply_context& context,
                                          const delete_job& command) {
  const job_record* const job = FindJob(command.account, command.id);
  if (job == nullptr) {
    return NoSuchJob();
  }
  if (!job->IsEnded()) {
    return Refuse(error_kind::kConflict, "the job has not ended; cancel it");
  }
  RemoveJob(context, job->number);
  return job_deleted{};
}

void job_state::RemoveJob(const apply_context& context, job_number number) {
  const auto found = catalogue_.jobs.find(number);
  job_record& job = found->second;
  const bool is_cancelled = job.phase == job_phase::kCancelled;
  for (uint32_t first = 0; first < job.items.size();
       first += item_table::kChunkItems) {
    const auto chunk = job.items.ReadChunk(first, payloads_.store());
    if (!IsOk(chunk)) {
      health_ = ErrorOf(chunk);
      return;
    }
    for (const item_entry& entry : ValueOf(chunk)) {
      if (!is_cancelled || entry.IsSettled()) {
        payloads_.Release(entry.payload);
      }
    }
  }
  for (const payload_location& stored : job.items.stored_chunks()) {
    payloads_.Release(stored);
  }
  if (!job.key.empty()) {
    catalogue_.keys.erase({job.account, job.key});
    const uint64_t hash = RemovedKeyHash(job.account, job.key);
    catalogue_.removed_job_keys.insert(hash);
    catalogue_.removed_key_expiries.emplace_back(
        context.leader_time + settings_.key_horizon_ms, hash);
  }
  const auto usage = catalogue_.accounts.find(job.account);
  usage->second.jobs.erase(number);
  if (usage->second.jobs.empty()) {
    catalogue_.accounts.erase(usage);
  }
  catalogue_.ended.erase({job.ended, number});
  catalogue_.jobs.erase(found);
}

job_reply<jobs_expired> job_state::Execute(const apply_context& context,
                                           const expire_jobs&) {
  jobs_expired out;
  std::vector<lease_epoch> expired;
  for (const auto& [epoch, lease] : catalogue_.leases) {
    if (lease.expires <= context.leader_time) {
      expired.push_back(epoch);
    }
  }
  for (const lease_epoch epoch : expired) {
    EndLease(context, epoch);
    ++catalogue_.counters.leases_expired;
    ++out.leases;
  }
  std::vector<job_number> abandoned;
  for (const job_number number : catalogue_.open) {
    if (catalogue_.jobs.at(number).last_upload + settings_.upload_idle_ms <=
        context.leader_time) {
      abandoned.push_back(number);
    }
  }
  for (const job_number number : abandoned) {
    const job_record& job = catalogue_.jobs.at(number);
    Execute(context,
            cancel_job{job.account, MakeJobId(settings_.group, number)});
  }
  while (!catalogue_.ended.empty() && out.jobs < kMaxRemovedJobs &&
         catalogue_.ended.begin()->first + settings_.retention_ms <=
             context.leader_time) {
    RemoveJob(context, catalogue_.ended.begin()->second);
    if (!IsOk(health_)) {
      break;
    }
    ++out.jobs;
  }
  while (!catalogue_.removed_key_expiries.empty() &&
         catalogue_.removed_key_expiries.front().first <= context.leader_time) {
    catalogue_.removed_job_keys.erase(
        catalogue_.removed_key_expiries.front().second);
    catalogue_.removed_key_expiries.pop_front();
  }
  return out;
}

std::optional<wall_milliseconds> job_state::NextExpiry() const {
  std::optional<wall_milliseconds> next;
  const auto consider = [&next](wall_milliseconds time) {
    next = std::min(next.value_or(time), time);
  };
  for (const auto& [epoch, lease] : catalogue_.leases) {
    consider(lease.expires);
  }
  for (const job_number number : catalogue_.open) {
    consider(catalogue_.jobs.at(number).last_upload + settings_.upload_idle_ms);
  }
  if (!catalogue_.ended.empty()) {
    consider(catalogue_.ended.begin()->first + settings_.retention_ms);
  }
  if (!catalogue_.removed_key_expiries.empty()) {
    consider(catalogue_.removed_key_expiries.front().first);
  }
  return next;
}

std::unique_ptr<snapshot_writer> job_state::BeginSnapshot() const {
  ++generation_;
  return MakeJobSnapshotWriter(catalogue_, payloads_, health_);
}

status job_state::LoadSnapshot(std::istream& in) {
  result<job_catalogue> loaded = LoadJobs(in, generation_, payloads_);
  if (!IsOk(loaded)) {
    return ErrorOf(loaded);
  }
  ReleaseJobs(catalogue_, payloads_);
  catalogue_ = ValueOf(std::move(loaded));
  health_ = success{};
  return success{};
}

void job_state::WriteState(nlohmann::json& out) const {
  const catalogue_counters& counters = catalogue_.counters;
  uint64_t waiting = 0;
  for (const job_number number : catalogue_.running) {
    waiting += catalogue_.jobs.at(number).Waiting();
  }
  out["counters"] = {
      {"batch_jobs_created", counters.jobs_created},
      {"batch_jobs_finished", counters.jobs_finished},
      {"batch_jobs_cancelled", counters.jobs_cancelled},
      {"batch_jobs_late", counters.jobs_late},
      {"batch_items_leased", counters.items_leased},
      {"batch_items_done", counters.items_done},
      {"batch_items_failed", counters.items_failed},
      {"batch_items_retried", counters.items_retried},
      {"batch_endpoint_deaths", counters.endpoint_deaths},
      {"batch_duplicate_results", counters.duplicate_results},
      {"batch_stale_results", counters.stale_results},
      {"batch_leases_expired", counters.leases_expired},
      {"batch_jobs_held", catalogue_.jobs.size()},
      {"batch_jobs_running", catalogue_.running.size()},
      {"batch_items_waiting", waiting},
      {"batch_leases_held", catalogue_.leases.size()},
  };
  out["is_healthy"] = IsOk(health_);
  out["last_epoch"] = catalogue_.last_epoch;
  for (const auto& [service, progress] : catalogue_.services) {
    out["services"][service.text()] = {
        {"items_per_million_seconds", progress.items_per_million_seconds},
        {"suspect_limit", progress.suspect_limit},
        {"suspects_leased", progress.suspects_leased}};
  }
  for (const auto& [epoch, lease] : catalogue_.leases) {
    out["leases"][std::to_string(epoch)] = {{"host", lease.host.text()},
                                            {"items", lease.items.size()},
                                            {"expires", lease.expires}};
  }
}

}  // namespace shallotport
