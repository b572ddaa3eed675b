#include "entry/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace shallotport {

namespace {

// The peer load counts in full for about half a request's duration, and not at
// all after about twice that.
constexpr std::chrono::milliseconds kPeerLoadFresh{400};
constexpr std::chrono::milliseconds kPeerLoadExpiry{1'500};
// The load exchange between hosts is exact; an endpoint's own load report is
// used only when the exchange has stopped for this long.
constexpr std::chrono::milliseconds kLoadExchangeTimeout{250};
// An endpoint that shed a request has no free slot for about the time in which
// one slot is freed.
constexpr std::chrono::milliseconds kBackoffAfterShed{60};
// Backoff of an endpoint that cannot be reached; doubled with each failure in a
// row, up to the maximum.
constexpr std::chrono::milliseconds kInitialFailureBackoff{250};
constexpr std::chrono::milliseconds kMaxFailureBackoff{4'000};
// With equal numbers of free slots, endpoints of the own failure domain are
// this much more likely: a partition between domains breaks the streams that
// cross it. With a higher factor, the own domain's endpoints fill up before the
// others are used.
constexpr double kOwnDomainFactor = 8;
constexpr double kIsolatedOwnDomainFactor = 1'000;
// Where the number of requests is limited, those that run for long make the
// most of it.
constexpr double kBatchAtLimitedFactor = 8;
// The requests at an endpoint that ends break within this time.
constexpr std::chrono::milliseconds kBreakTime{1'000};
// The hosts' load exchange no longer counts refused requests after this time.
constexpr std::chrono::milliseconds kRefusedLoadTime{300};
// Less than one request.
constexpr double kNoLoad = 0.5;
// Bounds the memory while nobody asks for the failures.
constexpr size_t kMaxFailures = 20;

}  // namespace

endpoint_selector::endpoint_selector(endpoint_selector_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      crashes_(options_.crash_role, options_.seed) {}

void endpoint_selector::Update(const endpoint_report& report,
                               steady_time started_at) {
  endpoint_state& state = endpoints_[report.endpoint];
  const bool is_new_start = state.report.start_time_ms != report.start_time_ms;
  if (state.report.service != report.service ||
      state.report.domain != report.domain) {
    RemoveFromService(state);
  }
  state.report = report;
  state.is_ready = report.stage == endpoint_stage::kReady &&
                   !leaving_.IsLeaving(report.endpoint, report.start_time_ms);
  if (is_new_start) {
    state.peer_load = 0;
    state.failures = 0;
    state.backoff_until = {};
    state.refused.reset();
    if (state.ended_at && *state.ended_at < started_at) {
      state.ended_at.reset();
    }
    // Hosts that start may hear of the end before they hear of the start.
    if (const auto ended_at = crashes_.EndedAt(StartKey(StartOf(state)))) {
      SetEnded(*ended_at, state);
    }
  }
  AddToService(state);
  if (report.stage == endpoint_stage::kLeft) {
    Remove(report.endpoint);
  }
}

void endpoint_selector::AddToService(const endpoint_state& state) {
  const endpoint_report& report = state.report;
  if (by_service_[report.service].insert(report.endpoint).second) {
    crashes_.AddEndpoint(report.service, report.domain);
  }
}

void endpoint_selector::RemoveFromService(const endpoint_state& state) {
  const endpoint_report& report = state.report;
  if (by_service_[report.service].erase(report.endpoint) > 0) {
    crashes_.RemoveEndpoint(report.service, report.domain);
  }
}

void endpoint_selector::Remove(const endpoint_id& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  found->second.is_ready = false;
  RemoveFromService(found->second);
  if (found->second.own_load == 0) {
    endpoints_.erase(found);
  }
}

bool endpoint_selector::RecordLeaving(steady_time now,
                                      const endpoint_start& start,
                                      leaving_endpoints::origin from) {
  const auto found = endpoints_.find(start.endpoint);
  if (found != endpoints_.end() &&
      from == leaving_endpoints::origin::kOwnResponse) {
    found->second.notice_at = now;
  }
  if (!leaving_.Add(now, start, from)) {
    return false;
  }
  if (found != endpoints_.end() &&
      found->second.report.start_time_ms <= start.start_time_ms) {
    found->second.is_ready = false;
  }
  return true;
}

void endpoint_selector::SetEnded(steady_time ended_at, endpoint_state& state) {
  state.refused.reset();
  state.ended_at = std::max(state.ended_at.value_or(ended_at), ended_at);
  state.has_answered_since = false;
}

uint32_t endpoint_selector::LoadFromBefore(steady_time ended_at,
                                           const endpoint_state& state) {
  return static_cast<uint32_t>(
      std::count_if(state.begun_at.begin(), state.begun_at.end(),
                    [ended_at](steady_time at) { return at <= ended_at; }));
}

bool endpoint_selector::MarkEnded(steady_time ended_at,
                                  endpoint_state& state,
                                  bool has_broken) {
  const double all = EstimatedLoad(ended_at, state);
  const bool is_counted_later =
      state.peer_load_at >= ended_at + kRefusedLoadTime;
  const double peers =
      has_broken || is_counted_later ? 0 : all - state.own_load;
  if (LoadFromBefore(ended_at, state) + peers < kNoLoad) {
    SetEnded(ended_at, state);
    return true;
  }
  const bool has_broken_before = state.refused && state.refused->has_broken &&
                                 ended_at < state.refused->at + kBreakTime;
  const bool is_full = all + kNoLoad >= state.report.slots;
  if (has_broken || (!has_broken_before && !is_full)) {
    state.refused = refusal{ended_at, has_broken};
  }
  return false;
}

void endpoint_selector::CheckRefusal(steady_time now, endpoint_state& state) {
  if (!state.refused || state.refused->has_broken) {
    return;
  }
  const steady_time refused_at = state.refused->at;
  if (now >= refused_at + kRefusedLoadTime) {
    state.refused.reset();
  } else if (LoadFromBefore(refused_at, state) + state.peer_load == 0) {
    SetEnded(refused_at, state);
    RecordOwnEnd(refused_at, state);
  }
}

void endpoint_selector::RecordEnded(steady_time now,
                                    const endpoint_start& start) {
  const auto found = endpoints_.find(start.endpoint);
  if (found != endpoints_.end() &&
      found->second.report.start_time_ms == start.start_time_ms &&
      MarkEnded(now, found->second, true)) {
    RecordOwnEnd(now, found->second);
  }
}

void endpoint_selector::RecordOwnEnd(steady_time now,
                                     const endpoint_state& state) {
  crashes_.RecordEnded(now, StartKey(StartOf(state)), state.report.service,
                       state.report.domain);
}

void endpoint_selector::RecordEndedByKey(steady_time now,
                                         uint64_t key,
                                         bool has_broken) {
  for (auto& [id, state] : endpoints_) {
    if (StartKey(StartOf(state)) == key) {
      MarkEnded(now, state, has_broken);
      return;
    }
  }
}

void endpoint_selector::ConfirmStart(steady_time received_at,
                                     const endpoint_start& start,
                                     steady_time started_at) {
  const auto found = endpoints_.find(start.endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  endpoint_state& state = found->second;
  const bool is_same = state.report.start_time_ms == start.start_time_ms;
  if (is_same && state.ended_at &&
      received_at >= *state.ended_at + kStaleReportWindow) {
    state.ended_at.reset();
  }
  const bool may_be_leaving =
      state.notice_at && started_at <= *state.notice_at &&
      received_at < *state.notice_at + kStaleReportWindow;
  state.is_ready = state.is_ready && !may_be_leaving;
}

void endpoint_selector::SetPeerLoad(steady_time now,
                                    const endpoint_id& endpoint,
                                    uint32_t peer_load) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.peer_load = peer_load;
    found->second.peer_load_at = now;
    CheckRefusal(now, found->second);
  }
}

void endpoint_selector::RecordLoad(steady_time now,
                                   const endpoint_id& endpoint,
                                   uint32_t running,
                                   uint32_t waiting) {
  const auto found = endpoints_.find(endpoint);
  const bool is_exchange_stopped =
      found != endpoints_.end() &&
      now > found->second.peer_load_at + kLoadExchangeTimeout;
  if (!is_exchange_stopped) {
    return;
  }
  const uint32_t total = running + waiting;
  const uint32_t own_load = found->second.own_load;
  found->second.peer_load = total > own_load ? total - own_load : 0;
  found->second.peer_load_at = now;
}

double endpoint_selector::EstimatedLoad(steady_time now,
                                        const endpoint_state& state) const {
  const duration age = now - state.peer_load_at;
  constexpr duration kFadeTime = kPeerLoadExpiry - kPeerLoadFresh;
  const duration faded =
      std::clamp<duration>(age - kPeerLoadFresh, duration(0), kFadeTime);
  const double share = 1.0 - static_cast<double>(faded.count()) /
                                 static_cast<double>(kFadeTime.count());
  return state.own_load + state.peer_load * share;
}

int endpoint_selector::FreeSlots(steady_time now,
                                 const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return 0;
  }
  return static_cast<int>(found->second.report.slots) -
         static_cast<int>(std::lround(EstimatedLoad(now, found->second)));
}

duration endpoint_selector::PeerLoadAge(steady_time now,
                                        const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? duration(0)
                                   : now - found->second.peer_load_at;
}

bool endpoint_selector::HasFreeSlots(steady_time now, uint32_t reserve) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& each) {
        const endpoint_state& state = each.second;
        return IsUsable(state) && limits_.MaySend(now, StartOf(state), true) &&
               EstimatedLoad(now, state) + 1 + reserve <= state.report.slots;
      });
}

