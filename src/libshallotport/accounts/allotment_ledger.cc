#include "accounts/allotment_ledger.h"

#include <algorithm>
#include <cmath>

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
    account_state& state =
        updated
            .emplace(digest, known == accounts_.end()
                                 ? account_state{0, 0, window_count(window_)}
                                 : std::move(known->second))
            .first->second;
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
  for (auto at = used_.begin(); at != used_.end();) {
    at = at->second.Sum(now) == 0 ? used_.erase(at) : std::next(at);
  }
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
                                        const std::string& host,
                                        const allotment_need& need) {
  const auto found = held_.find({need.account, host});
  if (found == held_.end()) {
    return 0;
  }
  std::deque<grant_record>& grants = found->second;
  while (!grants.empty() && now > grants.front().at + kReturnTime) {
    grants.pop_front();
  }
  uint32_t rest = need.returned;
  for (grant_record& each : grants) {
    const uint32_t taken = std::min(rest, each.tokens);
    each.tokens -= taken;
    rest -= taken;
  }
  return need.returned - rest;
}

allotment_grant allotment_ledger::Take(steady_time now,
                                       const std::string& host,
                                       const allotment_need& need) {
  RecordHost(now, host);
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
  const holder by{need.account, host};
  window_count& used = used_.try_emplace(by, window_).first->second;
  const uint32_t returned = TakeReturned(now, host, need);
  for (window_count* each : {&from.granted, &used}) {
    each->AddByAge(now, need.sent);
    each->Remove(now, returned);
  }
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
  if (grant.granted > 0) {
    held_[{need.account, host}].push_back({now, grant.granted});
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
