#include "routing/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{10};
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{200};
// Peers asked for a loan in each period for one account, besides those whose
// loans are in force.
constexpr size_t kRequestedPeersPerPeriod = 3;
// Upper limit of the needs that one host sends in a period, over all peers and
// accounts.
constexpr size_t kMaxNeedsPerPeriod = 40;
// Rate in requests per second below which a need is not worth a message.
constexpr double kMinNeededRate = 0.5;

bool IsWorthRequesting(const limit_amount& need) {
  return need.rate >= kMinNeededRate || need.concurrency >= 1;
}

}  // namespace

account_limiter::account_limiter(host_id self, incarnation started)
    : self_(std::move(self)), started_(started) {}

void account_limiter::SetConfiguration(const configuration& settings) {
  std::unordered_map<account_id, limited_account> next;
  for (const account_configuration& account : settings.accounts) {
    limited_account entry;
    const auto known = accounts_.find(account.id);
    if (known != accounts_.end()) {
      entry = std::move(known->second);
    }
    entry.id = account.id;
    entry.limit = {static_cast<double>(account.requests_per_second),
                   static_cast<double>(account.concurrent_requests)};
    entry.hash = HashOf(account.id.text());
    next.emplace(account.id, std::move(entry));
  }
  accounts_ = std::move(next);
  accounts_by_hash_.clear();
  for (auto& [id, account] : accounts_) {
    accounts_by_hash_[account.hash] = &account;
  }
  std::erase_if(active_accounts_, [this](const account_id& id) {
    return !accounts_.contains(id);
  });
}

void account_limiter::SetHosts(std::span<const host_id> hosts) {
  std::vector<peer_state> next;
  for (const host_id& host : hosts) {
    if (host == self_) {
      continue;
    }
    peer_state* known = FindPeer(host);
    next.push_back(known == nullptr ? peer_state{host, 0, 0, {}}
                                    : std::move(*known));
  }
  peers_ = std::move(next);
}

account_limiter::peer_state* account_limiter::FindPeer(const host_id& id) {
  for (peer_state& peer : peers_) {
    if (peer.id == id) {
      return &peer;
    }
  }
  return nullptr;
}

limit_amount account_limiter::BaseShare(const limited_account& account) const {
  const double hosts = static_cast<double>(peers_.size() + 1);
  return {account.limit.rate / hosts, account.limit.concurrency / hosts};
}

account_share& account_limiter::RefreshShare(steady_time now,
                                             limited_account& account) {
  if (!loans_unknown_until_) {
    loans_unknown_until_ =
        peers_.empty() ? now : now + account_share::kLenderLoanDuration;
  }
  if (!account.share) {
    active_accounts_.push_back(account.id);
    account.share.emplace(BaseShare(account), now, *loans_unknown_until_);
  }
  account.share->SetBase(now, BaseShare(account));
  return *account.share;
}

status account_limiter::Acquire(steady_time now, const account_id& account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return success{};
  }
  account_share& share = RefreshShare(now, found->second);
  if (share.TryAcquire(now)) {
    return success{};
  }
  ++refused_requests_;
  const duration wait = share.TimeToNextToken(now);
  if (wait.count() == 0) {
    return error{error_kind::kOverLimit, "too many concurrent requests",
                 kConcurrencyRetryAfter};
  }
  return error{error_kind::kOverLimit, "request rate above the limit",
               std::max(kMinRetryAfter,
                        std::chrono::ceil<std::chrono::milliseconds>(wait))};
}

void account_limiter::Release(const account_id& account) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.share) {
    found->second.share->Release();
  }
}

limit_amount account_limiter::ShareAt(steady_time now,
                                      const account_id& account) const {
  const auto found = accounts_.find(account);
  const bool has_share = found != accounts_.end() && found->second.share;
  return has_share ? found->second.share->ShareAt(now) : limit_amount{};
}

bool account_limiter::IsLoanRequestedFrom(steady_time now,
                                          const account_share& share,
                                          size_t peer) const {
  const size_t turn =
      (peer + peers_.size() - first_requested_peer_) % peers_.size();
  return turn < kRequestedPeersPerPeriod ||
         share.IsBorrowingFrom(now, peers_[peer].id);
}

