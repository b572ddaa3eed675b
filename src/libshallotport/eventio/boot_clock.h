#ifndef SHALLOTPORT_EVENTIO_BOOT_CLOCK_H_
#define SHALLOTPORT_EVENTIO_BOOT_CLOCK_H_

#include <ctime>

#include "base/clock.h"

namespace shallotport {

// The clock of a host that may be suspended. Now() includes suspended time, so
// that leases and timeouts have expired when the host resumes.
class boot_clock_source final : public clock_source {
 public:
  steady_time Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return steady_time(
        duration(int64_t{time.tv_sec} * 1'000'000 + time.tv_nsec / 1'000));
  }
  wall_milliseconds WallNow() const override {
    return system_clock_source().WallNow();
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_BOOT_CLOCK_H_
