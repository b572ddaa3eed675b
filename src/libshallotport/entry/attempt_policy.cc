#include "entry/attempt_policy.h"

namespace shallotport {

namespace {

// Tries that are proven not to have run cost a round trip each; more of them
// than this would only add load to a fleet that is full.
constexpr uint32_t kMaxNotRunTries = 3;

}  // namespace

retry_decision DecideNext(const attempt_history& state,
                          attempt_result outcome) {
  const uint32_t not_run = state.tries - state.runs;
  const bool may_try = state.is_time_left &&
                       state.runs < state.max_executions &&
                       not_run <= kMaxNotRunTries;
  if (state.has_begun) {
    return state.is_resumable && may_try ? retry_decision::kResume
                                         : retry_decision::kBreakOff;
  }
  switch (outcome) {
    case attempt_result::kNotRun:
      if (may_try) {
        return retry_decision::kTryAgain;
      }
      // An earlier try may have run.
      return state.runs > 0 ? retry_decision::kFail : retry_decision::kRefuse;
    case attempt_result::kFailedThere:
      return state.may_run_again && may_try ? retry_decision::kTryAgain
                                            : retry_decision::kPassOn;
    case attempt_result::kInDoubt:
      return state.may_run_again && may_try ? retry_decision::kTryAgain
                                            : retry_decision::kFail;
  }
  return retry_decision::kFail;
}

}  // namespace shallotport
