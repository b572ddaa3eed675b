#include "accounts/allotment_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "accounts/account_table.h"

namespace shallotport {

namespace {

// A busy account has so many requests here within a token's lifetime that it is
// worth to ask for tokens before they are needed.
constexpr double kBusyRequests = 2;
// Asks again when less than this part of the recent use is left.
constexpr double kRefillShare = 0.5;
// Between two requests for tokens ahead of need, for one account.
constexpr std::chrono::milliseconds kAheadInterval{50};
// Unused tokens are returned before they expire, so that others can have them.
constexpr std::chrono::milliseconds kReturnMargin{60};
// While an allotment is used up, requests are refused without asking for at
// most this long: tokens may be returned by other hosts at any time.
constexpr std::chrono::milliseconds kMaxRefusalTime{100};
// A token of the own share is valid for the time in which the burst fills, and
// for this long at least.
constexpr std::chrono::milliseconds kMinOwnValidity{1'000};
constexpr double kMaxLimit = 1e9;  // As of the ledger.

// An own share that is older than this when the leader is lost is not used.
// With one window, hosts that serve an account less often than that refuse
// requests below its limit; with no bound, the sum over hosts exceeds the
// limit.
constexpr double kOwnShareWindows = 1.5;
// Rates may be so small that the time between two tokens exceeds a duration.
constexpr std::chrono::hours kMaxInterval{24};

duration Seconds(double seconds) {
  const std::chrono::duration<double> most = kMaxInterval;
  return std::chrono::duration_cast<duration>(
      std::min(std::chrono::duration<double>(seconds), most));
}

uint32_t MillisecondsUntil(steady_time now, steady_time at) {
  const auto rest =
      std::chrono::ceil<std::chrono::milliseconds>(at - now).count();
  return static_cast<uint32_t>(std::max<int64_t>(rest, 1));
}

}  // namespace

void allotment_budget::Update(std::span<const account_rules> accounts) {
  std::map<uint64_t, account_state> updated;
  for (const account_rules& each : accounts) {
    if (!each.IsLimited()) {
      continue;
    }
    const uint64_t digest = AccountDigest(each.name);
    const auto known = accounts_.find(digest);
    const bool is_new = known == accounts_.end();
    account_state& state =
        updated
            .emplace(digest, is_new ? account_state(window_count(window_))
                                    : std::move(known->second))
            .first->second;
    state.per_second = each.requests_per_second;
    state.burst = std::max(each.burst, 1.0);
    if (is_new) {
      state.own_phase = UniformUnit(random_);
    }
    // Of a limit that has fallen.
    const std::chrono::duration<double> window = window_;
    const auto most = static_cast<uint32_t>(
        std::min(state.per_second * window.count() + state.burst, kMaxLimit));
    uint32_t kept = 0;
    for (lease& one : state.leases) {
      one.tokens = std::min(one.tokens, most - kept);
      kept += one.tokens;
    }
  }
  accounts_ = std::move(updated);
}

void allotment_budget::SetHostCount(steady_time now, uint32_t hosts) {
  std::erase_if(host_counts_, [&](const auto& each) {
    return each.first <= hosts || now >= each.second + kMissingTime;
  });
  host_counts_[hosts] = now;
}

uint32_t allotment_budget::HostCount() const {
  return host_counts_.empty() ? 1 : std::max(host_counts_.rbegin()->first, 1u);
}

void allotment_budget::Expire(steady_time now, account_state& state) {
  while (!state.leases.empty() && (state.leases.front().tokens == 0 ||
                                   now >= state.leases.front().expires_at)) {
    state.leases.pop_front();
  }
}

void allotment_budget::Decay(steady_time now, account_state& state) {
  const std::chrono::duration<double> age = now - state.recent_at;
  const std::chrono::duration<double> lifetime = kTokenLifetime;
  state.recent *= std::exp(-std::max(age / lifetime, 0.0));
  state.recent_at = now;
}

std::optional<allotment_verdict> allotment_budget::UseToken(
    steady_time now,
    account_state& state) {
  Expire(now, state);
  if (state.leases.empty()) {
    return std::nullopt;
  }
  state.sent.Add(now, 1);
  --state.leases.front().tokens;
  return allotment_verdict{allotment_decision::kAdmitted, 0,
                           state.leases.front().expires_at};
}

allotment_verdict allotment_budget::Admit(steady_time now, uint64_t account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return {};
  }
  account_state& state = found->second;
  if (const auto verdict = UseToken(now, state)) {
    Decay(now, state);
    state.recent += 1;
    return *verdict;
  }
  if (now < state.refused_until) {
    return {allotment_decision::kRefused,
            MillisecondsUntil(now, state.next_token_at),
            {}};
  }
  Decay(now, state);
  state.recent += 1;
  ++state.unasked;
  return {allotment_decision::kAsk, 0, {}};
}

duration allotment_budget::OwnInterval(const account_state& state) const {
  return Seconds(HostCount() / (OwnShare(state.per_second) * state.per_second));
}

// Tokens of the own share come at multiples of the interval, shifted by the
// host's phase. Those that were not used within their validity have expired.
steady_time allotment_budget::NextOwnToken(steady_time now,
                                           const account_state& state) const {
  const duration interval = std::max(OwnInterval(state), duration(1));
  const duration validity = std::max<duration>(
      Seconds(state.burst / state.per_second), kMinOwnValidity);
  const steady_time after = std::max(state.own_used_until, now - validity);
  const duration shift =
      std::chrono::duration_cast<duration>(interval * state.own_phase);
  const auto number = (after.time_since_epoch() - shift) / interval;
  return steady_time((number + 1) * interval + shift);
}

bool allotment_budget::HasOwnShare(const account_state& state) const {
  return state.own_share > 0 &&
         leader_heard_at_ <
             state.own_share_at +
                 kOwnShareWindows * std::chrono::duration<double>(window_);
}

duration allotment_budget::TimeUntilOwnToken(steady_time now,
                                             account_state& state) const {
  return HasOwnShare(state)
             ? state.sent_alone.TimeUntil(now, state.own_share - 1)
             : NextOwnToken(now, state) - now;
}

bool allotment_budget::TakeOwnToken(steady_time now, account_state& state) {
  if (HasOwnShare(state)) {
    return state.sent_alone.Sum(now) < state.own_share;
  }
  const steady_time next = NextOwnToken(now, state);
  if (next > now) {
    return false;
  }
  state.own_used_until = next;
  return true;
}

allotment_verdict allotment_budget::AdmitAsked(steady_time now,
                                               uint64_t account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return {};
  }
  account_state& state = found->second;
  if (const auto verdict = UseToken(now, state)) {
    return *verdict;
  }
  return {allotment_decision::kRefused,
          MillisecondsUntil(now, state.next_token_at),
          {}};
}

