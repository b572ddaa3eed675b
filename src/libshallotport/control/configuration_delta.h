#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_DELTA_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_DELTA_H_

#include "base/result.h"
#include "control/configuration_messages.h"

namespace shallotport {

// Brings a host's configuration from `revision` up to `delta.to`. Older or
// equal deltas change nothing; kConflict when the delta starts after
// `revision`, so that changes in between would be missed.
status ApplyDelta(const configuration_delta& delta,
                  log_index& revision,
                  configuration& config);

// The delta that replaces everything by `config`.
configuration_delta WholeDelta(log_index revision, const configuration& config);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_DELTA_H_
