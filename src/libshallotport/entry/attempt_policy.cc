#include "entry/attempt_policy.h"

namespace shallotport {

namespace {

// Each attempt that proved not to execute costs a round trip; more of them
// would only add load to a fleet that is already full.
constexpr uint32_t kMaxUnexecutedAttempts = 3;

}  // namespace

bool IsLimitedToReturn(const attempt_history& history) {
  return history.executions >= history.max_executions ||
         history.refusals > kMaxUnexecutedAttempts;
}

retry_decision DecideRetry(const attempt_history& history,
                           attempt_result outcome) {
  const bool may_retry = history.has_time_left &&
                         (!IsLimitedToReturn(history) || history.may_return);
  if (history.has_response_begun) {
    return history.is_resumable && may_retry ? retry_decision::kResume
                                             : retry_decision::kAbort;
  }
  switch (outcome) {
    case attempt_result::kNotExecuted:
      if (may_retry) {
        return retry_decision::kRetry;
      }
      // An earlier attempt may have executed.
      return history.executions > 0 ? retry_decision::kFail
                                    : retry_decision::kRefuse;
    case attempt_result::kEndpointFailed:
      return history.is_repeatable && may_retry
                 ? retry_decision::kRetry
                 : retry_decision::kForwardFailure;
    case attempt_result::kInDoubt:
      return history.is_repeatable && may_retry ? retry_decision::kRetry
                                                : retry_decision::kFail;
  }
  return retry_decision::kFail;
}

}  // namespace shallotport
