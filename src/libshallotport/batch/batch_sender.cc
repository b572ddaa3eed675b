#include "batch/batch_sender.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr duration kNoItemsInterval = milliseconds(500);
constexpr duration kInitialBackoff = milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);
constexpr duration kBusyStepInterval = milliseconds(10);
constexpr duration kIdleStepInterval = milliseconds(100);
// Minimum number of items to hold for a service with free slots.
constexpr uint32_t kMinPrefetch = 4;

int64_t Milliseconds(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

}  // namespace

batch_sender::batch_sender(host_id self,
                           incarnation started,
                           const batch_sender_settings& settings,
                           uint64_t seed)
    : self_(std::move(self)),
      started_(started),
      settings_(settings),
      random_(seed) {}

bool batch_sender::IsFull() const {
  return results_.size() + recording_.size() >= settings_.max_held_results ||
         held_bytes_ >= settings_.max_held_bytes;
}

bool batch_sender::IsDrained() const {
  const bool is_idle = calls_.empty() && items_.empty() && !lease_requested_at_;
  const bool is_recorded = results_.empty() && recording_.empty();
  // Without the log nothing can be recorded; another host then retries the
  // items.
  const bool has_given_up = is_draining_ && record_backoff_.failures > 0;
  return is_idle && (is_recorded || has_given_up);
}

bool batch_sender::HoldsLease(steady_time now, lease_epoch epoch) const {
  const auto found = leases_.find(epoch);
  return found != leases_.end() && now < found->second.expires_at &&
         now < found->second.confirmed_at + settings_.freshness;
}

std::vector<lease_epoch> batch_sender::HeldEpochs() const {
  std::vector<lease_epoch> epochs;
  for (const auto& [epoch, lease] : leases_) {
    epochs.push_back(epoch);
  }
  return epochs;
}

// Exponential backoff with jitter, so that hosts do not retry in step.
void batch_sender::BackOff(retry_backoff& backoff, steady_time now) {
  const duration longest = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(backoff.failures, 8U)));
  ++backoff.failures;
  const uint64_t half = static_cast<uint64_t>(longest.count()) / 2;
  backoff.until = now + duration(half + UniformBelow(random_, half + 1));
}

batch_sender::actions batch_sender::Step(steady_time now) {
  RemoveExpiredLeases(now);
  ReleaseDelayed(now);
  YieldExcess(now);
  if (is_draining_) {
    ReturnQueued(now);
  } else {
    Dispatch(now);
    RequestItems(now);
  }
  RequestLeaseChanges(now);
  RequestRecording(now);
  return std::exchange(actions_, {});
}

steady_time batch_sender::NextTimer(steady_time now) const {
  const bool is_busy = !items_.empty() || !calls_.empty() || !results_.empty();
  return now + (is_busy ? kBusyStepInterval : kIdleStepInterval);
}

// ---- Leases ----

void batch_sender::RemoveExpiredLeases(steady_time now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.expires_at) {
      ++lease;
      continue;
    }
    ++counters_.expired_leases;
    const lease_epoch epoch = lease->first;
    lease = leases_.erase(lease);
    std::vector<item_ref> lost;
    for (const auto& [ref, item] : items_) {
      if (item.epoch == epoch) {
        lost.push_back(ref);
      }
    }
    for (const item_ref& ref : lost) {
      DropItem(ref);
    }
  }
}

// Removes a held item. Its call, if any, is cancelled unless the service is
// non-idempotent.
void batch_sender::DropItem(const item_ref& ref) {
  const auto found = items_.find(ref);
  if (found == items_.end()) {
    return;
  }
  held_item& item = found->second;
  if (item.phase == item_phase::kQueued) {
    queues_[item.job->service].Remove(ref, item.prefix);
  }
  if (item.phase == item_phase::kCalling) {
    running_call& running = calls_.at(item.call);
    if (item.job->is_idempotent) {
      CancelCall(item.call, running);
    }
  }
  items_.erase(found);
}

void batch_sender::ApplyChanges(const lease_changes& changes) {
  std::vector<item_ref> lost;
  for (const lease_epoch epoch : changes.ended) {
    leases_.erase(epoch);
    for (const auto& [ref, item] : items_) {
      if (item.epoch == epoch) {
        lost.push_back(ref);
      }
    }
  }
  for (const item_ref& ref : lost) {
    DropItem(ref);
  }
  for (const item_ref& ref : changes.revoked) {
    const auto found = items_.find(ref);
    if (found == items_.end()) {
      continue;
    }
    ++counters_.revoked;
    if (found->second.phase == item_phase::kCalling) {
      running_call& running = calls_.at(found->second.call);
      running.is_result_discarded = found->second.job->is_idempotent;
    }
    DropItem(ref);
  }
}

