#include "ratelimits/endpoint_limits.h"

#include <algorithm>
#include <cmath>

namespace shallotport {

namespace {

constexpr size_t kMaxEndpoints = 4'096;
// An endpoint that names less gets this much: only its answers tell that its
// limit has ended.
constexpr double kMinPerSecond = 0.2;
// Above any engine's rate.
constexpr double kMaxPerSecond = 1e6;
// What accumulates while nothing is sent, as requests of this time.
constexpr double kMaxAccumulatedSeconds = 2;
constexpr double kMinCapacity = 1;
// Of the capacity, kept for online requests.
constexpr double kOnlineShare = 0.5;
// Hosts have heard of an ended limit within this time.
constexpr std::chrono::seconds kEndedLifetime{30};
// An endpoint that nobody had an answer of for so long has ended.
constexpr std::chrono::minutes kLimitLifetime{10};
// Two records of the same limit.
constexpr double kTolerance = 0.01;

bool IsSame(const limit_record& a, const limit_record& b) {
  return a.start == b.start && a.is_limited == b.is_limited &&
         std::abs(a.per_second - b.per_second) <= kTolerance * a.per_second;
}

}  // namespace

bool endpoint_limits::RecordAnswer(steady_time now,
                                   const endpoint_start& start,
                                   std::optional<double> per_second) {
  return Apply(start, now, per_second);
}

bool endpoint_limits::Apply(const endpoint_start& start,
                            steady_time heard_at,
                            std::optional<double> per_second) {
  const auto found = limits_.find(start.endpoint);
  if (found == limits_.end()) {
    if (!per_second) {
      return false;
    }
    if (limits_.size() >= kMaxEndpoints) {
      RemoveOldest();
    }
  } else {
    const limit_state& known = found->second;
    if (known.start_time_ms > start.start_time_ms ||
        (known.start_time_ms == start.start_time_ms &&
         known.heard_at > heard_at)) {
      return false;
    }
  }
  limit_state& state = limits_[start.endpoint];
  const bool is_new_start =
      found == limits_.end() || state.start_time_ms != start.start_time_ms;
  const bool was_limited = state.is_limited && !is_new_start;
  const double limit =
      std::clamp(per_second.value_or(0), kMinPerSecond, kMaxPerSecond);
  const bool is_changed =
      per_second ? !was_limited || std::abs(limit - state.per_second) >
                                       kTolerance * state.per_second
                 : was_limited;
  state.start_time_ms = start.start_time_ms;
  state.heard_at = heard_at;
  state.is_limited = per_second.has_value();
  state.per_second = state.is_limited ? limit : 0;
  if (state.is_limited && !was_limited) {
    // Requests that are under way count as well.
    state.available = 0;
    state.filled_at = heard_at;
  }
  change_count_ += is_changed ? 1 : 0;
  return is_changed;
}

bool endpoint_limits::Merge(steady_time now,
                            const std::vector<limit_record>& records) {
  bool is_changed = false;
  for (const limit_record& each : records) {
    const steady_time heard_at = now - std::chrono::milliseconds(each.age_ms);
    const auto limit =
        each.is_limited ? std::optional(each.per_second) : std::nullopt;
    is_changed = Apply(each.start, heard_at, limit) || is_changed;
  }
  return is_changed;
}

void endpoint_limits::SetShare(steady_time now, double share) {
  if (share == share_) {
    return;
  }
  for (auto& [id, state] : limits_) {
    state.available = share > share_ ? 0 : Available(now, state);
    state.filled_at = now;
  }
  share_ = share;
}

const endpoint_limits::limit_state* endpoint_limits::Find(
    const endpoint_start& start) const {
  const auto found = limits_.find(start.endpoint);
  const bool is_limited = found != limits_.end() && found->second.is_limited &&
                          found->second.start_time_ms == start.start_time_ms;
  return is_limited ? &found->second : nullptr;
}

double endpoint_limits::Capacity(const limit_state& state) const {
  return std::max(kMinCapacity,
                  state.per_second * share_ * kMaxAccumulatedSeconds);
}

double endpoint_limits::Available(steady_time now,
                                  const limit_state& state) const {
  const std::chrono::duration<double> elapsed = now - state.filled_at;
  return std::min(Capacity(state),
                  state.available + std::max(elapsed.count(), 0.0) *
                                        state.per_second * share_);
}

bool endpoint_limits::IsLimited(const endpoint_start& start) const {
  return Find(start) != nullptr;
}

bool endpoint_limits::MaySend(steady_time now,
                              const endpoint_start& start,
                              bool is_batch) const {
  const limit_state* state = Find(start);
  if (state == nullptr) {
    return true;
  }
  const double kept = is_batch ? kOnlineShare * (Capacity(*state) - 1) : 0;
  return share_ > 0 && Available(now, *state) >= 1 + kept;
}

void endpoint_limits::RecordSent(steady_time now, const endpoint_start& start) {
  if (Find(start) == nullptr) {
    return;
  }
  limit_state& state = limits_.at(start.endpoint);
  state.available = Available(now, state) - 1;
  state.filled_at = now;
}

std::optional<duration> endpoint_limits::WaitFor(
    steady_time now,
    const endpoint_start& start) const {
  const limit_state* state = Find(start);
  if (state == nullptr) {
    return duration(0);
  }
  if (share_ <= 0) {
    return std::nullopt;
  }
  const double missing = std::max(1 - Available(now, *state), 0.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / (state->per_second * share_)));
}

double endpoint_limits::PerSecond(const endpoint_start& start) const {
  const limit_state* state = Find(start);
  return state == nullptr ? 0 : state->per_second;
}

std::vector<limit_record> endpoint_limits::Records(steady_time now) const {
  std::vector<limit_record> records;
  for (const auto& [id, state] : limits_) {
    const duration lifetime =
        state.is_limited ? duration(kLimitLifetime) : duration(kEndedLifetime);
    if (now > state.heard_at + lifetime) {
      continue;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - state.heard_at);
    records.push_back(
        {{id, state.start_time_ms},
         state.is_limited,
         state.per_second,
         static_cast<uint32_t>(std::max<int64_t>(age.count(), 0))});
  }
  return records;
}

std::vector<limit_record> endpoint_limits::NewerThan(
    steady_time now,
    const std::vector<limit_record>& known) const {
  std::map<endpoint_id, const limit_record*> by_endpoint;
  for (const limit_record& each : known) {
    by_endpoint[each.start.endpoint] = &each;
  }
  std::vector<limit_record> newer;
  for (const limit_record& own : Records(now)) {
    const auto found = by_endpoint.find(own.start.endpoint);
    const bool is_unknown = found == by_endpoint.end();
    if (is_unknown ? own.is_limited
                   : !IsSame(own, *found->second) &&
                         own.age_ms < found->second->age_ms) {
      newer.push_back(own);
    }
  }
  return newer;
}

size_t endpoint_limits::limited_count() const {
  return static_cast<size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [](const auto& each) { return each.second.is_limited; }));
}

void endpoint_limits::RemoveOldest() {
  const auto oldest = std::min_element(
      limits_.begin(), limits_.end(), [](const auto& a, const auto& b) {
        return a.second.heard_at < b.second.heard_at;
      });
  if (oldest != limits_.end()) {
    limits_.erase(oldest);
  }
}

}  // namespace shallotport
