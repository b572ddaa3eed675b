#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_

#include "base/clock.h"

namespace shallotport {

// What the leader's ledger and the entry hosts' budgets rely on together.

// A token is valid for this long from when the host asked for it. In any window
// W, the fleet sends at most the rate times (W + this time), plus the burst.
inline constexpr std::chrono::milliseconds kTokenLifetime{400};
// Without the leader, all entry hosts together use this part of each rate, in
// equal shares. The leader keeps back what hosts use that it does not hear of.
inline constexpr double kOwnShare = 0.5;
// A host that was not heard of for this long has left for good. Both sides
// count hosts over this time, so that neither side of a partition takes the
// other one's share.
inline constexpr std::chrono::seconds kMissingTime{30};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_
