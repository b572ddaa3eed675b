#include "slots/slot_allocator.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace shallotport {

namespace {

// A load report that was sent before its host received a grant does not list
// it. Grants count for at least this long.
constexpr std::chrono::milliseconds kGrantTransitTime{25};
// An endpoint that two hosts avoided within this time is avoided for all.
constexpr std::chrono::milliseconds kAvoidanceWindow{500};
constexpr size_t kHostsForAvoidance = 2;
// An endpoint fails requests when they are this share of those that ended
// lately, and at least this many.
constexpr double kFailingShare = 0.2;
constexpr double kMinFailures = 2;
constexpr std::chrono::milliseconds kCountHalfLife{2'000};
// Assumed until requests of the service have ended.
constexpr std::chrono::milliseconds kInitialDuration{500};
constexpr int kDurationSamples = 16;  // In the moving average.
// Positions in an endpoint's queue for requests that may wait for long.
constexpr uint32_t kMaxWaiting = 8;
constexpr std::chrono::milliseconds kMinRetryAfter{100};
// Of a service's slots, the least that a request may use to wait for one.
constexpr double kMinAllowedShare = 0.5;
// Of the waiting requests, looked at for a free slot that the first may not
// use.
constexpr size_t kMaxRequestsToTry = 8;
// Of the slots that become free, the share that is expected to be available to
// callers who return after a refusal; the others go to new requests.
constexpr double kReturnShare = 0.25;

endpoint_start StartOf(const endpoint_report& report) {
  return {report.endpoint, report.start_time_ms};
}

duration Average(duration mean, duration sample) {
  return mean.count() == 0 ? sample : mean + (sample - mean) / kDurationSamples;
}

}  // namespace

// How well an endpoint suits a request; the lowest is selected.
struct slot_allocator::candidate {
  enum class preference : uint8_t {
    kFreeInOwnDomain,
    kBatchInOwnDomain,
    kFree,
    kBatch,
    kFailing,
    kQueue,
    kUnusable,
  };

  preference rank = preference::kUnusable;
  duration wait{};
  double load = 0;  // Share of the slots.
  uint32_t key = 0;

  auto Order() const { return std::tuple(rank, wait, load, key); }
};

void slot_allocator::Update(const endpoint_report& report) {
  const uint32_t key = LoadKey(report.endpoint);
  if (report.stage == endpoint_stage::kLeft) {
    Remove(report.endpoint);
    return;
  }
  endpoint_state& state = endpoints_[key];
  if (state.report.start_time_ms != report.start_time_ms) {
    state.uses.clear();
    state.avoided_by.clear();
    state.mean_duration = {};
    state.ended = 0;
    state.failed = 0;
  }
  state.report = report;
  state.is_ready = report.stage == endpoint_stage::kReady &&
                   !leaving_.IsLeaving(report.endpoint, report.start_time_ms);
  endpoint_ids_[key] = report.endpoint;
}

void slot_allocator::Remove(const endpoint_id& endpoint) {
  const uint32_t key = LoadKey(endpoint);
  endpoints_.erase(key);
  endpoint_ids_.erase(key);
}

void slot_allocator::RecordLeaving(steady_time now,
                                   const endpoint_start& start) {
  leaving_.Add(now, start, leaving_endpoints::origin::kOtherHost);
  const auto found = endpoints_.find(LoadKey(start.endpoint));
  if (found != endpoints_.end()) {
    endpoint_state& state = found->second;
    const bool is_leaving =
        leaving_.IsLeaving(state.report.endpoint, state.report.start_time_ms);
    state.is_ready = state.is_ready && !is_leaving;
  }
}

void slot_allocator::SetBatchLoad(uint32_t endpoint, uint32_t running) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.batch_load = running;
  }
}

uint32_t slot_allocator::OnlineLoad(uint32_t endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end()
             ? 0
             : static_cast<uint32_t>(found->second.uses.size());
}

