#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_

#include <algorithm>

#include "base/clock.h"

namespace shallotport {

// What the leader's ledger and the entry hosts' budgets rely on together.

// An allotment is the rate times this time, plus the burst, in any window of
// it.
inline constexpr std::chrono::milliseconds kDefaultAllotmentWindow{5'000};
// A token is valid for this long from when the host asked for it. The ledger
// counts what it grants over a window that is longer by it, so that tokens that
// are used late are counted as well.
inline constexpr std::chrono::milliseconds kTokenLifetime{400};
// Without the leader, all entry hosts together use this part of a rate, in
// equal shares; the leader keeps back what hosts use that it does not hear of.
// With a third of the hosts cut off, until the leader notices it, or with all
// of them, it exceeds an allotment by less than a tenth and a few requests.
constexpr double OwnShare(double per_second) {
  return std::min(1.0, 0.35 + 3 / per_second);
}
// A host that was not heard of for this long has left for good. Both sides
// count hosts over this time, so that neither side of a partition takes the
// other one's share.
inline constexpr std::chrono::seconds kMissingTime{30};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_TERMS_H_
