#ifndef SHALLOTPORT_BASE_CLOCK_H_
#define SHALLOTPORT_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace shallotport {

using duration = std::chrono::microseconds;

// A reading of the host's monotonic clock. Comparable only within one process;
// messages between hosts carry the time remaining instead.
using steady_time =
    std::chrono::time_point<std::chrono::steady_clock, duration>;

// Milliseconds since the Unix epoch. Used only for batch deadlines and history.
using wall_milliseconds = int64_t;

// The source of time for drivers. Cores never hold one: they take `now`.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual steady_time Now() const = 0;
  virtual wall_milliseconds WallNow() const = 0;
};

// The operating system's clocks.
class system_clock_source final : public clock_source {
 public:
  steady_time Now() const override {
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
  }
  wall_milliseconds WallNow() const override {
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
        .count();
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_CLOCK_H_