duration slot_allocator::MeanDuration(const endpoint_state& state) const {
  if (state.mean_duration.count() > 0) {
    return state.mean_duration;
  }
  const auto found = services_.find(state.report.service);
  const bool is_known =
      found != services_.end() && found->second.mean_duration.count() > 0;
  return is_known ? found->second.mean_duration : duration(kInitialDuration);
}

void slot_allocator::RecordDuration(endpoint_state& state, duration elapsed) {
  state.mean_duration = Average(state.mean_duration, elapsed);
  service_state& service = services_[state.report.service];
  service.mean_duration = Average(service.mean_duration, elapsed);
  service.durations.Record(elapsed);
}

bool slot_allocator::IsAvoidedByOthers(steady_time now,
                                       const endpoint_state& state) const {
  const auto recent = std::count_if(
      state.avoided_by.begin(), state.avoided_by.end(),
      [now](const auto& each) { return now < each.second + kAvoidanceWindow; });
  return static_cast<size_t>(recent) >= kHostsForAvoidance;
}

void slot_allocator::DecayCounts(steady_time now, endpoint_state& state) {
  const std::chrono::duration<double> age = now - state.counted_at;
  const std::chrono::duration<double> half_life = kCountHalfLife;
  const double factor = std::exp2(-std::max(age / half_life, 0.0));
  state.ended *= factor;
  state.failed *= factor;
  state.counted_at = now;
}

bool slot_allocator::IsFailing(const endpoint_state& state) {
  return state.failed >= kMinFailures &&
         state.failed >= kFailingShare * state.ended;
}

bool slot_allocator::HasVersion(const slot_request& request,
                                const endpoint_state& state) {
  return !request.software_version ||
         *request.software_version == state.report.software_version;
}

bool slot_allocator::IsAllowed(steady_time now,
                               const slot_request& request,
                               uint32_t key,
                               const endpoint_state& state) const {
  const auto contains = [](const auto& list, const auto& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
  };
  return state.is_ready && state.report.slots > 0 &&
         HasVersion(request, state) &&
         !contains(request.avoided_endpoints, key) &&
         !contains(request.avoided_domains, state.report.domain) &&
         !IsAvoidedByOthers(now, state);
}

slot_allocator::candidate slot_allocator::Rank(
    steady_time now,
    const slot_request& request,
    uint32_t key,
    const endpoint_state& state) const {
  using preference = candidate::preference;
  candidate ranked;
  ranked.key = key;
  const uint32_t slots = state.report.slots;
  if (!IsAllowed(now, request, key, state) ||
      !limits_->MaySend(now, StartOf(state.report), false)) {
    return ranked;
  }
  const auto online = static_cast<uint32_t>(state.uses.size());
  const uint32_t total = online + state.batch_load;
  const bool is_own_domain = state.report.domain == request.domain;
  ranked.load = static_cast<double>(total) / slots;
  if (IsFailing(state) && online < slots) {
    ranked.rank = preference::kFailing;
    return ranked;
  }
  if (limits_->IsLimited(StartOf(state.report))) {
    // What it takes is kept for times when no other slot is free.
    ranked.rank = total < slots ? preference::kFree : preference::kUnusable;
    ranked.load += 1;
    return ranked;
  }
  if (total < slots) {
    ranked.rank =
        is_own_domain ? preference::kFreeInOwnDomain : preference::kFree;
    return ranked;
  }
  if (online < slots) {
    ranked.rank =
        is_own_domain ? preference::kBatchInOwnDomain : preference::kBatch;
    return ranked;
  }
  if (online >= slots + kMaxWaiting) {
    return ranked;
  }
  ranked.rank = preference::kQueue;
  ranked.wait = ExpectedWait(now, state);
  return ranked;
}

// Requests that have started are expected to take the mean duration, and those
// that wait to start in order of arrival.
duration slot_allocator::ExpectedWait(steady_time now,
                                      const endpoint_state& state) const {
  const duration mean = MeanDuration(state);
  std::vector<duration> slots_free_in;
  size_t waiting = 0;
  for (const slot_use& use : state.uses) {
    if (use.has_started) {
      // A request that is overdue can still take a while.
      slots_free_in.push_back(
          std::max<duration>(use.started_at + mean - now, mean / 4));
    } else {
      ++waiting;
    }
  }
  std::sort(slots_free_in.begin(), slots_free_in.end());
  const size_t slots = slots_free_in.size();
  return slots == 0 ? duration(0)
                    : slots_free_in[waiting % slots] +
                          mean * static_cast<int64_t>(waiting / slots);
}