bool endpoint_selector::IsUsable(const endpoint_state& state) const {
  return state.is_ready;
}

endpoint_start endpoint_selector::StartOf(const endpoint_state& state) {
  return {state.report.endpoint, state.report.start_time_ms};
}

bool endpoint_selector::HasVersion(
    const endpoint_state& state,
    const std::optional<std::string>& software_version) {
  return !software_version ||
         (!state.ended_at &&
          *software_version == state.report.software_version);
}

bool endpoint_selector::IsLastChoice(const endpoint_state& state,
                                     const selection_constraints& constraints) {
  return state.ended_at &&
         (constraints.prefers_known_version || !state.has_answered_since);
}

bool endpoint_selector::IsAllowed(
    const endpoint_state& state,
    const selection_constraints& constraints) const {
  const endpoint_id& id = state.report.endpoint;
  const bool is_within_limit =
      !constraints.is_limited_to_avoided || constraints.avoided.contains(id);
  return IsUsable(state) && HasVersion(state, constraints.software_version) &&
         !constraints.excluded.contains(id) && is_within_limit;
}

bool endpoint_selector::MayBegin(
    steady_time now,
    const selection_constraints& constraints) const {
  const request_traits* traits = constraints.traits;
  return traits == nullptr ||
         ((constraints.is_trial || !crashes_.IsBlocked(now, *traits)) &&
          !crashes_.IsHeldBack(now, *traits, constraints.is_repeat));
}

