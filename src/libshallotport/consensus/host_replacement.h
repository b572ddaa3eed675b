#ifndef SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_
#define SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_

#include <functional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

enum class membership_step : uint8_t;

// Takes one membership step and returns when it is committed or refused.
using membership_step_function =
    std::function<status(membership_step step, const host_id& host)>;

// Adds a host as a learner and promotes it once it has caught up. A host that
// is a learner already goes on from there.
status AddVoter(const membership_step_function& apply_step,
                const host_id& added,
                const clock_source& clock,
                steady_time deadline);

// Puts `added` in the place of `removed` in single steps, so that the group
// never has fewer voters than before. When both are the same host, it lost its
// disk: it is removed first, and the group has one voter less meanwhile.
// Safe to call again after it failed part of the way.
status ReplaceVoter(const membership_step_function& apply_step,
                    const host_id& removed,
                    const host_id& added,
                    const clock_source& clock,
                    steady_time deadline);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_