std::vector<account_limiter::account_need> account_limiter::FindNeeds(
    steady_time now) const {
  std::vector<account_need> account_needs;
  for (const account_id& id : active_accounts_) {
    const limited_account& account = accounts_.at(id);
    const limit_amount need = account.share->NeedAt(now);
    if (IsWorthRequesting(need)) {
      account_needs.push_back({&account, need});
    }
  }
  return account_needs;
}

std::vector<std::pair<host_id, limits_message>> account_limiter::MakeMessages(
    steady_time now) {
  std::vector<std::pair<host_id, limits_message>> messages;
  if (peers_.empty()) {
    return messages;
  }
  ++sequence_;
  sent_at_.emplace_back(sequence_, now);
  while (now - sent_at_.front().second > account_share::kLoanDuration) {
    sent_at_.pop_front();
  }
  const std::vector<account_need> account_needs = FindNeeds(now);
  size_t needs = 0;
  first_requested_peer_ =
      (first_requested_peer_ + kRequestedPeersPerPeriod) % peers_.size();
  // Starts at another peer in each period, so that kMaxNeedsPerPeriod does not
  // exclude the same peers permanently.
  for (size_t turn = 0; turn < peers_.size(); ++turn) {
    const size_t i = (first_requested_peer_ + turn) % peers_.size();
    limits_message message;
    message.sequence = sequence_;
    message.to_started = peers_[i].started;
    for (const granted_loan& loan : std::exchange(peers_[i].unsent_loans, {})) {
      message.loans.push_back({loan.account_hash, loan.request_sequence,
                               static_cast<float>(loan.amount.rate),
                               static_cast<uint16_t>(loan.amount.concurrency)});
    }
    for (const auto& [account, need] : account_needs) {
      if (needs < kMaxNeedsPerPeriod &&
          IsLoanRequestedFrom(now, *account->share, i)) {
        ++needs;
        message.needs.push_back(
            {account->hash, static_cast<float>(need.rate),
             static_cast<uint16_t>(std::min(need.concurrency, 65'535.0))});
      }
    }
    if (!message.needs.empty() || !message.loans.empty()) {
      messages.emplace_back(peers_[i].id, std::move(message));
    }
  }
  messages_sent_ += messages.size();
  return messages;
}

void account_limiter::OnMessage(steady_time now,
                                const host_id& from,
                                incarnation from_started,
                                const limits_message& message) {
  peer_state* peer = FindPeer(from);
  if (peer == nullptr || from_started < peer->started) {
    return;
  }
  if (from_started > peer->started) {
    *peer = {from, from_started, 0, {}};
  }
  for (const limit_loan& loan : message.loans) {
    const auto request = std::find_if(
        sent_at_.begin(), sent_at_.end(), [&loan](const auto& row) {
          return row.first == loan.request_sequence;
        });
    const auto account = accounts_by_hash_.find(loan.account_hash);
    const bool is_known = message.to_started == started_ &&
                          request != sent_at_.end() &&
                          account != accounts_by_hash_.end();
    if (!is_known || !account->second->share) {
      continue;
    }
    ++loans_taken_;
    account->second->share->Borrow(
        now, from, {loan.rate, 1.0 * loan.concurrency},
        request->second + account_share::kLoanDuration);
  }
  if (message.sequence <= peer->last_sequence) {
    return;
  }
  peer->last_sequence = message.sequence;
  peer->unsent_loans.clear();
  for (const limit_need& need : message.needs) {
    const auto account = accounts_by_hash_.find(need.account_hash);
    if (account == accounts_by_hash_.end()) {
      continue;
    }
    const limit_amount amount =
        RefreshShare(now, *account->second)
            .Lend(now, from, {need.rate, 1.0 * need.concurrency});
    if (amount.rate > 0 || amount.concurrency > 0) {
      ++loans_given_;
      peer->unsent_loans.push_back(
          {need.account_hash, message.sequence, amount});
    }
  }
}

void account_limiter::WriteState(nlohmann::json& out) const {
  out["hosts"] = peers_.size() + 1;
  out["accounts"] = accounts_.size();
  out["active_accounts"] = active_accounts_.size();
  nlohmann::json& counters = out["counters"];
  counters["refused"] = refused_requests_;
  counters["messages"] = messages_sent_;
  counters["loans_given"] = loans_given_;
  counters["loans_taken"] = loans_taken_;
}

}  // namespace shallotport
