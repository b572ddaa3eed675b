#ifndef SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_
#define SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "control/configuration.h"
#include "routing/account_share.h"
#include "routing/limits_message.h"

namespace shallotport {

// Enforces each account's request rate and concurrency limits across all hosts.
// Each host enforces its own account_share, and hosts lend each other the parts
// that they do not use. Without messages, as in a network partition, each host
// falls back to its base share. No I/O and no thread of its own; owned by the
// request_router.
//
// Bound under any message loss, delay, partition and recovery: within a time W
// all N hosts together admit at most rate x (W + 1 s) + N requests of an
// account. Each restart of a host within W adds at most rate / N + 1.
class account_limiter {
 public:
  // Period at which the owner calls MakeMessages().
  static constexpr duration kExchangePeriod{500'000};

  account_limiter(host_id self, incarnation started);

  void SetConfiguration(const configuration& settings);

  // All hosts of all failure domains that share the limits, with or without
  // this host. An unreachable host still counts.
  void SetHosts(std::span<const host_id> hosts);

  // Charges one request to the account's rate and concurrency limits. Fails
  // with kOverLimit and retry_after. Accounts without configuration are not
  // limited.
  status Acquire(steady_time now, const account_id& account);

  // Returns the concurrency slot of one successful Acquire().
  void Release(const account_id& account);

  // This host's current share of the account's limits; zero before the
  // account's first request.
  limit_amount ShareAt(steady_time now, const account_id& account) const;

  // The messages to send to other hosts in this period. Empty while every
  // account's share is sufficient on every host.
  std::vector<std::pair<host_id, limits_message>> MakeMessages(steady_time now);

  void OnMessage(steady_time now,
                 const host_id& from,
                 incarnation from_started,
                 const limits_message& message);

  void WriteState(nlohmann::json& out) const;

 private:
  struct limited_account {
    account_id id;
    limit_amount limit;  // Across all hosts.
    uint64_t hash = 0;
    std::optional<account_share> share;  // Created by the first request.
  };
  struct granted_loan {
    uint64_t account_hash = 0;
    uint32_t request_sequence = 0;
    limit_amount amount;
  };
  struct peer_state {
    host_id id;
    incarnation started = 0;
    uint32_t last_sequence = 0;              // Of the last needs.
    std::vector<granted_loan> unsent_loans;  // Go into the next message.
  };

  struct account_need {
    const limited_account* account;
    limit_amount need;
  };

  // Accounts whose share is too small for their demand.
  std::vector<account_need> FindNeeds(steady_time now) const;
  limit_amount BaseShare(const limited_account& account) const;
  account_share& RefreshShare(steady_time now, limited_account& account);
  peer_state* FindPeer(const host_id& id);
  bool IsLoanRequestedFrom(steady_time now,
                           const account_share& share,
                           size_t peer) const;

  host_id self_;
  incarnation started_;
  std::optional<steady_time> loans_unknown_until_;
  std::vector<peer_state> peers_;
  std::unordered_map<account_id, limited_account> accounts_;
  std::unordered_map<uint64_t, limited_account*> accounts_by_hash_;
  std::vector<account_id> active_accounts_;  // With a share.
  uint32_t sequence_ = 0;
  // Sequences of this host's messages within kLoanDuration, with their time.
  std::deque<std::pair<uint32_t, steady_time>> sent_at_;
  size_t first_requested_peer_ = 0;
  uint64_t refused_requests_ = 0;
  uint64_t messages_sent_ = 0;
  uint64_t loans_given_ = 0;
  uint64_t loans_taken_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_