std::variant<selected_endpoint, selection_failure> endpoint_selector::Acquire(
    steady_time now,
    const service_id& service,
    const selection_constraints& constraints) {
  if (!MayBegin(now, constraints)) {
    return selection_failure::kPoison;
  }
  const auto found = by_service_.find(service);
  if (found == by_service_.end() || found->second.empty()) {
    return selection_failure::kNoEndpoint;
  }
  struct candidate {
    endpoint_state* state;
    double load;
    double weight;  // 0: all slots are taken.
  };
  std::vector<candidate> candidates;
  double total_weight = 0;
  endpoint_state* least_loaded_avoided = nullptr;
  double least_avoided_load = 0;
  endpoint_state* first_out_of_backoff = nullptr;
  endpoint_state* least_loaded_last_choice = nullptr;
  double least_last_choice_load = 0;
  size_t usable_count = 0;
  for (const endpoint_id& id : found->second) {
    endpoint_state& state = endpoints_.at(id);
    if (!IsAllowed(state, constraints)) {
      continue;
    }
    ++usable_count;
    const bool is_rate_limited = limits_.IsLimited(StartOf(state));
    if ((constraints.is_limited_rate_only && !is_rate_limited) ||
        !limits_.MaySend(now, StartOf(state), constraints.is_batch)) {
      continue;
    }
    const double slots = state.report.slots;
    const double load = EstimatedLoad(now, state);
    const double capacity = constraints.is_batch
                                ? slots - constraints.reserved_slots
                                : slots + options_.max_waiting;
    if (load + 1 > capacity) {
      continue;
    }
    if (constraints.avoided.contains(id)) {
      const bool is_less_loaded =
          least_loaded_avoided == nullptr || load < least_avoided_load;
      if (now >= state.backoff_until && is_less_loaded) {
        least_loaded_avoided = &state;
        least_avoided_load = load;
      }
      continue;
    }
    if (reachability_.IsInBackoff(now, state.report.domain) ||
        constraints.unreachable_domains.contains(state.report.domain)) {
      continue;
    }
    if (now < state.backoff_until) {
      const bool is_sooner =
          first_out_of_backoff == nullptr ||
          state.backoff_until < first_out_of_backoff->backoff_until;
      first_out_of_backoff = is_sooner ? &state : first_out_of_backoff;
      continue;
    }
    if (IsLastChoice(state, constraints)) {
      const bool is_less_loaded =
          least_loaded_last_choice == nullptr || load < least_last_choice_load;
      if (load + 1 <= slots && is_less_loaded) {
        least_loaded_last_choice = &state;
        least_last_choice_load = load;
      }
      continue;
    }
    const double free_share = std::max(slots - load, 0.0) / slots;
    const bool is_own_domain = state.report.domain == options_.domain;
    // If one domain is unreachable, this host may be partitioned from the
    // others as well.
    const double own_domain_factor = !is_own_domain ? 1
                                     : constraints.unreachable_domains.empty()
                                         ? kOwnDomainFactor
                                         : kIsolatedOwnDomainFactor;
    const double limited_factor =
        constraints.is_batch && is_rate_limited ? kBatchAtLimitedFactor : 1;
    const double weight = free_share * free_share * free_share *
                          own_domain_factor * limited_factor;
    total_weight += weight;
    candidates.push_back({&state, load, weight});
  }
  endpoint_state* selected = nullptr;
  if (total_weight > 0) {
    double remaining_weight = UniformUnit(random_) * total_weight;
    for (const candidate& each : candidates) {
      selected = each.weight > 0 ? each.state : selected;
      remaining_weight -= each.weight;
      if (remaining_weight < 0) {
        break;
      }
    }
  } else if (least_loaded_last_choice != nullptr) {
    selected = least_loaded_last_choice;
  } else if (!candidates.empty()) {
    selected = std::min_element(candidates.begin(), candidates.end(),
                                [](const candidate& a, const candidate& b) {
                                  return a.load < b.load;
                                })
                   ->state;
  } else if (least_loaded_avoided != nullptr) {
    selected = least_loaded_avoided;
  } else if (!constraints.is_batch) {
    // Online requests prefer an endpoint in backoff to being refused.
    selected = first_out_of_backoff;
  }
  if (selected == nullptr) {
    return usable_count == 0 ? selection_failure::kNoEndpoint
                             : selection_failure::kAllBusy;
  }
  limits_.RecordSent(now, StartOf(*selected));
  return Take(now, *selected);
}

