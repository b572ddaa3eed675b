#ifndef SHALLOTPORT_CLAIMS_CLAIM_TRACKER_H_
#define SHALLOTPORT_CLAIMS_CLAIM_TRACKER_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "claims/claim_messages.h"

namespace shallotport {

struct claim_tracker_options {
  size_t max_attempts = 4096;
  std::chrono::milliseconds initial_retry_delay{100};
  std::chrono::milliseconds max_retry_delay{5'000};
};

// A command that settles an attempt, to be proposed to the log.
struct claim_settlement {
  attempt_id attempt;
  claim_command command;  // claim_finish or claim_release.
};

// One host's own attempts, from the proposal of their claims until the log has
// their outcome. It alone decides whether a call may be sent: at most once for
// an attempt, only after the grant and before the send deadline. An attempt
// that was given up is never sent; its release is proposed until it is
// committed, whether or not its begin ever is.
class claim_tracker {
 public:
  explicit claim_tracker(claim_tracker_options options = {})
      : options_(options) {}

  // Registers an attempt whose claim_begin is about to be proposed. kOverLimit
  // at the bound, kConflict when the attempt is known.
  status Begin(const attempt_id& attempt,
               const claim_key& key,
               steady_time send_deadline);

  // The log's reply to the begin, or why there is none. True: send the call
  // now. False: never send it; what has to be released will be.
  bool MaySend(steady_time now,
               const attempt_id& attempt,
               const result<claim_reply>& reply);

  // The call was answered, or certainly did not run. Only the first of the two
  // counts; unknown attempts are ignored.
  void Finish(steady_time now,
              const attempt_id& attempt,
              claim_response response);
  void Release(steady_time now, const attempt_id& attempt);

  // The call was sent and its outcome will not be learned here. The claim is
  // left to its open limit.
  void StopTracking(const attempt_id& attempt);

  // Settlements that are due to be proposed, each then again after a delay that
  // doubles until OnSettlementReply().
  std::vector<claim_settlement> TakeDueSettlements(steady_time now);
  steady_time next_proposal_at() const;

  // The settlement of one attempt, when it is due.
  std::optional<claim_settlement> TakeDueSettlement(steady_time now,
                                                    const attempt_id& attempt);

  // The log's reply to a settlement.
  void OnSettlementReply(const attempt_id& attempt,
                         const result<claim_reply>& reply);

  size_t attempts() const { return attempts_.size(); }
  bool IsSettled(const attempt_id& attempt) const {
    return !attempts_.contains(attempt);
  }

  void WriteState(nlohmann::json& out) const;

 private:
  enum class attempt_phase : uint8_t { kProposing, kSent, kSettling };

  struct tracked_attempt {
    claim_key key;
    steady_time send_deadline;
    attempt_phase phase = attempt_phase::kProposing;
    claim_command settlement;
    steady_time next_proposal_at;
    std::chrono::milliseconds retry_delay{0};
  };

  claim_settlement TakeSettlement(steady_time now,
                                  const attempt_id& id,
                                  tracked_attempt& attempt);
  void BeginSettling(steady_time now,
                     tracked_attempt& attempt,
                     claim_command settlement);

  claim_tracker_options options_;
  std::map<attempt_id, tracked_attempt> attempts_;
  uint64_t begun_ = 0;
  uint64_t sent_ = 0;
  uint64_t given_up_ = 0;
  uint64_t untracked_ = 0;
  uint64_t settlement_proposals_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_CLAIM_TRACKER_H_
