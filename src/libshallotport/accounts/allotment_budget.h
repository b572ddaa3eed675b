#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_BUDGET_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "accounts/account_rules.h"
#include "accounts/allotment_messages.h"
#include "accounts/allotment_terms.h"
#include "accounts/window_count.h"
#include "base/clock.h"
#include "base/random_source.h"

namespace shallotport {

enum class allotment_decision : uint8_t {
  kAdmitted,
  kAsk,      // No token here; the leader may have one.
  kRefused,  // The allotment is used up.
};

struct allotment_verdict {
  allotment_decision decision = allotment_decision::kAdmitted;
  uint32_t retry_after_ms = 0;  // Of kRefused: until there is a token.
  // Of kAdmitted: the token that was used, valid until then; none if zero.
  steady_time token_expires_at{};
};

// The tokens of accounts' allotments that this entry host may use. Asks for
// tokens ahead of need where an account is busy here, and for single ones
// otherwise. Owned by allotment_client. Pure.
//
// A host that the leader does not answer sends what the leader said before that
// it may, by its part of the account's requests. Where it has not heard of the
// account, it has an equal share of the rate. Most accounts have much less than
// one request a second for each host, so a token of the own share is valid for
// a limited time only: otherwise all hosts together would save up one token
// each.
class allotment_budget {
 public:
  // `window`: of the allotments.
  explicit allotment_budget(uint64_t seed,
                            duration window = kDefaultAllotmentWindow)
      : random_(seed), window_(window) {}

  void Update(std::span<const account_rules> accounts);
  // Entry hosts, as the control hosts count them.
  void SetHostCount(steady_time now, uint32_t hosts);

  // Decides with what this host has. After kAsk, what Needs() returns next
  // contains a token for the request.
  allotment_verdict Admit(steady_time now, uint64_t account);
  // Decides about a request that was asked for, after the leader's answer.
  allotment_verdict AdmitAsked(steady_time now, uint64_t account);
  // Decides by the own share, because the leader did not answer. If this host
  // hears of the leader all the same, the request is reported to it: the leader
  // keeps nothing back for this host.
  allotment_verdict AdmitAlone(steady_time now,
                               uint64_t account,
                               bool is_leader_heard);
  // A request of the account is sent to another endpoint: it is not refused.
  void Charge(steady_time now, uint64_t account);
  // An admitted request was not executed.
  void GiveBack(steady_time now,
                uint64_t account,
                const allotment_verdict& verdict);

  // The leader was heard of. What it said of own shares more than 1.5 windows
  // ago is out of date: the account's requests may come to other hosts since.
  void SetLeaderHeard(steady_time now) { leader_heard_at_ = now; }
  // The leader has changed: the next needs tell it what this host has sent.
  void ReportSent();
  // The leader names accounts that have used much of their allotments.
  void SetBusy(steady_time now, std::span<const uint64_t> accounts);
  // What to ask the leader for now, and tokens to return. They count as asked
  // for and as returned. Empty: nothing.
  std::vector<allotment_need> Needs(steady_time now);
  // The leader's answer to what was asked at `asked_at`.
  void Add(steady_time now, steady_time asked_at, const allotment_grant& grant);
  // The call with these needs has ended. Without an answer, requests that were
  // sent without a token are reported again.
  void EndCall(const std::vector<allotment_need>& needs, bool has_answer);

  bool HasLimit(uint64_t account) const { return accounts_.contains(account); }
  // Valid tokens here.
  uint32_t TokenCount(steady_time now, uint64_t account) const;

 private:
  struct lease {
    uint32_t tokens = 0;
    steady_time expires_at{};
  };
  struct account_state {
    explicit account_state(const window_count& initial)
        : sent(initial), sent_alone(initial) {}

    double per_second = 0;
    double burst = 0;
    window_count sent;
    bool is_sent_reported = false;
    std::deque<lease> leases;  // The first one expires first.
    double recent = 0;         // Requests of the last kTokenLifetime, decaying.
    steady_time recent_at{};
    uint32_t unasked = 0;  // Requests that wait for a token.
    uint32_t asked = 0;    // Tokens that were asked for, without an answer yet.
    uint32_t overdrawn = 0;
    steady_time refused_until{};
    steady_time next_ahead_at{};
    steady_time next_token_at{};
    steady_time busy_until{};  // No own token is used until then.
    // What the leader said that this host may send in a window without it.
    uint32_t own_share = 0;
    steady_time own_share_at{};
    window_count sent_alone;
    // Of hosts that the leader has not told: when their tokens come, as a part
    // of their interval, so that those of all hosts do not come at the same
    // time; and the time of the last one that was used.
    double own_phase = 0;
    steady_time own_used_until{};
  };

  // Uses a token of the leader; nullopt if there is none.
  static std::optional<allotment_verdict> UseToken(steady_time now,
                                                   account_state& state);
  static void Expire(steady_time now, account_state& state);
  static void Decay(steady_time now, account_state& state);
  bool TakeOwnToken(steady_time now, account_state& state);
  // The leader said what this host may send, shortly before it was last heard
  // of.
  bool HasOwnShare(const account_state& state) const;
  duration TimeUntilOwnToken(steady_time now, account_state& state) const;
  // Of those that are valid or to come.
  steady_time NextOwnToken(steady_time now, const account_state& state) const;
  // Between two tokens of the own share.
  duration OwnInterval(const account_state& state) const;
  uint32_t HostCount() const;

  random_source random_;
  const duration window_;
  std::map<uint64_t, account_state> accounts_;  // With a limit.
  steady_time leader_heard_at_{};
  // The highest counts of entry hosts, by when they were last heard.
  std::map<uint32_t, steady_time> host_counts_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_BUDGET_H_
