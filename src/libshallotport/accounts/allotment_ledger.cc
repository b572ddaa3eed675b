#include "accounts/allotment_ledger.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

#include "accounts/account_table.h"

namespace shallotport {

namespace {

// A host may return tokens for this long after it was granted them; includes
// the time that the message takes.
constexpr std::chrono::milliseconds kReturnTime = 2 * kTokenLifetime;
// A host that is not heard of for this long decides by itself.
constexpr std::chrono::milliseconds kHostTimeout{800};
// Of what is left beyond half of the allotment, the most that one host gets for
// requests that are only expected, so that others find tokens for requests that
// wait.
constexpr double kMaxShareOfRest = 0.25;
// An account that has used this part of its allotment is busy.
constexpr double kBusyShare = 0.5;
constexpr double kMaxLimit = 1e9;
// Tokens of an account without a limit, for one reply.
constexpr uint32_t kMaxUncounted = 1'000'000'000;

}  // namespace

allotment_ledger::allotment_ledger(duration window)
    : window_(window + kTokenLifetime) {}

void allotment_ledger::Update(std::span<const account_rules> accounts) {
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
            .emplace(digest, is_new ? account_state{0, 0, window_count(window_)}
                                    : std::move(known->second))
            .first->second;
    for (auto at = inherited_.lower_bound({digest, 0});
         is_new && at != inherited_.end() && at->first.first == digest; ++at) {
      state.granted.AddCounts(at->second);
    }
    state.per_second = each.requests_per_second;
    state.burst = each.burst;
  }
  accounts_ = std::move(updated);
  const auto is_gone = [this](const auto& each) {
    return !accounts_.contains(each.first.first);
  };
  std::erase_if(held_, is_gone);
  std::erase_if(used_, is_gone);
}

void allotment_ledger::Clear() {
  held_.clear();
  used_.clear();
  inherited_.clear();
  reported_.clear();
  unrecorded_.clear();
  heard_at_.clear();
  for (auto& [account, each] : accounts_) {
    each.granted = window_count(window_);
  }
}

void allotment_ledger::Tick(steady_time now, uint32_t host_count) {
  std::erase_if(heard_at_, [now](const auto& each) {
    return now >= each.second + kMissingTime;
  });
  std::erase_if(held_, [now](const auto& each) {
    return each.second.empty() || now > each.second.back().at + kReturnTime;
  });
  for (std::map<holder, window_count>* counts : {&used_, &inherited_}) {
    for (auto at = counts->begin(); at != counts->end();) {
      at = at->second.Sum(now) == 0 ? counts->erase(at) : std::next(at);
    }
  }
  std::erase_if(reported_,
                [this](const holder& each) { return !used_.contains(each); });
  const auto heard = static_cast<size_t>(std::count_if(
      heard_at_.begin(), heard_at_.end(),
      [now](const auto& at) { return now < at.second + kHostTimeout; }));
  const size_t hosts = std::max<size_t>(heard_at_.size(), host_count);
  const double missing = hosts == 0 ? 0
                                    : static_cast<double>(hosts - heard) /
                                          static_cast<double>(hosts);
  missing_ = missing;
}

uint32_t allotment_ledger::Limit(const account_state& of) const {
  const std::chrono::duration<double> window = window_ - kTokenLifetime;
  const double limit = of.per_second * window.count() + of.burst;
  const double share = 1 - OwnShare(of.per_second) * missing_;
  return static_cast<uint32_t>(
      std::max(1.0, std::floor(std::min(limit * share, kMaxLimit))));
}

uint32_t allotment_ledger::TakeReturned(steady_time now,
                                        const holder& of,
                                        uint32_t returned) {
  const auto found = held_.find(of);
  if (found == held_.end()) {
    return 0;
  }
  std::deque<held_grant>& grants = found->second;
  while (!grants.empty() && now > grants.front().at + kReturnTime) {
    grants.pop_front();
  }
  uint32_t rest = returned;
  for (held_grant& each : grants) {
    const uint32_t taken = std::min(rest, each.tokens);
    each.tokens -= taken;
    rest -= taken;
  }
  return returned - rest;
}

void allotment_ledger::Inherit(steady_time now, const grant_record& record) {
  const steady_time at = now - std::chrono::milliseconds(record.age_ms);
  for (const granted_tokens& each : record.grants) {
    const holder by{each.account, each.host_start};
    if (reported_.contains(by)) {
      continue;
    }
    window_count& counts = inherited_.try_emplace(by, window_).first->second;
    const auto found = accounts_.find(each.account);
    if (found != accounts_.end()) {
      found->second.granted.RemoveCounts(counts);
    }
    const auto tokens =
        static_cast<uint32_t>(std::abs(static_cast<int64_t>(each.tokens)));
    if (each.tokens >= 0) {
      counts.Add(at, tokens);
    } else {
      counts.Remove(at, tokens);
    }
    if (found != accounts_.end()) {
      found->second.granted.AddCounts(counts);
    }
  }
}

