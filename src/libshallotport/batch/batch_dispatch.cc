#include <algorithm>
#include <utility>

#include "batch/batch_sender.h"

namespace shallotport {

namespace {

// An endpoint that died gets no batch work for this long, unless it restarts as
// a new incarnation.
constexpr duration kEndpointBackoff = std::chrono::seconds(5);
constexpr duration kRefusalRetryDelay = std::chrono::milliseconds(500);

}  // namespace

// ---- Endpoints ----

void batch_sender::SetEndpoints(steady_time now,
                                std::span<const batch_endpoint> endpoints) {
  std::map<endpoint_id, endpoint_state> before = std::exchange(endpoints_, {});
  for (const batch_endpoint& endpoint : endpoints) {
    const auto known = before.find(endpoint.id);
    const bool is_same =
        known != before.end() &&
        known->second.endpoint.started == endpoint.started &&
        known->second.endpoint.window.strategy == endpoint.window.strategy &&
        known->second.endpoint.window.reserve_slots ==
            endpoint.window.reserve_slots;
    if (is_same) {
      known->second.endpoint = endpoint;
      endpoints_.emplace(endpoint.id, std::move(known->second));
      before.erase(known);
    } else {
      result<batch_window> window = batch_window::Create(endpoint.window);
      if (!IsOk(window)) {
        window = batch_window::Create({});
      }
      endpoint_state state{endpoint, ValueOf(std::move(window))};
      load_report empty;
      empty.slots = endpoint.slots;
      state.window.OnReport(now, empty);
      if (known != before.end() &&
          known->second.endpoint.started == endpoint.started) {
        state.calls = std::move(known->second.calls);
        state.window.SetOutstanding(now,
                                    static_cast<uint32_t>(state.calls.size()));
      }
      endpoints_.emplace(endpoint.id, std::move(state));
    }
    if (endpoint.must_leave) {
      CancelAll(endpoints_.at(endpoint.id));
    }
  }
  for (const auto& [id, removed] : before) {
    CancelAll(removed);
  }
}

void batch_sender::CancelAll(const endpoint_state& state) {
  for (const batch_call call : state.calls) {
    running_call& running = calls_.at(call);
    if (running.job->is_idempotent) {
      CancelCall(call, running);
    }
  }
}

void batch_sender::OnReport(steady_time now,
                            const endpoint_id& endpoint,
                            const load_report& report) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.window.OnReport(now, report);
  }
}

void batch_sender::OnOnline(steady_time now,
                            const endpoint_id& endpoint,
                            const host_id& source,
                            incarnation source_incarnation,
                            const online_count& count) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.window.OnOnline(now, source, source_incarnation, count);
  }
}

void batch_sender::OnOnlineLatency(steady_time now,
                                   const endpoint_id& endpoint,
                                   duration first_byte) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.window.OnOnlineLatency(now, first_byte);
  }
}

// ---- Queues ----

void batch_sender::Enqueue(const item_ref& ref,
                           held_item& item,
                           bool at_front) {
  item.phase = item_phase::kQueued;
  item_queue& queue = queues_[item.job->service];
  if (item.is_suspect) {
    queue.PushSuspect(ref);
  } else if (at_front) {
    queue.PushFront(ref, item.prefix);
  } else {
    queue.PushBack(ref, item.prefix);
  }
}

// Retries the item on this host after a delay. After too many refusals it is
// reported for a retry instead, which counts as an attempt.
void batch_sender::Postpone(steady_time now,
                            const item_ref& ref,
                            held_item& item) {
  ++item.refusals;
  if (item.refusals < settings_.max_refusals) {
    item.phase = item_phase::kDelayed;
    item.delayed_until = now + kRefusalRetryDelay;
    return;
  }
  const lease_epoch epoch = item.epoch;
  item.phase = item_phase::kDelayed;
  DropItem(ref);
  AddResult(now, ref, epoch, item_outcome::kRetry, error_kind::kNoCapacity,
            "refused too often");
}

void batch_sender::ReleaseDelayed(steady_time now) {
  for (auto& [ref, item] : items_) {
    if (item.phase == item_phase::kDelayed && item.delayed_until <= now) {
      Enqueue(ref, item, false);
    }
  }
}

// ---- Starting ----

uint32_t batch_sender::AvailableStarts(steady_time now, endpoint_state& state) {
  if (!state.endpoint.may_start || now < state.backoff_until) {
    return 0;
  }
  const uint32_t limit = state.window.StartLimit(now);
  const uint32_t inside =
      static_cast<uint32_t>(state.calls.size()) + state.claiming;
  return limit > inside ? limit - inside : 0;
}

void batch_sender::Dispatch(steady_time now) {
  if (IsFull()) {
    return;
  }
  for (auto& [id, state] : endpoints_) {
    DispatchTo(now, state);
  }
}

void batch_sender::DispatchTo(steady_time now, endpoint_state& state) {
  while (AvailableStarts(now, state) > 0 && StartNext(now, state)) {
  }
}

