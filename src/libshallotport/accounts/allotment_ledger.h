#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <utility>

#include "accounts/account_rules.h"
#include "accounts/allotment_messages.h"
#include "base/clock.h"

namespace shallotport {

// Hands out the tokens of all accounts' allotments to the entry hosts: one
// token bucket an account, which fills at the account's rate and holds its
// burst. A token is deducted when it is granted and counts again only when the
// host returns it in time. Owned by job_store_duty, used while that host leads
// the job group. Pure.
//
// Answers accounts that ask several times their rate at once, at one entry host
// or at all: no host has a share of its own, so that the whole allotment can be
// used wherever it is asked for, and hosts that start anew add nothing.
class allotment_ledger {
 public:
  // The accounts of the configuration in force. A bucket holds no more than the
  // new burst at once; an account that was not known begins with a full one.
  void Update(steady_time now, std::span<const account_rules> accounts);
  // This host begins to lead: it does not know what was granted before, so all
  // buckets are empty.
  void Clear(steady_time now);

  allotment_grant Take(steady_time now,
                       const std::string& host,
                       const allotment_need& need);

  // Records that the host is linked to this one. Hosts that are not heard of
  // use a part of each rate by their own decision; it is kept back for them.
  void RecordHost(steady_time now, const std::string& host);
  // Call a few times a second. `host_count`: entry hosts, as the control hosts
  // count them.
  void Tick(steady_time now, uint32_t host_count);

  // Tokens that can be granted now; negative after requests without a token.
  double Available(steady_time now, uint64_t account) const;
  size_t account_count() const { return buckets_.size(); }
  uint64_t granted() const { return granted_; }
  uint64_t refused() const { return refused_; }

 private:
  struct bucket {
    double per_second = 0;
    double capacity = 1;
    double level = 0;
    steady_time filled_at{};
  };
  struct grant_record {
    steady_time at{};
    uint32_t tokens = 0;
  };
  using holder = std::pair<uint64_t, std::string>;  // Account and host.

  // Of each rate, what is not kept back for hosts that decide by themselves.
  void SetShare(steady_time now, double share);
  double LevelOf(const bucket& of, steady_time now) const;
  // Tokens of grants that the host may still return.
  uint32_t TakeReturned(steady_time now,
                        const std::string& host,
                        const allotment_need& need);

  std::map<uint64_t, bucket> buckets_;  // Of accounts with a limit.
  std::map<holder, std::deque<grant_record>> held_;
  std::map<std::string, steady_time> heard_at_;  // By host.
  double share_ = 1;
  bool is_configured_ = false;
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;  // Waiting requests without a token.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_
