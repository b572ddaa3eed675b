#ifndef SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
#define SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// How one try at an endpoint ended, as far as the caller's promises go.
enum class attempt_result : uint8_t {
  kNotRun,       // Proven: refused, or nothing was sent.
  kFailedThere,  // The endpoint answered with a failure of its own: it ran.
  kInDoubt,      // The connection or answer broke: it may have run.
};

// What is done after a try that brought no whole answer.
enum class retry_decision : uint8_t {
  kTryAgain,  // At another endpoint, from the start.
  kResume,    // At another endpoint, after the last event passed on.
  kRefuse,    // Tell the caller that it has not run.
  kFail,      // Tell the caller that it failed; it may have run.
  kPassOn,    // Give the caller the endpoint's own failure.
  kBreakOff,  // The answer has begun: end the connection.
};

// Where a request stands after a try.
struct attempt_history {
  bool may_run_again = false;  // Idempotent, or a stream that can be resumed.
  bool is_resumable = false;
  uint32_t max_executions = 1;
  uint32_t runs = 0;       // Tries that ran or may have run, this included.
  uint32_t tries = 0;      // All tries, this included.
  bool has_begun = false;  // The caller got a part of the answer.
  bool is_time_left = true;
};

// Decides what follows a try. A request that is not idempotent goes again only
// after proof that it has not run; after a doubt it is never refused as not
// run. Pure.
retry_decision DecideNext(const attempt_history& state, attempt_result outcome);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
