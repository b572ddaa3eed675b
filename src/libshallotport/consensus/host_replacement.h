#ifndef SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_
#define SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_

#include <functional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

enum class membership_step : uint8_t;

// Requests one membership step and returns when it is committed or rejected.
using membership_step_function =
    std::function<status(membership_step step, const host_id& host)>;

// Adds a host as a learner and promotes it once it has caught up. Idempotent: a
// host that already is a learner is only promoted. Blocks the calling thread.
status AddVoter(const membership_step_function& apply_step,
                const host_id& added,
                const clock_source& clock,
                steady_time deadline);

// Replaces the voter `removed` by `added`. `added` becomes a voter first, so
// the group never has fewer voters than before. If both are the same host,
// which was wiped, it is removed first and the group has one voter less until
// it is added again. Idempotent: may be called again after a failure. Blocks
// the calling thread.
status ReplaceVoter(const membership_step_function& apply_step,
                    const host_id& removed,
                    const host_id& added,
                    const clock_source& clock,
                    steady_time deadline);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_HOST_REPLACEMENT_H_
