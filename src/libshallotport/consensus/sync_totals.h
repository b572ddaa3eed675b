#ifndef SHALLOTPORT_CONSENSUS_SYNC_TOTALS_H_
#define SHALLOTPORT_CONSENSUS_SYNC_TOTALS_H_

#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// How long a member's disk took to make its log durable.
struct sync_totals {
  uint64_t slow = 0;  // Took so long that the lease of a leader runs out.
  duration longest{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_SYNC_TOTALS_H_
