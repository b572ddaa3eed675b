#ifndef SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
#define SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// How one try at an endpoint ended, as far as the caller's promises go.
enum class attempt_result : uint8_t {
  kNotExecuted,     // Proven: refused, or nothing was sent.
  kEndpointFailed,  // The endpoint answered with a failure of its own: it ran.
  kInDoubt,         // The connection or answer broke: it may have run.
};

// What is done after a try that brought no whole answer.
enum class retry_decision : uint8_t {
  kRetry,           // At another endpoint, from the start.
  kResume,          // At another endpoint, after the last event passed on.
  kRefuse,          // Tell the caller that it has not run.
  kFail,            // Tell the caller that it failed; it may have run.
  kForwardFailure,  // Give the caller the endpoint's own failure.
  kAbort,           // The answer has begun: end the connection.
};

// Where a request stands after a try.
struct attempt_history {
  bool is_repeatable = false;  // Idempotent, or a stream that can be resumed.
  bool is_resumable = false;
  uint32_t max_executions = 1;
  uint32_t executions = 0;  // Tries that ran or may have run, this included.
  uint32_t attempts = 0;    // All tries, this included.
  bool has_response_begun = false;  // The caller got a part of the answer.
  bool has_time_left = true;
};

// Decides what follows a try. A request that is not idempotent goes again only
// after proof that it has not run; after a doubt it is never refused as not
// run. Pure.
retry_decision DecideRetry(const attempt_history& history,
                           attempt_result outcome);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