std::vector<granted_tokens> allotment_ledger::TakeUnrecorded() {
  constexpr int64_t kMost = std::numeric_limits<int32_t>::max();
  std::vector<granted_tokens> grants;
  for (const auto& [by, tokens] : unrecorded_) {
    if (tokens != 0) {
      grants.push_back(
          {by.first, by.second,
           static_cast<int32_t>(std::clamp(tokens, -kMost, kMost))});
    }
  }
  unrecorded_.clear();
  return grants;
}

void allotment_ledger::CountSent(steady_time now,
                                 const holder& by,
                                 std::span<const uint32_t> sent) {
  if (sent.empty()) {
    return;
  }
  window_count& granted = accounts_.at(by.first).granted;
  window_count reported(window_);
  reported.AddByAge(now, sent);
  uint32_t known = 0;
  const auto inherited = inherited_.find(by);
  if (reported_.insert(by).second && inherited != inherited_.end()) {
    known = inherited->second.Sum(now);
    granted.RemoveCounts(inherited->second);
    inherited_.erase(inherited);
  }
  granted.AddCounts(reported);
  used_.at(by).AddCounts(reported);
  const uint32_t all = reported.Sum(now);
  unrecorded_[by] += all - std::min(all, known);
}

allotment_grant allotment_ledger::Take(steady_time now,
                                       const host_start& host,
                                       const allotment_need& need) {
  RecordHost(now, host.host);
  allotment_grant grant;
  grant.account = need.account;
  const auto found = accounts_.find(need.account);
  if (found == accounts_.end()) {
    // Its limit has ended here; the host may not have heard of it yet.
    const uint64_t asked = uint64_t{need.waiting} + need.ahead;
    grant.granted =
        static_cast<uint32_t>(std::min<uint64_t>(asked, kMaxUncounted));
    return grant;
  }
  account_state& from = found->second;
  const holder by{need.account, host.Key()};
  window_count& used = used_.try_emplace(by, window_).first->second;
  CountSent(now, by, need.sent);
  const uint32_t returned = TakeReturned(now, by, need.returned);
  from.granted.Remove(now, returned);
  used.Remove(now, returned);
  // An account does not pay for longer than a window for requests that were
  // sent without a token.
  const uint32_t overdrawn = std::min(need.overdrawn, Limit(from));
  from.granted.Add(now, overdrawn);
  const uint32_t left = Available(now, need.account);
  const uint32_t waiting = std::min(need.waiting, left);
  const uint32_t rest = left - waiting;
  const uint32_t kept = Limit(from) / 2;
  const auto most_ahead =
      static_cast<uint32_t>((rest - std::min(rest, kept)) * kMaxShareOfRest);
  grant.granted = waiting + std::min(need.ahead, most_ahead);
  from.granted.Add(now, grant.granted);
  used.Add(now, overdrawn + grant.granted);
  granted_ += grant.granted;
  unrecorded_[by] += int64_t{overdrawn} + grant.granted - returned;
  if (grant.granted > 0) {
    held_[by].push_back({now, grant.granted});
  }
  if (grant.granted < need.waiting) {
    refused_ += need.waiting - grant.granted;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        from.granted.TimeUntil(now, Limit(from) - 1));
    grant.next_token_ms =
        static_cast<uint32_t>(std::max<int64_t>(wait.count(), 1));
  }
  grant.own_share = OwnShareOf(now, by);
  return grant;
}

uint32_t allotment_ledger::OwnShareOf(steady_time now, const holder& of) {
  account_state& state = accounts_.at(of.first);
  const uint32_t used = used_.at(of).Sum(now);
  const uint32_t all = state.granted.Sum(now);
  if (used == 0 || all == 0) {
    return 0;
  }
  const double share = OwnShare(state.per_second) * Limit(state) * used / all;
  return std::max(static_cast<uint32_t>(share), 1u);
}

void allotment_ledger::RecordHost(steady_time now, const std::string& host) {
  heard_at_[host] = now;
}

std::vector<uint64_t> allotment_ledger::BusyAccounts(steady_time now) {
  std::vector<uint64_t> busy;
  for (auto& [account, state] : accounts_) {
    if (state.granted.Sum(now) >= kBusyShare * Limit(state)) {
      busy.push_back(account);
    }
  }
  return busy;
}

uint32_t allotment_ledger::Available(steady_time now, uint64_t account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return 0;
  }
  const uint32_t limit = Limit(found->second);
  return limit - std::min(limit, found->second.granted.Sum(now));
}

}  // namespace shallotport
