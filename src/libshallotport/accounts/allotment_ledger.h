#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "accounts/account_rules.h"
#include "accounts/allotment_messages.h"
#include "accounts/allotment_terms.h"
#include "accounts/host_start.h"
#include "accounts/window_count.h"
#include "base/clock.h"

namespace shallotport {

// Hands out the tokens of all accounts' allotments to the entry hosts: in any
// window as many as the account's rate and burst allow. A token counts from
// when it is granted, unless the host returns it in time. Owned by
// job_store_duty, used while that host leads the job group. Pure.
//
// Answers accounts that ask several times their rate at once, at one entry host
// or at all: no host has a share of its own, so that the whole allotment can be
// used wherever it is asked for, and hosts that start anew add nothing. What
// was sent in the window is counted, rather than a bucket filled, so that an
// account that has sent little may send all that its window has left at once.
class allotment_ledger {
 public:
  // `window`: of the allotments.
  explicit allotment_ledger(duration window = kDefaultAllotmentWindow);

  // The accounts of the configuration in force. A limit that has fallen counts
  // at once.
  void Update(std::span<const account_rules> accounts);
  // This host begins or ceases to lead.
  void Clear();
  // Counts what was granted before this host began to lead, in place of each
  // entry host until it reports with its first needs what it has sent. A host
  // that was lost or has restarted never does. Pass each record once.
  void Inherit(steady_time now, const grant_record& record);
  // What was granted since the last call, for the other stores.
  std::vector<granted_tokens> TakeUnrecorded();

  allotment_grant Take(steady_time now,
                       const host_start& host,
                       const allotment_need& need);

  // Records that the host is linked to this one. Hosts that are not heard of
  // use a part of each rate by their own decision; it is kept back for them.
  void RecordHost(steady_time now, const std::string& host);
  // Call a few times a second. `host_count`: entry hosts, as the control hosts
  // count them.
  void Tick(steady_time now, uint32_t host_count);

  // Accounts that have used much of their allotments. Hosts that lose the
  // leader do not send more of them by their own decision.
  std::vector<uint64_t> BusyAccounts(steady_time now);
  // Tokens that can be granted now.
  uint32_t Available(steady_time now, uint64_t account);
  size_t account_count() const { return accounts_.size(); }
  uint64_t granted() const { return granted_; }
  uint64_t refused() const { return refused_; }

 private:
  struct account_state {
    double per_second = 0;
    double burst = 0;
    window_count granted;
  };
  struct held_grant {
    steady_time at{};
    uint32_t tokens = 0;
  };
  using holder = std::pair<uint64_t, uint64_t>;  // Account and host's start.

  // What may be granted in a window, less what is kept back for hosts that
  // decide by themselves.
  uint32_t Limit(const account_state& of) const;
  // Of the account, by the host's part of its requests in the last window.
  uint32_t OwnShareOf(steady_time now, const holder& of);
  // Tokens of grants that the host may still return.
  uint32_t TakeReturned(steady_time now, const holder& of, uint32_t returned);
  // Counts what a host has sent, by age, in place of what was inherited.
  void CountSent(steady_time now,
                 const holder& by,
                 std::span<const uint32_t> sent);

  const duration window_;  // Over which grants are counted.
  std::map<uint64_t, account_state> accounts_;  // With a limit.
  std::map<holder, std::deque<held_grant>> held_;
  std::map<holder, window_count> used_;
  // Granted by earlier leaders to hosts that have not reported to this one.
  std::map<holder, window_count> inherited_;
  std::set<holder> reported_;
  std::map<holder, int64_t> unrecorded_;
  std::map<std::string, steady_time> heard_at_;  // By host.
  double missing_ = 0;  // Part of the entry hosts that is not heard of.
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;  // Waiting requests without a token.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_LEDGER_H_