selected_endpoint endpoint_selector::Take(steady_time now,
                                          endpoint_state& state) {
  ++state.own_load;
  state.begun_at.push_back(now);
  reachability_.RecordAttempt(now, state.report.domain);
  return selected_endpoint{state.report.endpoint,
                           {state.report.ip, state.report.port},
                           state.report.domain,
                           state.ended_at ? "" : state.report.software_version,
                           state.report.start_time_ms};
}

std::optional<selected_endpoint> endpoint_selector::AcquireGranted(
    steady_time now,
    const endpoint_id& endpoint,
    const selection_constraints& constraints) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || !MayBegin(now, constraints)) {
    return std::nullopt;
  }
  endpoint_state& state = found->second;
  const domain_id& domain = state.report.domain;
  const bool is_in_doubt = now < state.backoff_until ||
                           constraints.unreachable_domains.contains(domain) ||
                           reachability_.IsInBackoff(now, domain);
  if (is_in_doubt || !IsAllowed(state, constraints) ||
      IsLastChoice(state, constraints)) {
    return std::nullopt;
  }
  return Take(now, state);
}

std::vector<endpoint_id> endpoint_selector::TakeFailures() {
  return std::exchange(failures_, {});
}

std::vector<endpoint_id> endpoint_selector::EndpointsInBackoff(
    steady_time now,
    const service_id& service) const {
  std::vector<endpoint_id> in_backoff;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return in_backoff;
  }
  for (const endpoint_id& id : found->second) {
    if (now < endpoints_.at(id).backoff_until) {
      in_backoff.push_back(id);
    }
  }
  return in_backoff;
}

std::vector<endpoint_id> endpoint_selector::UnconfirmedEndpoints(
    const service_id& service) const {
  std::vector<endpoint_id> unconfirmed;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return unconfirmed;
  }
  for (const endpoint_id& id : found->second) {
    if (endpoints_.at(id).ended_at) {
      unconfirmed.push_back(id);
    }
  }
  return unconfirmed;
}

std::vector<domain_id> endpoint_selector::DomainsInBackoff(
    steady_time now,
    const service_id& service) const {
  std::set<domain_id> in_backoff;
  const auto found = by_service_.find(service);
  if (found != by_service_.end()) {
    for (const endpoint_id& id : found->second) {
      const domain_id& domain = endpoints_.at(id).report.domain;
      if (reachability_.IsInBackoff(now, domain)) {
        in_backoff.insert(domain);
      }
    }
  }
  return {in_backoff.begin(), in_backoff.end()};
}

