#include "control/configuration_replica.h"

#include <utility>

#include "control/configuration_delta.h"

namespace shallotport {

status configuration_replica::Apply(const configuration_delta& delta) {
  if (delta.to <= revision_) {
    return success{};
  }
  configuration next = config_;
  log_index next_revision = revision_;
  status applied = ApplyDelta(delta, next_revision, next);
  if (!IsOk(applied)) {
    return applied;
  }
  if (delta.is_whole) {
    changes_.Reset(next, next_revision);
  } else {
    changes_.Track(config_, next, next_revision);
  }
  config_ = std::move(next);
  revision_ = next_revision;
  return success{};
}

}  // namespace shallotport
