#ifndef SHALLOTPORT_JOBSTORE_RUNNING_TIME_H_
#define SHALLOTPORT_JOBSTORE_RUNNING_TIME_H_

#include <chrono>

#include "base/clock.h"

namespace shallotport {

// Time without the stalls of this process, in which bytes of others wait
// unread. Part of the item dispatcher, whose ticks tell it. Pure.
class running_time {
 public:
  // At a tick; ticks further apart than usual are a stall.
  steady_time Tick(steady_time now) {
    // Three usual intervals between ticks.
    constexpr std::chrono::milliseconds kStallThreshold{300};
    const bool has_ticked = last_tick_at_ != steady_time{};
    const duration gap = has_ticked ? now - last_tick_at_ : duration(0);
    stalled_ += gap > kStallThreshold ? gap : duration(0);
    last_tick_at_ = now;
    return At(now);
  }
  // Between ticks.
  steady_time At(steady_time now) const { return now - stalled_; }

 private:
  steady_time last_tick_at_{};
  duration stalled_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_RUNNING_TIME_H_