void endpoint_selector::Release(steady_time now,
                                const endpoint_id& endpoint,
                                endpoint_outcome outcome) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  endpoint_state& state = found->second;
  state.own_load -= std::min<uint32_t>(state.own_load, 1);
  if (!state.begun_at.empty()) {
    state.begun_at.pop_front();
  }
  const bool has_responded = outcome != endpoint_outcome::kSilent &&
                             outcome != endpoint_outcome::kCancelled;
  if (has_responded) {
    reachability_.RecordResponse(state.report.domain);
  }
  const bool is_last_to_break = outcome == endpoint_outcome::kBroken &&
                                state.refused && state.refused->has_broken &&
                                now < state.refused->at + kBreakTime;
  const steady_time ended_at = is_last_to_break ? state.refused->at : now;
  if ((is_last_to_break || outcome == endpoint_outcome::kEnded) &&
      MarkEnded(ended_at, state, is_last_to_break)) {
    RecordOwnEnd(ended_at, state);
  }
  // An endpoint that leaves stops at some time: no fault.
  const bool is_leaving =
      leaving_.IsLeaving(endpoint, state.report.start_time_ms);
  if (is_leaving && outcome != endpoint_outcome::kOtherEndpoint) {
    outcome = endpoint_outcome::kCancelled;
  }
  switch (outcome) {
    case endpoint_outcome::kFailed:
      if (failures_.size() < kMaxFailures) {
        failures_.push_back(endpoint);
      }
      [[fallthrough]];
    case endpoint_outcome::kServed:
      state.failures = 0;
      state.has_answered_since = true;
      if (state.refused && !state.refused->has_broken) {
        state.refused.reset();
      }
      break;
    case endpoint_outcome::kShed:
      state.backoff_until =
          std::max(state.backoff_until, now + kBackoffAfterShed);
      break;
    case endpoint_outcome::kSilent:
      reachability_.RecordConnectTimeout(now, state.report.domain, endpoint);
      [[fallthrough]];
    case endpoint_outcome::kUnreachable:
    case endpoint_outcome::kEnded:
    case endpoint_outcome::kBroken: {
      const uint32_t doublings = std::min<uint32_t>(state.failures++, 4);
      const duration backoff = std::min<duration>(
          kInitialFailureBackoff * (1u << doublings), kMaxFailureBackoff);
      state.backoff_until = std::max(state.backoff_until, now + backoff);
      break;
    }
    case endpoint_outcome::kOtherEndpoint:
      Remove(endpoint);
      return;
    case endpoint_outcome::kCancelled:
      break;
  }
  const bool is_removed = !by_service_[state.report.service].contains(endpoint);
  if (is_removed && state.own_load == 0) {
    endpoints_.erase(found);
  }
}

endpoint_selector::slot_usage endpoint_selector::SlotUsage(
    steady_time now,
    const service_id& service,
    const std::optional<std::string>& software_version) const {
  slot_usage sum;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return sum;
  }
  for (const endpoint_id& id : found->second) {
    const endpoint_state& state = endpoints_.at(id);
    if (IsUsable(state) && HasVersion(state, software_version) &&
        now >= state.backoff_until && !limits_.IsLimited(StartOf(state))) {
      sum.slots += state.report.slots;
      sum.taken += std::min<uint32_t>(
          state.report.slots, static_cast<uint32_t>(EstimatedLoad(now, state)));
    }
  }
  return sum;
}

std::vector<std::pair<endpoint_id, uint32_t>> endpoint_selector::OwnLoad()
    const {
  std::vector<std::pair<endpoint_id, uint32_t>> loads;
  for (const auto& [id, state] : endpoints_) {
    if (state.own_load > 0) {
      loads.emplace_back(id, state.own_load);
    }
  }
  return loads;
}

uint32_t endpoint_selector::OwnLoad(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? 0 : found->second.own_load;
}

bool endpoint_selector::IsServing(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.is_ready;
}

bool endpoint_selector::HasEnded(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.ended_at;
}

bool endpoint_selector::IsVersionServing(
    const service_id& service,
    const std::string& software_version) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const endpoint_id& id) {
                       const endpoint_state& state = endpoints_.at(id);
                       return IsUsable(state) &&
                              HasVersion(state, software_version);
                     });
}

bool endpoint_selector::IsSameStart(const selected_endpoint& selected) const {
  const auto found = endpoints_.find(selected.endpoint);
  if (found == endpoints_.end()) {
    return true;
  }
  const endpoint_state& state = found->second;
  const bool has_ended_since =
      state.ended_at && !selected.software_version.empty();
  return state.report.start_time_ms == selected.start_time_ms &&
         !has_ended_since;
}

}  // namespace shallotport
