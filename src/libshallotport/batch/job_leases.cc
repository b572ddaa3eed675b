#include <algorithm>

#include "batch/job_query_handler.h"
#include "batch/job_state.h"
#include "batch/lease_order.h"

namespace shallotport {

namespace {

// Virtual time of one item at weight 1.
constexpr uint64_t kVirtualTimePerItem = 1 << 20;
constexpr wall_milliseconds kProgressIntervalMilliseconds = 10'000;
// After a longer interval there was no work in between, and the throughput is
// not updated.
constexpr wall_milliseconds kProgressGapMilliseconds = 120'000;
constexpr uint32_t kMinSuspectLimit = 2;
constexpr uint32_t kMaxSuspectLimit = 64;
// Largest values of item_entry's counters.
constexpr uint32_t kMaxAttempts = 255;
constexpr uint32_t kMaxEndpointDeaths = 31;
constexpr int64_t kMaxLeaseMilliseconds = 10 * 60 * 1000;

job_refusal StaleHost() {
  return {error_kind::kConflict, "a later incarnation of the host is known"};
}

wall_milliseconds ExpiryOf(const apply_context& context, int64_t requested) {
  return context.leader_time +
         std::clamp<int64_t>(requested, 0, kMaxLeaseMilliseconds);
}

}  // namespace

uint32_t job_state::PopWaiting(job_record& job) {
  if (job.WaitingRegular() == 0) {
    while (job.items.At(job.suspects.front()).state != item_state::kWaiting) {
      job.suspects.erase(job.suspects.begin());
    }
    const uint32_t index = job.suspects.front();
    job.suspects.erase(job.suspects.begin());
    return index;
  }
  while (!job.returned.empty()) {
    const uint32_t index = job.returned.back();
    job.returned.pop_back();
    if (job.items.At(index).state == item_state::kWaiting) {
      return index;
    }
  }
  return job.next_unleased++;
}

leased_item job_state::LeaseItem(job_record& job, lease_epoch epoch) {
  const uint32_t index = PopWaiting(job);
  item_entry& entry = job.items.MutableAt(index, generation_);
  const bool is_suspect = entry.IsSuspect();
  if (is_suspect) {
    --job.waiting_suspects;
    ++catalogue_.services.at(job.service).suspects_leased;
  }
  entry.state = item_state::kLeased;
  entry.epoch = epoch;
  ++job.leased;
  account_usage& usage = catalogue_.accounts.at(job.account);
  usage.virtual_time += kVirtualTimePerItem / usage.weight;
  ++catalogue_.leased_in_total;
  ++catalogue_.counters.items_leased;
  return {{job.number, index}, is_suspect};
}

job_reply<items_leased> job_state::Execute(const apply_context& context,
                                           const lease_items& command) {
  incarnation& latest = catalogue_.holders[command.host];
  if (command.host_incarnation < latest) {
    return StaleHost();
  }
  if (command.host_incarnation > latest) {
    // The host restarted and lost the items that it held.
    EndLeases(context, command.host, command.host_incarnation);
    latest = command.host_incarnation;
  }
  items_leased out;
  const uint32_t max_items =
      std::min(command.max_items, settings_.max_items_per_lease);
  lease_record lease{command.host,
                     command.host_incarnation,
                     ExpiryOf(context, command.lease_milliseconds),
                     {},
                     {}};
  lease_order order(catalogue_, command.services, context.leader_time);
  while (out.items.size() < max_items) {
    job_record* const job = order.Next();
    if (job == nullptr) {
      break;
    }
    out.items.push_back(LeaseItem(*job, catalogue_.last_epoch + 1));
    lease.items.push_back(out.items.back().ref);
    if (std::ranges::find(out.jobs, job->number, &leased_job::number) ==
        out.jobs.end()) {
      out.jobs.push_back({job->number, MakeJobId(settings_.group, job->number),
                          job->account, job->service, job->path, job->deadline,
                          job->is_idempotent});
    }
  }
  if (!out.items.empty()) {
    out.epoch = ++catalogue_.last_epoch;
    catalogue_.leases.emplace(out.epoch, std::move(lease));
  }
  return out;
}

job_reply<lease_changes> job_state::Execute(const apply_context& context,
                                            const renew_leases& command) {
  for (const lease_epoch epoch : command.epochs) {
    const auto found = catalogue_.leases.find(epoch);
    if (found != catalogue_.leases.end() &&
        found->second.host == command.host &&
        found->second.host_incarnation == command.host_incarnation) {
      found->second.expires = std::max(
          found->second.expires, ExpiryOf(context, command.lease_milliseconds));
    }
  }
  return LeaseChangesOf(catalogue_, command.host, command.host_incarnation,
                        command.epochs);
}

// Removes the item from its lease. Must be called before the item's counters
// change, since they decide whether it was leased as a suspect.
void job_state::RemoveFromLease(job_record& job,
                                item_entry& entry,
                                uint32_t index) {
  --job.leased;
  if (entry.IsSuspect()) {
    --catalogue_.services.at(job.service).suspects_leased;
  }
  const auto lease = catalogue_.leases.find(entry.epoch);
  std::vector<item_ref>& items = lease->second.items;
  const auto position = std::ranges::find(items, item_ref{job.number, index});
  *position = items.back();
  items.pop_back();
  if (items.empty() && lease->second.revoked.empty()) {
    catalogue_.leases.erase(lease);
  }
}

// Removes the item from its lease or from the count of waiting suspects.
void job_state::Detach(job_record& job, item_entry& entry, uint32_t index) {
  if (entry.state == item_state::kLeased) {
    RemoveFromLease(job, entry, index);
  } else if (entry.IsSuspect()) {
    --job.waiting_suspects;
  }
}

void job_state::Requeue(job_record& job, item_entry& entry, uint32_t index) {
  entry.state = item_state::kWaiting;
  if (entry.IsSuspect()) {
    job.suspects.push_back(index);
    ++job.waiting_suspects;
  } else {
    job.returned.push_back(index);
  }
}

void job_state::RecordProgress(const apply_context& context,
                               const job_record& job) {
  service_progress& progress = catalogue_.services.at(job.service);
  const wall_milliseconds elapsed =
      context.leader_time - progress.interval_start;
  if (elapsed > kProgressGapMilliseconds) {
    progress.interval_start = context.leader_time;
    progress.interval_items = 0;
  } else if (elapsed >= kProgressIntervalMilliseconds) {
    const uint64_t throughput = uint64_t{progress.interval_items} *
                                1'000'000'000 / static_cast<uint64_t>(elapsed);
    uint64_t& average = progress.items_per_million_seconds;
    average = average == 0 ? throughput : (3 * average + throughput) / 4;
    progress.interval_start = context.leader_time;
    progress.interval_items = 0;
  }
  ++progress.interval_items;
}

// Records the item's outcome. The item must be detached and its counters final.
void job_state::Settle(const apply_context& context,
                       job_record& job,
                       item_entry& entry,
                       const item_result& item) {
  const bool is_done = item.outcome == item_outcome::kDone;
  payloads_.Release(entry.payload);
  entry.payload = Store(item.body);
  entry.state = is_done ? item_state::kDone : item_state::kFailed;
  entry.failure = item.kind;
  if (is_done) {
    ++job.done;
    ++catalogue_.counters.items_done;
  } else {
    ++job.failed;
    ++catalogue_.counters.items_failed;
  }
  RecordProgress(context, job);
  EndJobIfComplete(context, job);
}

// A kDone result is accepted from the present holder and from earlier ones. In
// the latter case the item is revoked from the present holder.
void job_state::RecordDone(const apply_context& context,
                           job_record& job,
                           const item_result& item) {
  item_entry& entry = job.items.MutableAt(item.ref.index, generation_);
  if (entry.state == item_state::kLeased && entry.epoch != item.epoch) {
    catalogue_.leases.at(entry.epoch).revoked.push_back(item.ref);
  }
  if (entry.IsSuspect()) {
    service_progress& service = catalogue_.services.at(job.service);
    service.suspect_limit =
        std::min(service.suspect_limit * 2, kMaxSuspectLimit);
  }
  Detach(job, entry, item.ref.index);
  Settle(context, job, entry, item);
}

// Results other than kDone are accepted from the present holder only.
record_status job_state::RecordAttempt(const apply_context& context,
                                       job_record& job,
                                       const item_result& item) {
  item_entry& entry = job.items.MutableAt(item.ref.index, generation_);
  if (entry.state != item_state::kLeased || entry.epoch != item.epoch) {
    ++catalogue_.counters.stale_results;
    return record_status::kStale;
  }
  const bool was_suspect = entry.IsSuspect();
  Detach(job, entry, item.ref.index);
  if (item.outcome != item_outcome::kReturned) {
    entry.failed_attempts = static_cast<uint8_t>(
        std::min<uint32_t>(entry.failed_attempts + 1U, kMaxAttempts));
  }
  if (item.outcome == item_outcome::kEndpointDied) {
    entry.endpoint_deaths = static_cast<uint8_t>(
        std::min<uint32_t>(entry.endpoint_deaths + 1U, kMaxEndpointDeaths));
    ++catalogue_.counters.endpoint_deaths;
    if (was_suspect) {
      catalogue_.services.at(job.service).suspect_limit = kMinSuspectLimit;
    }
  }
  const bool is_final = item.outcome == item_outcome::kFailed ||
                        entry.failed_attempts >= job.max_attempts ||
                        entry.endpoint_deaths >= settings_.max_endpoint_deaths;
  if (is_final && item.outcome != item_outcome::kReturned) {
    Settle(context, job, entry, item);
    return record_status::kRecorded;
  }
  if (item.outcome != item_outcome::kReturned) {
    ++catalogue_.counters.items_retried;
  }
  Requeue(job, entry, item.ref.index);
  return record_status::kWaiting;
}

record_status job_state::RecordResult(const apply_context& context,
                                      const item_result& item) {
  const auto found = catalogue_.jobs.find(item.ref.job);
  if (found == catalogue_.jobs.end() ||
      item.ref.index >= found->second.items.size()) {
    return record_status::kUnknown;
  }
  job_record& job = found->second;
  if (job.phase == job_phase::kCancelled) {
    return record_status::kCancelled;
  }
  if (job.IsEnded() || job.items.At(item.ref.index).IsSettled()) {
    ++job.duplicates;
    ++catalogue_.counters.duplicate_results;
    return record_status::kDuplicate;
  }
  if (job.phase == job_phase::kOpen || item.ref.index >= job.next_unleased) {
    return record_status::kUnknown;
  }
  if (item.outcome == item_outcome::kDone) {
    RecordDone(context, job, item);
    return record_status::kRecorded;
  }
  return RecordAttempt(context, job, item);
}

job_reply<results_recorded> job_state::Execute(const apply_context& context,
                                               const record_results& command) {
  results_recorded out;
  for (const item_result& item : command.results) {
    out.statuses.push_back(RecordResult(context, item));
  }
  return out;
}

void job_state::RecordInterruption(const apply_context& context,
                                   const item_ref& item) {
  job_record& job = catalogue_.jobs.at(item.job);
  item_entry& entry = job.items.MutableAt(item.index, generation_);
  Detach(job, entry, item.index);
  ++entry.interruptions;
  if (entry.interruptions < settings_.max_interruptions) {
    Requeue(job, entry, item.index);
    return;
  }
  const item_result failure{item, 0, item_outcome::kFailed,
                            error_kind::kOutcomeUnknown,
                            "every lease of the item ran out"};
  Settle(context, job, entry, failure);
}

void job_state::EndLease(const apply_context& context, lease_epoch epoch) {
  const std::vector<item_ref> items = catalogue_.leases.at(epoch).items;
  for (const item_ref& item : items) {
    RecordInterruption(context, item);
  }
  catalogue_.leases.erase(epoch);
}

void job_state::EndLeases(const apply_context& context,
                          const host_id& host,
                          incarnation before) {
  std::vector<lease_epoch> ended;
  for (const auto& [epoch, lease] : catalogue_.leases) {
    if (lease.host == host && lease.host_incarnation < before) {
      ended.push_back(epoch);
    }
  }
  for (const lease_epoch epoch : ended) {
    EndLease(context, epoch);
  }
}

}  // namespace shallotport
