#include "entry/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace shallotport {

namespace {

// What others had at an endpoint holds for about half the time of a request,
// and says nothing after twice that time.
constexpr std::chrono::milliseconds kOthersFresh{400};
constexpr std::chrono::milliseconds kOthersKept{1'500};
// The hosts' own exchange is exact; an endpoint's word counts when it stops.
constexpr std::chrono::milliseconds kExchangeStopped{250};
// An endpoint that shed has no room for about one place's turnover.
constexpr std::chrono::milliseconds kAvoidAfterShed{60};
// Between tries at an endpoint that cannot be reached; doubled up to the
// longest with each failure in a row.
constexpr std::chrono::milliseconds kAvoidAfterFailure{250};
constexpr std::chrono::milliseconds kLongestAvoidance{4'000};
// At equal room, endpoints of the own failure domain are this much more likely:
// a cut between domains breaks the streams that cross it. With more, the own
// domain's endpoints fill up before the others are used.
constexpr double kOwnDomainFactor = 8;
constexpr double kCutOffFactor = 1'000;

}  // namespace

endpoint_selector::endpoint_selector(endpoint_selector_options options)
    : options_(std::move(options)), random_(options_.seed) {}

void endpoint_selector::Update(const endpoint_report& report) {
  endpoint_state& state = endpoints_[report.endpoint];
  const bool is_new_start = state.report.start_time_ms != report.start_time_ms;
  if (state.report.service != report.service) {
    by_service_[state.report.service].erase(report.endpoint);
  }
  state.report = report;
  state.is_listed = report.stage == endpoint_stage::kReady;
  if (is_new_start) {
    state.others = 0;
    state.failures = 0;
    state.avoid_until = {};
  }
  by_service_[report.service].insert(report.endpoint);
  if (report.stage == endpoint_stage::kLeft) {
    Remove(report.endpoint);
  }
}

void endpoint_selector::Remove(const endpoint_id& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  found->second.is_listed = false;
  by_service_[found->second.report.service].erase(endpoint);
  if (found->second.own == 0) {
    endpoints_.erase(found);
  }
}

void endpoint_selector::SetPeerLoad(steady_time now,
                                    const endpoint_id& endpoint,
                                    uint32_t others) {
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end()) {
    found->second.others = others;
    found->second.others_at = now;
  }
}

void endpoint_selector::RecordLoad(steady_time now,
                                   const endpoint_id& endpoint,
                                   uint32_t running,
                                   uint32_t waiting) {
  const auto found = endpoints_.find(endpoint);
  const bool is_wanted = found != endpoints_.end() &&
                         now > found->second.others_at + kExchangeStopped;
  if (!is_wanted) {
    return;
  }
  const uint32_t total = running + waiting;
  const uint32_t own = found->second.own;
  found->second.others = total > own ? total - own : 0;
  found->second.others_at = now;
}

double endpoint_selector::LoadOf(steady_time now,
                                 const endpoint_state& state) const {
  const duration age = now - state.others_at;
  constexpr duration kFade = kOthersKept - kOthersFresh;
  const duration faded =
      std::clamp<duration>(age - kOthersFresh, duration(0), kFade);
  const double share = 1.0 - static_cast<double>(faded.count()) /
                                 static_cast<double>(kFade.count());
  return state.own + state.others * share;
}

int endpoint_selector::FreeSlots(steady_time now,
                                 const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return 0;
  }
  return static_cast<int>(found->second.report.slots) -
         static_cast<int>(std::lround(LoadOf(now, found->second)));
}

duration endpoint_selector::LoadAge(steady_time now,
                                    const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? duration(0)
                                   : now - found->second.others_at;
}

bool endpoint_selector::HasFreeSlots(steady_time now, uint32_t reserve) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(), [&](const auto& each) {
        const endpoint_state& state = each.second;
        return IsUsable(state) &&
               LoadOf(now, state) + 1 + reserve <= state.report.slots;
      });
}

bool endpoint_selector::IsUsable(const endpoint_state& state) const {
  return state.is_listed;
}

