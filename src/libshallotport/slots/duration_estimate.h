#ifndef SHALLOTPORT_SLOTS_DURATION_ESTIMATE_H_
#define SHALLOTPORT_SLOTS_DURATION_ESTIMATE_H_

#include "base/clock.h"

namespace shallotport {

// The mean duration of a service's requests, which moves with them. One that
// took very long, such as of a host that was partitioned meanwhile, counts as a
// few times the mean. Owned by slot_allocator. Pure.
class duration_estimate {
 public:
  void Record(duration elapsed);
  // `otherwise` until requests have ended.
  duration Mean(duration otherwise) const;

 private:
  duration mean_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_DURATION_ESTIMATE_H_