void slot_allocator::StartWaiting(steady_time now, endpoint_state& state) {
  auto running = static_cast<uint32_t>(
      std::count_if(state.uses.begin(), state.uses.end(),
                    [](const slot_use& use) { return use.has_started; }));
  for (slot_use& use : state.uses) {
    if (running >= state.report.slots) {
      return;
    }
    if (!use.has_started) {
      use.has_started = true;
      use.started_at = now;
      ++running;
    }
  }
}

slot_allocator::candidate slot_allocator::SelectCandidate(
    steady_time now,
    const slot_request& request) {
  candidate best;
  for (auto& [key, state] : endpoints_) {
    if (state.report.service != request.service) {
      continue;
    }
    if (state.failed > 0) {
      DecayCounts(now, state);
    }
    const candidate ranked = Rank(now, request, key, state);
    if (ranked.Order() < best.Order()) {
      best = ranked;
    }
  }
  return best;
}

slot_decision slot_allocator::Grant(steady_time now,
                                    const std::string& host,
                                    const candidate& at) {
  endpoint_state& state = endpoints_.at(at.key);
  limits_->RecordSent(now, StartOf(state.report));
  state.uses.push_back({host, now});
  StartWaiting(now, state);
  host_endpoints_[host].insert(at.key);
  slot_decision decision;
  decision.reply.kind = slot_reply_kind::kGranted;
  decision.reply.endpoint = state.report.endpoint;
  decision.expected_wait = at.wait;
  decision.needs_yield =
      state.uses.size() <= state.report.slots &&
      state.uses.size() + state.batch_load > state.report.slots;
  return decision;
}

void slot_allocator::RecordAvoidance(steady_time now,
                                     const std::string& host,
                                     const slot_request& request) {
  for (const uint32_t key : request.avoided_endpoints) {
    const auto avoided = endpoints_.find(key);
    if (avoided != endpoints_.end()) {
      avoided->second.avoided_by[host] = now;
    }
  }
  for (const uint32_t key : request.failed_endpoints) {
    const auto failed = endpoints_.find(key);
    if (failed != endpoints_.end()) {
      DecayCounts(now, failed->second);
      failed->second.failed += 1;
    }
  }
}

slot_decision slot_allocator::Allocate(steady_time now,
                                       const std::string& host,
                                       const slot_request& request) {
  RecordAvoidance(now, host, request);
  const candidate best = SelectCandidate(now, request);
  slot_decision decision;
  if (best.rank == candidate::preference::kUnusable) {
    if (const auto limited = LimitedService(now, request)) {
      return Refuse(now, request, limited->wait);
    }
    decision.reply.kind = slot_reply_kind::kNoEndpoint;
    return decision;
  }
  if (best.wait > std::chrono::milliseconds(request.max_wait_ms)) {
    return Refuse(now, request, best.wait);
  }
  return Grant(now, host, best);
}

duration slot_allocator::MeanDuration(const service_state& service) const {
  return service.mean_duration.count() > 0 ? service.mean_duration
                                           : duration(kInitialDuration);
}

uint32_t slot_allocator::UsableSlots(const slot_request& request) const {
  uint32_t slots = 0;
  for (const auto& [key, state] : endpoints_) {
    const bool is_usable = state.is_ready && HasVersion(request, state) &&
                           state.report.service == request.service &&
                           !limits_->IsLimited(StartOf(state.report));
    slots += is_usable ? state.report.slots : 0;
  }
  return slots;
}

uint32_t slot_allocator::AllowedSlots(steady_time now,
                                      const slot_request& request) const {
  uint32_t slots = 0;
  for (const auto& [key, state] : endpoints_) {
    const bool is_allowed = state.report.service == request.service &&
                            IsAllowed(now, request, key, state) &&
                            !limits_->IsLimited(StartOf(state.report));
    slots += is_allowed ? state.report.slots : 0;
  }
  return slots;
}

