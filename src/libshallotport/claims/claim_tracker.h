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

// The command that settles an attempt, to be proposed to the log.
struct claim_settlement {
  attempt_id attempt;
  claim_command command;  // claim_finish or claim_release.
};

// The attempts of one host, from the proposal of their claims until their
// outcome is committed. It decides whether a call may be sent: at most once per
// attempt, only after the grant and before the send deadline. An attempt that
// was given up is never sent; its release is proposed until it is committed,
// whether or not its claim_begin ever is. Not thread-safe; claim_coordinator
// guards it.
class claim_tracker {
 public:
  explicit claim_tracker(claim_tracker_options options = {})
      : options_(options) {}

  // Registers an attempt before its claim_begin is proposed. kOverLimit when
  // max_attempts are tracked, kConflict when the attempt already is.
  status Begin(const attempt_id& attempt,
               const claim_key& key,
               steady_time send_deadline);

  // Takes the log's reply to the claim_begin, or the error of the proposal.
  // True: send the call now. False: never send it; if the log may hold the
  // claim, its release is proposed.
  bool MaySend(steady_time now,
               const attempt_id& attempt,
               const result<claim_reply>& reply);

  // The call got its response, or was certainly not executed. Only the first of
  // the two takes effect; attempts that are not tracked are ignored.
  void Finish(steady_time now,
              const attempt_id& attempt,
              claim_response response);
  void Release(steady_time now, const attempt_id& attempt);

  // The call was sent and this host will not get its outcome. The outcome of
  // the claim becomes unknown after its open timeout.
  void StopTracking(const attempt_id& attempt);

  // The settlements to propose now. Each is returned again after a delay that
  // doubles up to max_retry_delay, until OnSettlementReply() has a reply for
  // it.
  std::vector<claim_settlement> TakeDueSettlements(steady_time now);
  steady_time next_proposal_at() const;

  // The settlement of one attempt, if it is to be proposed now.
  std::optional<claim_settlement> TakeDueSettlement(steady_time now,
                                                    const attempt_id& attempt);

  // Takes the log's reply to a settlement; an error leaves it to be retried.
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