allotment_verdict allotment_budget::AdmitAlone(steady_time now,
                                               uint64_t account,
                                               bool is_leader_heard) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return {};
  }
  account_state& state = found->second;
  if (const auto verdict = UseToken(now, state)) {
    return *verdict;
  }
  if (now < state.busy_until) {
    return {allotment_decision::kRefused,
            MillisecondsUntil(now, now + kMaxRefusalTime),
            {}};
  }
  if (TakeOwnToken(now, state)) {
    state.sent.Add(now, 1);
    state.sent_alone.Add(now, 1);
    state.overdrawn += is_leader_heard ? 1 : 0;
    return {};
  }
  return {allotment_decision::kRefused,
          MillisecondsUntil(now, now + TimeUntilOwnToken(now, state)),
          {}};
}

void allotment_budget::Charge(steady_time now, uint64_t account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return;
  }
  account_state& state = found->second;
  if (!UseToken(now, state)) {
    state.sent.Add(now, 1);
    ++state.overdrawn;
  }
}

void allotment_budget::GiveBack(steady_time now,
                                uint64_t account,
                                const allotment_verdict& verdict) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || now >= verdict.token_expires_at) {
    return;
  }
  found->second.sent.Remove(now, 1);
  found->second.leases.push_front({1, verdict.token_expires_at});
}

