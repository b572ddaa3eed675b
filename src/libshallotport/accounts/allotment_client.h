#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_CLIENT_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/account_rules.h"
#include "accounts/allotment_budget.h"
#include "base/clock.h"
#include "base/result.h"

namespace shallotport {

class fleet_host;

// Admits requests of accounts with an allotment on an entry host, with tokens
// that the leader of the job group grants. Owned by entry_host; runs on the
// event loop of `fleet`.
class allotment_client {
 public:
  using verdict_handler = std::function<void(const allotment_verdict& verdict)>;

  struct counters {
    uint64_t admitted = 0;
    uint64_t refused = 0;
    // Of these two, decided without the leader.
    uint64_t decided_alone = 0;
    uint64_t asked = 0;       // Calls to the leader,
    uint64_t unanswered = 0;  // and those without an answer in time.
  };

  allotment_client(const clock_source& clock,
                   fleet_host& fleet,
                   uint64_t seed,
                   duration window);
  ~allotment_client();

  void SetAccounts(std::span<const account_rules> accounts);
  // Load totals from the job group's leader arrived.
  void SetLeader(steady_time now, const std::string& ip);
  // False if the frame is of another kind.
  bool OnFrame(steady_time now, uint8_t kind, std::string_view payload);
  void Tick(steady_time now);

  bool HasLimit(uint64_t account) const { return budget_.HasLimit(account); }
  // The handler is called once, with kAdmitted or kRefused; possibly before
  // this returns, and after some 30 ms at the latest.
  void Admit(uint64_t account, verdict_handler on_verdict);
  // As of allotment_budget.
  void Charge(uint64_t account);
  void GiveBack(uint64_t account, const allotment_verdict& verdict);

  const counters& totals() const { return counters_; }

 private:
  struct waiting_request {
    uint64_t account = 0;
    verdict_handler on_verdict;
  };
  struct pending_call;

  bool IsLeaderHeard(steady_time now) const;
  bool IsAvailable(steady_time now) const;
  void Ask(steady_time now);
  void OnReply(const pending_call& call, const result<std::string>& reply);
  void Decide(const waiting_request& request, const allotment_verdict& verdict);

  const clock_source& clock_;
  fleet_host& fleet_;
  allotment_budget budget_;
  std::string leader_ip_;
  steady_time leader_heard_at_{};
  steady_time paused_until_{};
  steady_time next_tick_{};
  // To be asked for with the next call.
  std::vector<waiting_request> waiting_;
  std::shared_ptr<bool> is_alive_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_CLIENT_H_
