#include "entry/attempt_policy.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

struct policy_case {
  std::string name;
  attempt_history history;
  attempt_result outcome;
  retry_decision expected;
};

attempt_history MakeHistory(bool is_repeatable,
                            uint32_t max_executions,
                            uint32_t executions,
                            uint32_t refusals) {
  attempt_history history;
  history.is_repeatable = is_repeatable;
  history.max_executions = max_executions;
  history.executions = executions;
  history.refusals = refusals;
  return history;
}

attempt_history WithResponseBegun(bool is_resumable,
                                  uint32_t max_executions,
                                  uint32_t executions) {
  attempt_history history =
      MakeHistory(is_resumable, max_executions, executions, 0);
  history.is_resumable = is_resumable;
  history.has_response_begun = true;
  return history;
}

attempt_history WithReturn(attempt_history history) {
  history.may_return = true;
  return history;
}

attempt_history WithRefusals(attempt_history history, uint32_t refusals) {
  history.refusals = refusals;
  return history;
}

attempt_history WithoutTimeLeft(attempt_history history) {
  history.has_time_left = false;
  return history;
}

class attempt_policy : public testing::TestWithParam<policy_case> {};

TEST_P(attempt_policy, Decides) {
  EXPECT_EQ(DecideRetry(GetParam().history, GetParam().outcome),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    attempt_policy,
    testing::Values(
        // After proof that it was not executed, any request is retried.
        policy_case{"unsafe_not_executed", MakeHistory(false, 1, 0, 1),
                    attempt_result::kNotExecuted, retry_decision::kRetry},
        policy_case{"unsafe_not_executed_too_often",
                    MakeHistory(false, 1, 0, 4), attempt_result::kNotExecuted,
                    retry_decision::kRefuse},
        policy_case{"unsafe_not_executed_without_time_left",
                    WithoutTimeLeft(MakeHistory(false, 1, 0, 1)),
                    attempt_result::kNotExecuted, retry_decision::kRefuse},
        // Once an attempt may have executed, the request is never refused as
        // not executed.
        policy_case{"unsafe_in_doubt", MakeHistory(false, 3, 1, 0),
                    attempt_result::kInDoubt, retry_decision::kFail},
        policy_case{"safe_in_doubt", MakeHistory(true, 2, 1, 0),
                    attempt_result::kInDoubt, retry_decision::kRetry},
        policy_case{"safe_in_doubt_at_last_execution",
                    MakeHistory(true, 2, 2, 0), attempt_result::kInDoubt,
                    retry_decision::kFail},
        policy_case{"safe_not_executed_after_doubt_without_time_left",
                    WithoutTimeLeft(MakeHistory(true, 2, 1, 1)),
                    attempt_result::kNotExecuted, retry_decision::kFail},
        // An endpoint's error is forwarded unless the request is repeatable.
        policy_case{"unsafe_failed", MakeHistory(false, 2, 1, 0),
                    attempt_result::kEndpointFailed,
                    retry_decision::kForwardFailure},
        policy_case{"safe_failed", MakeHistory(true, 2, 1, 0),
                    attempt_result::kEndpointFailed, retry_decision::kRetry},
        policy_case{"safe_failed_at_last_execution", MakeHistory(true, 1, 1, 0),
                    attempt_result::kEndpointFailed,
                    retry_decision::kForwardFailure},
        // A response that has begun is resumed or aborted, never started again.
        policy_case{"begun_resumable", WithResponseBegun(true, 2, 1),
                    attempt_result::kInDoubt, retry_decision::kResume},
        policy_case{"begun_resumable_at_last_execution",
                    WithResponseBegun(true, 2, 2), attempt_result::kInDoubt,
                    retry_decision::kAbort},
        policy_case{"begun_resumable_at_last_execution_returns",
                    WithReturn(WithResponseBegun(true, 2, 2)),
                    attempt_result::kInDoubt, retry_decision::kResume},
        policy_case{"begun_refused_too_often_returns",
                    WithReturn(WithRefusals(WithResponseBegun(true, 3, 1), 4)),
                    attempt_result::kNotExecuted, retry_decision::kResume},
        policy_case{"begun_refused_too_often",
                    WithRefusals(WithResponseBegun(true, 3, 1), 4),
                    attempt_result::kNotExecuted, retry_decision::kAbort},
        policy_case{"safe_at_last_execution_returns",
                    WithReturn(MakeHistory(true, 2, 2, 0)),
                    attempt_result::kInDoubt, retry_decision::kRetry},
        policy_case{"begun_not_resumable", WithResponseBegun(false, 3, 1),
                    attempt_result::kInDoubt, retry_decision::kAbort},
        policy_case{"begun_resume_refused", WithResponseBegun(true, 2, 1),
                    attempt_result::kNotExecuted, retry_decision::kResume}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
