#include "entry/takeover_policy.h"

namespace shallotport {

namespace {

// Of the objective; a second attempt may still meet it.
constexpr double kFirstByteShare = 0.6;
// Within a stream, events arrive every few tens of milliseconds.
constexpr std::chrono::milliseconds kStreamGap{800};

}  // namespace

bool NeedsSecondAttempt(const attempt_silence& state) {
  const bool may_execute_twice =
      state.is_repeatable && state.executions + 2 <= state.max_executions;
  if (!may_execute_twice || state.has_second_attempt ||
      state.objective.count() == 0) {
    return false;
  }
  const auto first_byte_limit =
      std::chrono::duration_cast<duration>(kFirstByteShare * state.objective);
  return state.silent_for >
         (state.has_response_begun ? duration(kStreamGap) : first_byte_limit);
}

}  // namespace shallotport