slot_decision slot_allocator::AllocateOrQueue(
    steady_time now,
    const std::string& host,
    const queued_slot_request& demand) {
  const slot_request& request = demand.request;
  RecordAvoidance(now, host, request);
  service_state& service = services_[request.service];
  const candidate best = SelectCandidate(now, request);
  // While others wait, a slot that is free is one that they must not use.
  if (best.rank < candidate::preference::kQueue) {
    return Grant(now, host, best);
  }
  // Where hosts avoid most endpoints, as after a partition, free slots are not
  // known here: the host selects by itself.
  const uint32_t slots = AllowedSlots(now, request);
  if (slots == 0 || slots < kMinAllowedShare * UsableSlots(request)) {
    slot_decision decision;
    decision.reply.kind = slot_reply_kind::kNoEndpoint;
    return LimitedService(now, request) ? Allocate(now, host, request)
                                        : decision;
  }
  const duration useful = std::chrono::milliseconds(request.max_wait_ms);
  waiting_slot_request waiting{host, demand, now, now + useful};
  const auto ahead =
      static_cast<int64_t>(service.queue.CountAhead(now, waiting)) + 1;
  const duration expected =
      service.durations.Mean(kInitialDuration) * ahead / slots;
  if (expected > useful) {
    return Refuse(now, request, expected);
  }
  slot_decision decision;
  decision.expected_wait = expected;
  decision.reply.kind = slot_reply_kind::kQueued;
  if (const auto dropped = service.queue.Add(std::move(waiting))) {
    slot_decision refusal = Refuse(now, dropped->demand.request, expected);
    if (dropped->host == host && dropped->demand.ticket == demand.ticket) {
      return refusal;
    }
    dropped_.push_back({dropped->host, dropped->demand.ticket, refusal});
  }
  return decision;
}

std::vector<queued_slot_decision> slot_allocator::TakeQueued(steady_time now) {
  std::vector<queued_slot_decision> decisions = std::exchange(dropped_, {});
  for (auto& [id, service] : services_) {
    for (const waiting_slot_request& each : service.queue.TakeExpired(now)) {
      decisions.push_back({each.host, each.demand.ticket,
                           Refuse(now, each.demand.request, duration(0))});
    }
    while (!service.queue.IsEmpty() && HasFreeSlot(id)) {
      const auto grant = GrantNext(now, service.queue);
      if (!grant) {
        break;
      }
      decisions.push_back(*grant);
    }
  }
  return decisions;
}

// Every load report asks for grants, and mostly none is possible: ranking all
// endpoints for several requests would cost more than all else.
bool slot_allocator::HasFreeSlot(const service_id& service) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&service](const auto& each) {
        const endpoint_state& state = each.second;
        return state.is_ready && state.uses.size() < state.report.slots &&
               state.report.service == service;
      });
}

// The first request may not use the endpoints whose slots are free.
std::optional<queued_slot_decision> slot_allocator::GrantNext(
    steady_time now,
    slot_queue& queue) {
  for (const waiting_slot_request* each : queue.First(now, kMaxRequestsToTry)) {
    const candidate best = SelectCandidate(now, each->demand.request);
    if (best.rank < candidate::preference::kQueue) {
      const waiting_slot_request granted = queue.Take(*each);
      return queued_slot_decision{granted.host, granted.demand.ticket,
                                  Grant(now, granted.host, best)};
    }
  }
  return std::nullopt;
}

void slot_allocator::CancelQueued(const std::string& host, uint64_t ticket) {
  for (auto& [id, service] : services_) {
    if (service.queue.Remove(host, ticket)) {
      return;
    }
  }
}

void slot_allocator::ClearQueued() {
  dropped_.clear();
  for (auto& [id, service] : services_) {
    service.queue.Clear();
  }
}

size_t slot_allocator::queued_count() const {
  size_t count = 0;
  for (const auto& [id, service] : services_) {
    count += service.queue.size();
  }
  return count;
}

