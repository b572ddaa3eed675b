#ifndef SHALLOTPORT_ENTRY_HOLD_UP_RECORD_H_
#define SHALLOTPORT_ENTRY_HOLD_UP_RECORD_H_

#include <deque>

#include "base/clock.h"

namespace shallotport {

// For how long this process was lately held up, by the machine or by its own
// work: by so much its next timer may be late, too. Pure.
class hold_up_record {
 public:
  // At each tick.
  void RecordTick(steady_time now);
  // The longest one that is recent.
  duration Longest(steady_time now) const;

 private:
  struct hold_up {
    steady_time ended_at{};
    duration length{};
  };

  steady_time last_tick_at_{};
  std::deque<hold_up> recent_;  // Each shorter than the one before.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_HOLD_UP_RECORD_H_
