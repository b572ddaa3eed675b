#ifndef SHALLOTPORT_SHALLOTPORTD_INCARNATION_FILE_H_
#define SHALLOTPORT_SHALLOTPORTD_INCARNATION_FILE_H_

#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

// The incarnation of this start: the wall clock's milliseconds, but above the
// one that an earlier start left in `folder`. The new one is durable there
// before this returns. Without a folder only the clock counts.
result<incarnation> NextIncarnation(const std::string& folder,
                                    const clock_source& clock);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_INCARNATION_FILE_H_
