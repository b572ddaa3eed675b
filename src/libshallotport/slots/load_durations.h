#ifndef SHALLOTPORT_SLOTS_LOAD_DURATIONS_H_
#define SHALLOTPORT_SLOTS_LOAD_DURATIONS_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// How long requests take at one endpoint, by how many run there when they
// begin: many endpoints slow down when they are nearly full. Learned from
// requests that ended. Owned by slot_allocator. Pure and bounded.
class load_durations {
 public:
  // `running`: when the request began, itself included.
  void Record(uint32_t running, duration elapsed);
  // Of a request that begins beside `running` - 1 others. What is not known is
  // expected to be as it is at the next lower load that is, or else as
  // `otherwise`.
  duration Expect(uint32_t running, duration otherwise) const;

 private:
  std::vector<duration> by_load_;  // 0: unknown.
};

// The mean and a high quantile of the durations of a service's requests, which
// move with them. One that took very long, such as of a host that was
// partitioned meanwhile, counts as a few times the mean. Pure.
class duration_estimate {
 public:
  void Record(duration elapsed);
  // `otherwise` until requests have ended.
  duration Mean(duration otherwise) const;
  // Nine in ten requests take no longer.
  duration Slow(duration otherwise) const;

 private:
  duration mean_{};
  duration slow_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_LOAD_DURATIONS_H_
