#ifndef SHALLOTPORT_ENTRY_TAKEOVER_POLICY_H_
#define SHALLOTPORT_ENTRY_TAKEOVER_POLICY_H_

#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// State of a request whose attempt is under way.
struct attempt_silence {
  bool is_repeatable = false;
  bool has_response_begun = false;
  bool has_second_attempt = false;
  uint32_t executions = 1;  // By endpoint, the attempt's included.
  uint32_t max_executions = 1;
  // Another one of these endpoints has not failed.
  bool may_return = false;
  duration silent_for{};
  duration objective{};  // 0: none.
  // For which a second attempt may be under way beside it.
  duration max_overlap = duration::max();
};

// For how long two engines may be under way without output on a host that was
// lately held up for `hold_up`; 0: the one has to end as the other begins.
// Pure.
duration MaxOverlap(duration hold_up);

// True if a second attempt should begin beside one that is silent: its endpoint
// has probably lost the request. A sound endpoint may pause for as long, so the
// silent attempt is kept until the second one produces output; whichever does
// so first serves the caller. Pure.
bool NeedsSecondAttempt(const attempt_silence& state);

enum class overlap_decision : uint8_t { kKeepBoth, kEndFirst, kEndSecond };

// Decides which of two attempts without output goes on alone once both have
// been under way for too long: an engine must not work on a request for long
// beside another one. Pure.
overlap_decision DecideOverlap(duration overlap,
                               duration max_overlap,
                               duration first_silent_for);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_TAKEOVER_POLICY_H_