// A reply confirms only the leases that its query named.
void batch_sender::Confirm(const lease_query& query) {
  for (const lease_epoch epoch : query.epochs) {
    const auto found = leases_.find(epoch);
    if (found != leases_.end()) {
      found->second.confirmed_at =
          std::max(found->second.confirmed_at, query.requested_at);
    }
  }
}

void batch_sender::AddLease(steady_time now, const leased_work& work) {
  const steady_time requested_at = *lease_requested_at_;
  const lease_epoch epoch = work.grant.epoch;
  leases_[epoch] = {requested_at + settings_.lease, requested_at};
  std::map<job_number, std::shared_ptr<const leased_job>> jobs;
  for (const leased_job& job : work.grant.jobs) {
    jobs[job.number] = std::make_shared<const leased_job>(job);
  }
  for (size_t i = 0; i < work.grant.items.size(); ++i) {
    const leased_item& leased = work.grant.items[i];
    if (work.bodies[i].empty()) {
      continue;
    }
    const auto known = items_.find(leased.ref);
    if (known != items_.end()) {
      // The lease had expired by the leader's clock but not yet by this host's.
      known->second.epoch = epoch;
      if (known->second.phase == item_phase::kCalling) {
        calls_.at(known->second.call).epoch = epoch;
      }
      continue;
    }
    held_item& item = items_[leased.ref];
    item.epoch = epoch;
    item.job = jobs.at(leased.ref.job);
    item.body = work.bodies[i];
    item.prefix = PrefixHashOf(item.job->account, item.body);
    item.is_suspect = leased.is_suspect;
    Enqueue(leased.ref, item, false);
  }
  next_renewal_ = std::min(next_renewal_, now + settings_.renew_interval);
}

void batch_sender::OnLeased(steady_time now, const result<leased_work>& reply) {
  if (!IsOk(reply)) {
    BackOff(lease_backoff_, now);
  } else {
    lease_backoff_ = {};
    const leased_work& work = ValueOf(reply);
    if (work.grant.items.empty()) {
      no_items_until_[requested_service_] = now + kNoItemsInterval;
    } else {
      AddLease(now, work);
    }
  }
  lease_requested_at_.reset();
}

void batch_sender::OnRenewed(steady_time now,
                             const result<lease_changes>& reply) {
  const lease_query query = *std::exchange(renewal_query_, std::nullopt);
  if (!IsOk(reply)) {
    next_renewal_ = now + settings_.poll_interval;
    return;
  }
  for (const lease_epoch epoch : query.epochs) {
    const auto found = leases_.find(epoch);
    if (found != leases_.end()) {
      found->second.expires_at = std::max(found->second.expires_at,
                                          query.requested_at + settings_.lease);
    }
  }
  Confirm(query);
  ApplyChanges(ValueOf(reply));
}

void batch_sender::OnRevocations(steady_time,
                                 const result<lease_changes>& reply) {
  const lease_query query = *std::exchange(poll_query_, std::nullopt);
  if (IsOk(reply)) {
    Confirm(query);
    ApplyChanges(ValueOf(reply));
  }
}

// ---- Requests ----

void batch_sender::RequestItems(steady_time now) {
  if (lease_requested_at_ || now < lease_backoff_.until || IsFull()) {
    return;
  }
  std::map<service_id, uint32_t> wanted;
  for (auto& [id, state] : endpoints_) {
    if (!state.endpoint.may_start) {
      continue;
    }
    const uint32_t prefetch = state.window.StartLimit(now) / 4;
    for (const service_id& service : state.endpoint.services) {
      wanted[service] += AvailableStarts(now, state) + prefetch;
    }
  }
  uint32_t max_shortfall = 0;
  for (const auto& [service, starts] : wanted) {
    const uint32_t queued = static_cast<uint32_t>(queues_[service].size());
    const uint32_t target = starts == 0 ? 0 : std::max(starts, kMinPrefetch);
    if (target <= queued + target / 4 || now < no_items_until_[service]) {
      continue;
    }
    if (target - queued > max_shortfall) {
      max_shortfall = target - queued;
      requested_service_ = service;
    }
  }
  if (max_shortfall == 0) {
    return;
  }
  lease_requested_at_ = now;
  actions_.push_back(
      request_lease{{self_,
                     started_,
                     {requested_service_},
                     std::min(max_shortfall, settings_.max_lease_items),
                     Milliseconds(settings_.lease)}});
}