void allotment_budget::ReportSent() {
  for (auto& [account, state] : accounts_) {
    state.is_sent_reported = false;
    // The new leader does not know of these tokens.
    state.leases.clear();
  }
}

void allotment_budget::SetBusy(steady_time now,
                               std::span<const uint64_t> accounts) {
  for (const uint64_t each : accounts) {
    const auto found = accounts_.find(each);
    if (found != accounts_.end()) {
      found->second.busy_until = now + window_;
    }
  }
}

std::vector<allotment_need> allotment_budget::Needs(steady_time now) {
  std::vector<allotment_need> needs;
  for (auto& [account, state] : accounts_) {
    allotment_need need;
    need.account = account;
    if (!std::exchange(state.is_sent_reported, true)) {
      need.sent = state.sent.CountsByAge(now);
      // Reported as sent.
      state.overdrawn = 0;
    }
    const bool is_idle = state.leases.empty() && state.unasked == 0 &&
                         state.overdrawn == 0 && need.sent.empty() &&
                         state.recent < kBusyRequests;
    if (is_idle) {
      continue;
    }
    Expire(now, state);
    Decay(now, state);
    uint32_t left = 0;
    for (lease& each : state.leases) {
      if (now + kReturnMargin >= each.expires_at) {
        need.returned += std::exchange(each.tokens, 0);
      }
      left += each.tokens;
    }
    need.waiting = std::exchange(state.unasked, 0);
    const uint32_t known = left + state.asked;
    const bool is_ahead =
        state.recent >= kBusyRequests && now >= state.refused_until &&
        now >= state.next_ahead_at && known < kRefillShare * state.recent;
    if (is_ahead) {
      const auto target = static_cast<uint32_t>(std::ceil(state.recent));
      need.ahead = target - std::min(target, known);
      state.next_ahead_at = now + kAheadInterval;
    }
    need.overdrawn = std::exchange(state.overdrawn, 0);
    if (need.waiting + need.ahead + need.returned + need.overdrawn > 0 ||
        !need.sent.empty()) {
      state.asked += need.waiting + need.ahead;
      needs.push_back(need);
    }
  }
  return needs;
}

void allotment_budget::Add(steady_time now,
                           steady_time asked_at,
                           const allotment_grant& grant) {
  const auto found = accounts_.find(grant.account);
  if (found == accounts_.end()) {
    return;
  }
  account_state& state = found->second;
  state.own_share = grant.own_share;
  state.own_share_at = now;
  if (grant.granted > 0) {
    state.leases.push_back({grant.granted, asked_at + kTokenLifetime});
  }
  if (grant.next_token_ms > 0) {
    const duration wait = std::chrono::milliseconds(grant.next_token_ms);
    state.next_token_at = now + wait;
    state.refused_until = now + std::min<duration>(wait, kMaxRefusalTime);
  }
}

void allotment_budget::EndCall(const std::vector<allotment_need>& needs,
                               bool has_answer) {
  for (const allotment_need& each : needs) {
    const auto found = accounts_.find(each.account);
    if (found != accounts_.end()) {
      account_state& state = found->second;
      state.asked -= std::min(state.asked, each.waiting + each.ahead);
      state.overdrawn += has_answer ? 0 : each.overdrawn;
      state.is_sent_reported =
          state.is_sent_reported && (has_answer || each.sent.empty());
    }
  }
}

uint32_t allotment_budget::TokenCount(steady_time now, uint64_t account) const {
  const auto found = accounts_.find(account);
  uint32_t count = 0;
  if (found != accounts_.end()) {
    for (const lease& each : found->second.leases) {
      count += now < each.expires_at ? each.tokens : 0;
    }
  }
  return count;
}

}  // namespace shallotport
