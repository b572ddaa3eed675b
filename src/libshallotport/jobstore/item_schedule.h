#ifndef SHALLOTPORT_JOBSTORE_ITEM_SCHEDULE_H_
#define SHALLOTPORT_JOBSTORE_ITEM_SCHEDULE_H_

#include <cstdint>
#include <tuple>

#include "base/clock.h"

namespace shallotport {

// What the schedule considers of an item without a result.
struct schedulable_item {
  wall_milliseconds deadline = 0;
  duration time_spent{};  // Executing, over all attempts.
};

// Order in which items get free slots; the lowest is first.
struct item_rank {
  bool is_late = false;
  int64_t remaining_steps = 0;
  wall_milliseconds deadline = 0;

  auto operator<=>(const item_rank&) const = default;
};

// Decides in which order items are sent, and which of them yield to online
// requests. Owned by item_dispatcher. Pure.
//
// Answers hours in which items get slots only between bursts of online
// requests, and fewer than they need. By deadline alone, items with much of
// their output would then be abandoned for others that are not finished in time
// either. Items that can still meet their deadline go before those that cannot;
// among them, those with the least left to do, and then those with the earliest
// deadline.
class item_schedule {
 public:
  item_rank Rank(wall_milliseconds now, const schedulable_item& item) const;

  // An item was executed for `executing` in all, and got its result this long
  // after its first attempt began.
  void RecordFinished(duration executing, duration elapsed);

  // Of an item's executions in all.
  duration expected_duration() const { return expected_duration_; }
  // From the first attempt until the result, which most items keep to.
  duration expected_elapsed() const;

 private:
  // Moving averages.
  duration expected_duration_ = std::chrono::seconds(4);
  duration mean_elapsed_ = std::chrono::seconds(4);
  duration elapsed_deviation_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ITEM_SCHEDULE_H_
