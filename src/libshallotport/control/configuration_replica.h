#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_REPLICA_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_REPLICA_H_

#include "base/result.h"
#include "control/change_index.h"
#include "control/configuration_messages.h"

namespace shallotport {

// One host's copy of the committed configuration. It only moves up, and can
// tell others what changed after their revisions.
class configuration_replica {
 public:
  log_index revision() const { return revision_; }
  const configuration& current() const { return config_; }
  bool IsReady() const { return revision_ > 0; }

  // kConflict when changes before the delta are missing; older deltas change
  // nothing.
  status Apply(const configuration_delta& delta);

  configuration_delta Since(log_index revision) const {
    return changes_.Since(revision, revision_, config_);
  }

 private:
  log_index revision_ = 0;
  configuration config_;
  change_index changes_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_REPLICA_H_