std::optional<slot_allocator::limited_service> slot_allocator::LimitedService(
    steady_time now,
    const slot_request& request) const {
  std::optional<limited_service> sum;
  for (const auto& [key, state] : endpoints_) {
    const endpoint_start start = StartOf(state.report);
    if (!state.is_ready || !HasVersion(request, state) ||
        state.report.service != request.service || !limits_->IsLimited(start)) {
      continue;
    }
    const duration wait = limits_->WaitFor(now, start).value_or(duration(0));
    sum = limited_service{
        sum ? std::min(sum->wait, wait) : wait,
        (sum ? sum->per_second : 0) + limits_->PerSecond(start)};
  }
  return sum;
}

slot_decision slot_allocator::Refuse(steady_time now,
                                     const slot_request& request,
                                     duration expected_wait) {
  const uint32_t slots = UsableSlots(request);
  const auto limited = LimitedService(now, request);
  service_state& service = services_[request.service];
  const std::chrono::duration<double> mean_seconds = MeanDuration(service);
  const double freed_per_second =
      slots / mean_seconds.count() + (limited ? limited->per_second : 0);
  const auto interval =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          1 / (kReturnShare *
               std::max(freed_per_second, 1 / mean_seconds.count()))));
  const steady_time earliest =
      now + std::max<duration>(expected_wait, kMinRetryAfter);
  const steady_time latest =
      now +
      std::max<duration>(std::chrono::milliseconds(request.max_retry_after_ms),
                         kMinRetryAfter);
  service.last_return_at = std::clamp(
      std::max(service.last_return_at + interval, earliest), now, latest);
  slot_decision decision;
  decision.expected_wait = expected_wait;
  decision.reply.kind = slot_reply_kind::kRefused;
  decision.reply.retry_after_ms = static_cast<uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(service.last_return_at - now)
          .count());
  return decision;
}

void slot_allocator::RecordLoad(steady_time now,
                                const std::string& host,
                                const load_report& report) {
  for (const endpoint_start& each : report.leaving) {
    RecordLeaving(now, each);
  }
  std::set<uint32_t>& known = host_endpoints_[host];
  std::map<uint32_t, uint32_t> reported;
  for (const load_entry& each : report.entries) {
    if (endpoints_.contains(each.endpoint)) {
      reported[each.endpoint] = each.running;
    }
  }
  for (const uint32_t key : known) {
    reported.try_emplace(key, 0);
  }
  known.clear();
  for (const auto& [key, count] : reported) {
    const auto found = endpoints_.find(key);
    if (found == endpoints_.end()) {
      continue;
    }
    endpoint_state& state = found->second;
    std::vector<slot_use>& uses = state.uses;
    const auto is_own = [&host](const slot_use& use) {
      return use.host == host;
    };
    auto own =
        static_cast<uint32_t>(std::count_if(uses.begin(), uses.end(), is_own));
    while (own > count) {
      const auto oldest = std::find_if(uses.begin(), uses.end(), is_own);
      if (now < oldest->granted_at + kGrantTransitTime) {
        break;
      }
      if (oldest->has_started) {
        RecordDuration(state, now - oldest->started_at);
      }
      DecayCounts(now, state);
      state.ended += 1;
      uses.erase(oldest);
      --own;
    }
    for (; own < count; ++own) {
      uses.push_back({host, now});
    }
    StartWaiting(now, state);
    if (own > 0) {
      known.insert(key);
    }
  }
}

void slot_allocator::RemoveHost(const std::string& host) {
  for (auto& [id, service] : services_) {
    service.queue.RemoveHost(host);
  }
  const auto found = host_endpoints_.find(host);
  if (found == host_endpoints_.end()) {
    return;
  }
  for (const uint32_t key : found->second) {
    const auto endpoint = endpoints_.find(key);
    if (endpoint != endpoints_.end()) {
      std::erase_if(endpoint->second.uses,
                    [&host](const slot_use& use) { return use.host == host; });
    }
  }
  host_endpoints_.erase(found);
}

}  // namespace shallotport