// Takes a suspect item if none is in flight at the endpoint, else preferably an
// item that shares the prefix of the endpoint's last one.
std::optional<item_ref> batch_sender::PopFor(const endpoint_state& state) {
  const bool has_suspect = std::ranges::any_of(
      state.calls,
      [this](batch_call call) { return calls_.at(call).is_suspect; });
  for (const service_id& service : state.endpoint.services) {
    const auto queue = queues_.find(service);
    if (queue == queues_.end()) {
      continue;
    }
    std::optional<item_ref> item;
    if (!has_suspect) {
      item = queue->second.PopSuspect();
    }
    if (!item) {
      item = queue->second.Pop(state.prefix);
    }
    if (item) {
      return item;
    }
  }
  return std::nullopt;
}

bool batch_sender::StartNext(steady_time now, endpoint_state& state) {
  const std::optional<item_ref> ref = PopFor(state);
  if (!ref) {
    return false;
  }
  held_item& item = items_.at(*ref);
  if (!HoldsLease(now, item.epoch)) {
    // Delayed until a reply confirms the lease, or until it expires.
    item.phase = item_phase::kDelayed;
    item.delayed_until = now + settings_.poll_interval / 10;
    return true;
  }
  if (item.job->is_idempotent) {
    Start(now, state, *ref, item);
  } else if (claiming_.contains(*ref)) {
    Postpone(now, *ref, item);
  } else {
    BeginClaim(state, *ref, item);
  }
  return true;
}

void batch_sender::BeginClaim(endpoint_state& state,
                              const item_ref& ref,
                              held_item& item) {
  item.phase = item_phase::kClaiming;
  ++state.claiming;
  const begin_item_claim claim{ref, item.job, item.body, state.endpoint.id,
                               state.endpoint.started};
  claiming_[ref] = claim;
  actions_.push_back(claim);
}

void batch_sender::Start(steady_time now,
                         endpoint_state& state,
                         const item_ref& ref,
                         held_item& item) {
  const batch_call call = ++last_call_;
  item.phase = item_phase::kCalling;
  item.call = call;
  calls_[call] = {ref,
                  item.epoch,
                  item.job,
                  state.endpoint.id,
                  state.endpoint.started,
                  item.is_suspect,
                  false,
                  false};
  state.calls.push_back(call);
  state.window.SetOutstanding(now, static_cast<uint32_t>(state.calls.size()));
  counters_.prefix_hits += state.prefix == item.prefix ? 1 : 0;
  state.prefix = item.prefix;
  if (!state.endpoint.can_resume) {
    item.partial = {};
  }
  ++counters_.started;
  counters_.resumed += item.partial.tokens > 0 ? 1 : 0;
  actions_.push_back(start_batch_call{
      call, state.endpoint.id, state.endpoint.started, state.endpoint.address,
      ref, item.job, item.body, item.partial, state.endpoint.can_resume});
}

void batch_sender::OnClaim(steady_time now,
                           const item_ref& ref,
                           item_claim claim,
                           const std::string& answer) {
  const begin_item_claim request = claiming_.extract(ref).mapped();
  const auto endpoint = endpoints_.find(request.endpoint);
  if (endpoint != endpoints_.end() && endpoint->second.claiming > 0) {
    --endpoint->second.claiming;
  }
  const auto found = items_.find(ref);
  const bool is_wanted =
      found != items_.end() && found->second.phase == item_phase::kClaiming;
  if (!is_wanted) {
    if (claim == item_claim::kMayRun) {
      actions_.push_back(release_item_claim{ref, request.job});
    }
    return;
  }
  held_item& item = found->second;
  if (claim == item_claim::kMayRun) {
    return StartClaimed(now, ref, item, request);
  }
  if (claim == item_claim::kUnavailable) {
    return Postpone(now, ref, item);
  }
  const lease_epoch epoch = item.epoch;
  items_.erase(found);
  if (claim == item_claim::kAnswered) {
    AddResult(now, ref, epoch, item_outcome::kDone, error_kind::kInternal,
              answer);
  } else {
    AddResult(now, ref, epoch, item_outcome::kFailed,
              error_kind::kOutcomeUnknown, "may have run before");
  }
}

// Releases the claim if the item may no longer start at the endpoint for which
// it was claimed.
void batch_sender::StartClaimed(steady_time now,
                                const item_ref& ref,
                                held_item& item,
                                const begin_item_claim& claim) {
  const auto endpoint = endpoints_.find(claim.endpoint);
  const bool may_start = HoldsLease(now, item.epoch) && !is_draining_ &&
                         endpoint != endpoints_.end() &&
                         endpoint->second.endpoint.may_start &&
                         endpoint->second.endpoint.started == claim.started;
  if (may_start) {
    return Start(now, endpoint->second, ref, item);
  }
  actions_.push_back(release_item_claim{ref, item.job});
  Enqueue(ref, item, true);
}

// ---- Yielding ----

void batch_sender::CancelCall(batch_call call, running_call& running) {
  if (!running.is_cancelling) {
    running.is_cancelling = true;
    actions_.push_back(cancel_batch_call{call});
  }
}

