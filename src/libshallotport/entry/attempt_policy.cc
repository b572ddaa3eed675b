#include "entry/attempt_policy.h"

namespace shallotport {

namespace {

// Tries that are proven not to have run cost a round trip each; more of them
// than this would only add load to a fleet that is full.
constexpr uint32_t kMaxNotRunTries = 3;

}  // namespace

next_step DecideNext(const attempt_state& state, try_outcome outcome) {
  const uint32_t not_run = state.tries - state.runs;
  const bool may_try = state.is_time_left && state.runs < state.max_runs &&
                       not_run <= kMaxNotRunTries;
  if (state.has_begun) {
    return state.is_resumable && may_try ? next_step::kResume
                                         : next_step::kBreakOff;
  }
  switch (outcome) {
    case try_outcome::kNotRun:
      if (may_try) {
        return next_step::kTryAgain;
      }
      // An earlier try may have run.
      return state.runs > 0 ? next_step::kFail : next_step::kRefuse;
    case try_outcome::kFailedThere:
      return state.may_run_again && may_try ? next_step::kTryAgain
                                            : next_step::kPassOn;
    case try_outcome::kInDoubt:
      return state.may_run_again && may_try ? next_step::kTryAgain
                                            : next_step::kFail;
  }
  return next_step::kFail;
}

}  // namespace shallotport
