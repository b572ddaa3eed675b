#ifndef SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
#define SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_

#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// Result of one attempt at an endpoint, as far as the guarantees to the caller
// are concerned.
enum class attempt_result : uint8_t {
  kNotExecuted,     // Proven: the endpoint refused it, or nothing was sent.
  kEndpointFailed,  // The endpoint executed it and returned an error.
  kInDoubt,         // The connection or response broke: it may have executed.
};

// Decision after an attempt that returned no complete response.
enum class retry_decision : uint8_t {
  kRetry,           // At another endpoint, from the start.
  kResume,          // At another endpoint, after the last delivered event.
  kRefuse,          // Tell the caller that the request was not executed.
  kFail,            // Tell the caller that it failed; it may have executed.
  kForwardFailure,  // Forward the endpoint's error to the caller.
  kAbort,           // The response has begun: end the connection.
};

// State of a request after an attempt.
struct attempt_history {
  bool is_repeatable = false;  // Idempotent, or a stream that can be resumed.
  bool is_resumable = false;
  uint32_t max_executions = 1;
  // Endpoints that executed it or may have, those at work included.
  uint32_t executions = 0;
  // One of these endpoints has neither failed nor works on it now.
  bool may_return = false;
  uint32_t refusals = 0;            // Attempts that were not executed.
  bool has_response_begun = false;  // The caller received part of the response.
  bool has_time_left = true;
};

// True if the request may at most return to an endpoint. Pure.
bool IsLimitedToReturn(const attempt_history& history);

// Decides what follows an attempt. A request that is not idempotent is sent
// again only after proof that it was not executed; once an attempt may have
// executed, the request is never refused as not executed. Pure.
retry_decision DecideRetry(const attempt_history& history,
                           attempt_result outcome);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ATTEMPT_POLICY_H_