std::variant<selected_endpoint, selection_failure> endpoint_selector::Acquire(
    steady_time now,
    const service_id& service,
    const selection_constraints& wish) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end() || found->second.empty()) {
    return selection_failure::kNoEndpoint;
  }
  struct candidate {
    endpoint_state* state;
    double load;
    double weight;  // 0: all places are taken.
  };
  std::vector<candidate> candidates;
  double weights = 0;
  endpoint_state* avoided = nullptr;  // The one to be tried again soonest.
  size_t usable = 0;
  for (const endpoint_id& id : found->second) {
    endpoint_state& state = endpoints_.at(id);
    if (!IsUsable(state) || wish.excluded.contains(id)) {
      continue;
    }
    ++usable;
    if (domains_.IsAvoided(now, state.report.domain) ||
        wish.unreachable_domains.contains(state.report.domain)) {
      continue;
    }
    const double slots = state.report.slots;
    const double load = LoadOf(now, state);
    const double room = wish.reserved_slots > 0 ? slots - wish.reserved_slots
                                                : slots + options_.max_waiting;
    if (load + 1 > room) {
      continue;
    }
    if (now < state.avoid_until) {
      const bool is_sooner =
          avoided == nullptr || state.avoid_until < avoided->avoid_until;
      avoided = is_sooner ? &state : avoided;
      continue;
    }
    const double free = std::max(slots - load, 0.0) / slots;
    const bool is_own = state.report.domain == options_.domain;
    // After one silent domain others may be cut off as well.
    const double own_factor = !is_own ? 1
                              : wish.unreachable_domains.empty()
                                  ? kOwnDomainFactor
                                  : kCutOffFactor;
    const double weight = free * free * free * own_factor;
    weights += weight;
    candidates.push_back({&state, load, weight});
  }
  endpoint_state* best = nullptr;
  if (weights > 0) {
    double drawn = UniformUnit(random_) * weights;
    for (const candidate& each : candidates) {
      best = each.weight > 0 ? each.state : best;
      drawn -= each.weight;
      if (drawn < 0) {
        break;
      }
    }
  } else if (!candidates.empty()) {
    best = std::min_element(candidates.begin(), candidates.end(),
                            [](const candidate& a, const candidate& b) {
                              return a.load < b.load;
                            })
               ->state;
  } else if (wish.reserved_slots == 0) {
    // Online requests go to an endpoint that failed lately rather than nowhere.
    best = avoided;
  }
  if (best == nullptr) {
    return usable == 0 ? selection_failure::kNoEndpoint
                       : selection_failure::kAllBusy;
  }
  ++best->own;
  domains_.NoteTry(now, best->report.domain);
  return selected_endpoint{best->report.endpoint,
                           {best->report.ip, best->report.port},
                           best->report.domain};
}

void endpoint_selector::Release(steady_time now,
                                const endpoint_id& endpoint,
                                endpoint_outcome how) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  endpoint_state& state = found->second;
  state.own -= std::min<uint32_t>(state.own, 1);
  const bool has_answered =
      how != endpoint_outcome::kSilent && how != endpoint_outcome::kCancelled;
  if (has_answered) {
    domains_.NoteAnswer(state.report.domain);
  }
  switch (how) {
    case endpoint_outcome::kServed:
      state.failures = 0;
      break;
    case endpoint_outcome::kShed:
      state.avoid_until = std::max(state.avoid_until, now + kAvoidAfterShed);
      break;
    case endpoint_outcome::kSilent:
      domains_.NoteSilence(now, state.report.domain, endpoint);
      [[fallthrough]];
    case endpoint_outcome::kUnreachable:
    case endpoint_outcome::kBroken: {
      const uint32_t doublings = std::min<uint32_t>(state.failures++, 4);
      const duration pause = std::min<duration>(
          kAvoidAfterFailure * (1u << doublings), kLongestAvoidance);
      state.avoid_until = std::max(state.avoid_until, now + pause);
      break;
    }
    case endpoint_outcome::kOtherEndpoint:
      Remove(endpoint);
      return;
    case endpoint_outcome::kCancelled:
      break;
  }
  const bool is_removed = !by_service_[state.report.service].contains(endpoint);
  if (is_removed && state.own == 0) {
    endpoints_.erase(found);
  }
}

endpoint_selector::slot_usage endpoint_selector::SlotUsage(
    steady_time now,
    const service_id& service) const {
  slot_usage sum;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return sum;
  }
  for (const endpoint_id& id : found->second) {
    const endpoint_state& state = endpoints_.at(id);
    if (IsUsable(state) && now >= state.avoid_until) {
      sum.places += state.report.slots;
      sum.taken += std::min<uint32_t>(
          state.report.slots, static_cast<uint32_t>(LoadOf(now, state)));
    }
  }
  return sum;
}

std::vector<std::pair<endpoint_id, uint32_t>> endpoint_selector::OwnLoad()
    const {
  std::vector<std::pair<endpoint_id, uint32_t>> loads;
  for (const auto& [id, state] : endpoints_) {
    if (state.own > 0) {
      loads.emplace_back(id, state.own);
    }
  }
  return loads;
}

bool endpoint_selector::IsServing(const endpoint_id& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.is_listed;
}

}  // namespace shallotport
