#ifndef SHALLOTPORT_ENTRY_ENTRY_COUNTERS_H_
#define SHALLOTPORT_ENTRY_ENTRY_COUNTERS_H_

#include <cstdint>

namespace shallotport {

// Counters of an entry host since its start.
struct entry_counters {
  uint64_t requests = 0;
  uint64_t served = 0;
  uint64_t forwarded_failures = 0;  // Endpoint errors sent to callers.
  uint64_t refused_busy = 0;        // No endpoint had a free slot.
  uint64_t refused_no_endpoint = 0;
  uint64_t refused_not_executed = 0;  // No attempt was executed.
  uint64_t refused_poison = 0;        // Endpoints crash under its prompt.
  uint64_t refused_stopping = 0;      // Its deadline is after the host's end.
  uint64_t failed_in_doubt = 0;
  uint64_t timed_out = 0;
  uint64_t streams_aborted = 0;  // Responses that had begun.
  uint64_t callers_disconnected = 0;
  uint64_t attempts = 0;
  uint64_t broken_attempts = 0;  // Their connection or response broke.
  // Of these, those whose head was not of a usable response, and those with an
  // event that did not follow the last one.
  uint64_t unusable_heads = 0;
  uint64_t events_out_of_order = 0;
  uint64_t resumed = 0;
  uint64_t taken_up = 0;  // Streams that callers resume with a new request.
  // Of these, by where their origin was found, and those that were refused.
  uint64_t taken_up_own = 0;
  uint64_t taken_up_store = 0;
  uint64_t taken_up_sole_version = 0;
  uint64_t refused_origin_unknown = 0;
  uint64_t refused_version_gone = 0;  // Or its service is not allowed now.
  uint64_t first_events_in_time = 0;  // First event within the objective.
  uint64_t first_events_late = 0;
  uint64_t second_attempts = 0;  // Begun beside one that was silent.
  uint64_t takeovers = 0;        // Second attempts that served the caller.
  // Attempts at an endpoint whose earlier one had been ended for another's.
  uint64_t returns = 0;
  uint64_t endpoints_leaving = 0;  // Said so in a response to this host.
  uint64_t malformed_leave_notices = 0;
  // Attempts at endpoints that had named a limit; of these, second ones, ones
  // at another endpoint after a failure, and ones that the endpoint refused.
  uint64_t attempts_at_limited = 0;
  uint64_t repeats_at_limited = 0;
  uint64_t refused_by_limited = 0;
  uint64_t malformed_limits = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENTRY_COUNTERS_H_