void batch_sender::CancelRunning() {
  for (const auto& [id, state] : endpoints_) {
    CancelAll(state);
  }
}

// Cancels the youngest streams above the endpoint's limit, except those of
// non-idempotent services.
void batch_sender::YieldExcess(steady_time now) {
  for (auto& [id, state] : endpoints_) {
    const uint32_t keep = state.window.KeepLimit(now);
    uint32_t active = static_cast<uint32_t>(std::ranges::count_if(
        state.calls,
        [this](batch_call call) { return !calls_.at(call).is_cancelling; }));
    for (auto call = state.calls.rbegin();
         call != state.calls.rend() && active > keep; ++call) {
      running_call& running = calls_.at(*call);
      if (running.is_cancelling || !running.job->is_idempotent) {
        continue;
      }
      CancelCall(*call, running);
      ++counters_.yielded;
      --active;
    }
  }
}

// ---- Ends of calls ----

void batch_sender::RemoveFromEndpoint(steady_time now,
                                      batch_call call,
                                      const running_call& running,
                                      call_outcome outcome) {
  const auto found = endpoints_.find(running.endpoint);
  if (found == endpoints_.end() ||
      found->second.endpoint.started != running.started) {
    return;
  }
  endpoint_state& state = found->second;
  std::erase(state.calls, call);
  state.window.SetOutstanding(now, static_cast<uint32_t>(state.calls.size()));
  if (outcome == call_outcome::kEndpointDied) {
    state.backoff_until = now + kEndpointBackoff;
  }
}

// A call that failed or was cancelled at an endpoint that has restarted since
// counts as kEndpointDied, whatever the connection reported.
bool batch_sender::HasRestarted(const running_call& running) const {
  const auto found = endpoints_.find(running.endpoint);
  return found != endpoints_.end() &&
         found->second.endpoint.started > running.started;
}

void batch_sender::OnCallEnd(steady_time now, batch_call_end end) {
  const auto found = calls_.find(end.call);
  if (found == calls_.end()) {
    return;
  }
  const running_call running = std::move(found->second);
  calls_.erase(found);
  const bool is_broken = end.outcome == call_outcome::kFailed ||
                         end.outcome == call_outcome::kCancelled;
  if (is_broken && HasRestarted(running)) {
    end.outcome = call_outcome::kEndpointDied;
    end.kind = error_kind::kEndpointFailed;
  }
  RemoveFromEndpoint(now, end.call, running, end.outcome);
  if (!running.job->is_idempotent) {
    SettleClaim(running, end);
  }
  const auto held = items_.find(running.item);
  const bool is_held = held != items_.end() &&
                       held->second.phase == item_phase::kCalling &&
                       held->second.call == end.call;
  if (is_held) {
    FinishCall(now, running, end);
  } else if (end.outcome == call_outcome::kDone &&
             !running.is_result_discarded) {
    // The lease has ended, but this may still be the item's first result.
    AddResult(now, running.item, running.epoch, item_outcome::kDone,
              error_kind::kInternal, end.body);
  }
}

void batch_sender::SettleClaim(const running_call& running,
                               const batch_call_end& end) {
  if (end.outcome == call_outcome::kDone) {
    actions_.push_back(finish_item_claim{running.item, running.job, end.body});
  } else if (end.outcome == call_outcome::kNotRun) {
    actions_.push_back(release_item_claim{running.item, running.job});
  } else {
    actions_.push_back(abandon_item_claim{running.item, running.job});
  }
}

void batch_sender::FinishCall(steady_time now,
                              const running_call& running,
                              const batch_call_end& end) {
  held_item& item = items_.at(running.item);
  const auto finish = [&](item_outcome outcome) {
    const lease_epoch epoch = item.epoch;
    items_.erase(running.item);
    AddResult(now, running.item, epoch, outcome, end.kind, end.body);
  };
  const bool may_repeat = running.job->is_idempotent;
  switch (end.outcome) {
    case call_outcome::kDone:
      return finish(item_outcome::kDone);
    case call_outcome::kRejected:
      return finish(item_outcome::kFailed);
    case call_outcome::kNotRun:
      return Postpone(now, running.item, item);
    case call_outcome::kCancelled:
      if (may_repeat) {
        item.partial = end.partial;
        return Enqueue(running.item, item, true);
      }
      break;
    case call_outcome::kFailed:
      if (may_repeat) {
        return finish(item_outcome::kRetry);
      }
      break;
    case call_outcome::kEndpointDied:
      if (may_repeat) {
        return finish(item_outcome::kEndpointDied);
      }
      break;
  }
  FinishWithUnknownOutcome(now, running);
}

// A call of a non-idempotent service ended without an answer; it may have been
// executed.
void batch_sender::FinishWithUnknownOutcome(steady_time now,
                                            const running_call& running) {
  const lease_epoch epoch = items_.at(running.item).epoch;
  items_.erase(running.item);
  AddResult(now, running.item, epoch, item_outcome::kFailed,
            error_kind::kOutcomeUnknown, "the call broke off");
}

}  // namespace shallotport
