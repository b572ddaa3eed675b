#include "accounts/allotment_ledger.h"

#include <algorithm>
#include <cmath>

#include "accounts/account_table.h"
#include "accounts/allotment_terms.h"

namespace shallotport {

namespace {

// A host may return tokens for this long after it was granted them; includes
// the time that the message takes.
constexpr std::chrono::milliseconds kReturnTime = 2 * kTokenLifetime;
// A host that is not heard of for this long decides by itself.
constexpr std::chrono::milliseconds kHostTimeout{800};
// Of what is left, the most that one host gets for requests that are only
// expected, so that others find tokens for requests that wait.
constexpr double kMaxShareOfRest = 0.25;
constexpr uint32_t kMaxNextTokenMs = 60'000;

double Capacity(const account_rules& account) {
  return std::max(account.burst, 1.0);
}

}  // namespace

void allotment_ledger::Update(steady_time now,
                              std::span<const account_rules> accounts) {
  std::map<uint64_t, bucket> updated;
  for (const account_rules& each : accounts) {
    if (!each.IsLimited()) {
      continue;
    }
    const uint64_t digest = AccountDigest(each.name);
    const auto known = buckets_.find(digest);
    bucket& to = updated[digest];
    to.per_second = each.requests_per_second;
    to.capacity = Capacity(each);
    // What was sent while the account had no limit is not known.
    const double initial = is_configured_ ? to.capacity : 0;
    to.level = std::min(
        known == buckets_.end() ? initial : LevelOf(known->second, now),
        to.capacity);
    to.filled_at = now;
  }
  buckets_ = std::move(updated);
  is_configured_ = is_configured_ || !accounts.empty();
  std::erase_if(held_, [this](const auto& each) {
    return !buckets_.contains(each.first.first);
  });
}

void allotment_ledger::Clear(steady_time now) {
  held_.clear();
  heard_at_.clear();
  for (auto& [account, each] : buckets_) {
    each.level = 0;
    each.filled_at = now;
  }
}

void allotment_ledger::Tick(steady_time now, uint32_t host_count) {
  std::erase_if(heard_at_, [now](const auto& each) {
    return now >= each.second + kMissingTime;
  });
  std::erase_if(held_, [now](const auto& each) {
    return each.second.empty() || now > each.second.back().at + kReturnTime;
  });
  const auto heard = static_cast<size_t>(std::count_if(
      heard_at_.begin(), heard_at_.end(),
      [now](const auto& at) { return now < at.second + kHostTimeout; }));
  const size_t hosts = std::max<size_t>(heard_at_.size(), host_count);
  const double missing = hosts == 0 ? 0
                                    : static_cast<double>(hosts - heard) /
                                          static_cast<double>(hosts);
  SetShare(now, 1 - kOwnShare * missing);
}

void allotment_ledger::SetShare(steady_time now, double share) {
  if (share == share_) {
    return;
  }
  for (auto& [account, each] : buckets_) {
    each.level = LevelOf(each, now);
    each.filled_at = now;
  }
  share_ = share;
}

double allotment_ledger::LevelOf(const bucket& of, steady_time now) const {
  const std::chrono::duration<double> elapsed = now - of.filled_at;
  return std::min(of.capacity, of.level + std::max(elapsed.count(), 0.0) *
                                              of.per_second * share_);
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
  const auto found = buckets_.find(need.account);
  if (found == buckets_.end()) {
    // Its limit has ended here; the host may not have heard of it yet.
    grant.granted = need.waiting + need.ahead;
    return grant;
  }
  bucket& from = found->second;
  from.level = LevelOf(from, now);
  from.filled_at = now;
  from.level =
      std::min(from.capacity, from.level + TakeReturned(now, host, need)) -
      need.overdrawn;
  // Bounds the time for which an account pays for requests without a token.
  from.level = std::max(from.level, -from.capacity);
  const double whole = std::floor(std::max(from.level, 0.0));
  const double waiting = std::min<double>(need.waiting, whole);
  const double ahead = std::min<double>(
      need.ahead, std::floor((whole - waiting) * kMaxShareOfRest));
  grant.granted = static_cast<uint32_t>(waiting + ahead);
  from.level -= grant.granted;
  granted_ += grant.granted;
  if (grant.granted > 0) {
    held_[{need.account, host}].push_back({now, grant.granted});
  }
  if (grant.granted < need.waiting) {
    refused_ += need.waiting - grant.granted;
    const double wait_ms =
        std::ceil(std::max(1 - from.level, 0.0) / from.per_second * 1e3);
    grant.next_token_ms =
        std::max(1u, static_cast<uint32_t>(std::min<double>(
                         wait_ms, static_cast<double>(kMaxNextTokenMs))));
  }
  return grant;
}

void allotment_ledger::RecordHost(steady_time now, const std::string& host) {
  heard_at_[host] = now;
}

double allotment_ledger::Available(steady_time now, uint64_t account) const {
  const auto found = buckets_.find(account);
  return found == buckets_.end() ? 0 : LevelOf(found->second, now);
}

}  // namespace shallotport
