#include "entry/attempt_policy.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

struct policy_case {
  std::string name;
  attempt_history state;
  attempt_result outcome;
  retry_decision expected;
};

attempt_history State(bool may_run_again,
                      uint32_t max_executions,
                      uint32_t runs,
                      uint32_t tries) {
  attempt_history state;
  state.may_run_again = may_run_again;
  state.max_executions = max_executions;
  state.runs = runs;
  state.tries = tries;
  return state;
}

attempt_history Begun(bool is_resumable,
                      uint32_t max_executions,
                      uint32_t runs) {
  attempt_history state = State(is_resumable, max_executions, runs, runs);
  state.is_resumable = is_resumable;
  state.has_begun = true;
  return state;
}

attempt_history Late(attempt_history state) {
  state.is_time_left = false;
  return state;
}

class attempt_policy : public testing::TestWithParam<policy_case> {};

TEST_P(attempt_policy, Decides) {
  EXPECT_EQ(DecideNext(GetParam().state, GetParam().outcome),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    attempt_policy,
    testing::Values(
        // A proof that it has not run allows another try of any kind.
        policy_case{"unsafe_not_run", State(false, 1, 0, 1),
                    attempt_result::kNotRun, retry_decision::kTryAgain},
        policy_case{"unsafe_not_run_too_often", State(false, 1, 0, 4),
                    attempt_result::kNotRun, retry_decision::kRefuse},
        policy_case{"unsafe_not_run_and_late", Late(State(false, 1, 0, 1)),
                    attempt_result::kNotRun, retry_decision::kRefuse},
        // After a doubt nothing is ever refused as not run.
        policy_case{"unsafe_in_doubt", State(false, 3, 1, 1),
                    attempt_result::kInDoubt, retry_decision::kFail},
        policy_case{"safe_in_doubt", State(true, 2, 1, 1),
                    attempt_result::kInDoubt, retry_decision::kTryAgain},
        policy_case{"safe_in_doubt_at_last_run", State(true, 2, 2, 2),
                    attempt_result::kInDoubt, retry_decision::kFail},
        policy_case{"safe_not_run_after_a_doubt_and_late",
                    Late(State(true, 2, 1, 2)), attempt_result::kNotRun,
                    retry_decision::kFail},
        // An endpoint's own failure is passed on unless it may run again.
        policy_case{"unsafe_failed", State(false, 2, 1, 1),
                    attempt_result::kFailedThere, retry_decision::kPassOn},
        policy_case{"safe_failed", State(true, 2, 1, 1),
                    attempt_result::kFailedThere, retry_decision::kTryAgain},
        policy_case{"safe_failed_at_last_run", State(true, 1, 1, 1),
                    attempt_result::kFailedThere, retry_decision::kPassOn},
        // A begun answer is resumed or broken off, never replaced.
        policy_case{"begun_resumable", Begun(true, 2, 1),
                    attempt_result::kInDoubt, retry_decision::kResume},
        policy_case{"begun_resumable_at_last_run", Begun(true, 2, 2),
                    attempt_result::kInDoubt, retry_decision::kBreakOff},
        policy_case{"begun_not_resumable", Begun(false, 3, 1),
                    attempt_result::kInDoubt, retry_decision::kBreakOff},
        policy_case{"begun_resume_refused", Begun(true, 2, 1),
                    attempt_result::kNotRun, retry_decision::kResume}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