// A lease is needed while an item or an unrecorded result of it is held.
void batch_sender::RemoveIdleLeases() {
  std::set<lease_epoch> used;
  for (const auto& [ref, item] : items_) {
    used.insert(item.epoch);
  }
  for (const item_result& each : results_) {
    used.insert(each.epoch);
  }
  for (const item_result& each : recording_) {
    used.insert(each.epoch);
  }
  std::erase_if(leases_,
                [&](const auto& each) { return !used.contains(each.first); });
}

void batch_sender::RequestLeaseChanges(steady_time now) {
  RemoveIdleLeases();
  if (leases_.empty()) {
    return;
  }
  if (!poll_query_ && now >= next_poll_) {
    poll_query_ = {now, HeldEpochs()};
    next_poll_ = now + settings_.poll_interval;
    actions_.push_back(
        request_revocations{{self_, started_, poll_query_->epochs}});
  }
  if (!renewal_query_ && now >= next_renewal_) {
    renewal_query_ = {now, HeldEpochs()};
    next_renewal_ = now + settings_.renew_interval;
    actions_.push_back(
        request_lease_renewal{{self_, started_, renewal_query_->epochs,
                               Milliseconds(settings_.lease)}});
  }
}

void batch_sender::RequestRecording(steady_time now) {
  if (!recording_.empty() || results_.empty() || now < record_backoff_.until) {
    return;
  }
  const bool is_due = results_.size() >= settings_.record_group ||
                      now >= oldest_result_at_ + settings_.record_delay ||
                      is_draining_;
  if (!is_due) {
    return;
  }
  while (!results_.empty() && recording_.size() < settings_.record_group) {
    recording_.push_back(std::move(results_.front()));
    results_.pop_front();
  }
  oldest_result_at_ = now;
  actions_.push_back(request_record{{self_, started_, recording_}});
}

void batch_sender::OnRecorded(steady_time now,
                              const result<results_recorded>& reply) {
  std::vector<item_result> sent = std::exchange(recording_, {});
  if (!IsOk(reply)) {
    // The command may have been committed; its retry then counts as a
    // duplicate.
    results_.insert(results_.begin(), std::make_move_iterator(sent.begin()),
                    std::make_move_iterator(sent.end()));
    BackOff(record_backoff_, now);
    return;
  }
  record_backoff_ = {};
  for (size_t i = 0; i < sent.size(); ++i) {
    held_bytes_ -= sent[i].body.size();
    const record_status verdict = ValueOf(reply).statuses[i];
    counters_.duplicates += verdict == record_status::kDuplicate ? 1 : 0;
  }
  counters_.recorded += sent.size();
}

void batch_sender::AddResult(steady_time now,
                             const item_ref& item,
                             lease_epoch epoch,
                             item_outcome outcome,
                             error_kind kind,
                             std::string body) {
  if (results_.empty()) {
    oldest_result_at_ = now;
  }
  held_bytes_ += body.size();
  results_.push_back({item, epoch, outcome, kind, std::move(body)});
  ++counters_.finished;
}

void batch_sender::ReturnQueued(steady_time now) {
  std::vector<std::pair<item_ref, lease_epoch>> unstarted;
  for (const auto& [ref, item] : items_) {
    if (item.phase != item_phase::kCalling &&
        item.phase != item_phase::kClaiming) {
      unstarted.emplace_back(ref, item.epoch);
    }
  }
  for (const auto& [ref, epoch] : unstarted) {
    DropItem(ref);
    AddResult(now, ref, epoch, item_outcome::kReturned,
              error_kind::kShuttingDown, "");
  }
}

void batch_sender::WriteState(nlohmann::json& out) const {
  out["counters"] = {
      {"batch_calls_started", counters_.started},
      {"batch_calls_resumed", counters_.resumed},
      {"batch_items_finished", counters_.finished},
      {"batch_calls_yielded", counters_.yielded},
      {"batch_items_revoked", counters_.revoked},
      {"batch_results_recorded", counters_.recorded},
      {"batch_results_duplicate", counters_.duplicates},
      {"batch_leases_lapsed", counters_.expired_leases},
      {"batch_prefix_hits", counters_.prefix_hits},
      {"batch_sender_items", items_.size()},
      {"batch_sender_calls", calls_.size()},
      {"batch_results_held", results_.size() + recording_.size()},
      {"batch_results_held_bytes", held_bytes_}};
  out["is_draining"] = is_draining_;
  out["leases"] = HeldEpochs();
  for (const auto& [id, state] : endpoints_) {
    nlohmann::json& entry = out["endpoints"][id.text()];
    state.window.WriteState(entry["window"]);
    entry["calls"] = state.calls.size();
    entry["may_start"] = state.endpoint.may_start;
  }
}

}  // namespace shallotport
