#include "jobstore/item_schedule.h"

#include <algorithm>
#include <chrono>

namespace shallotport {

namespace {

constexpr int kSamples = 16;  // In the moving averages.
// Items that waited long for other reasons say nothing about interruptions.
constexpr int kMaxInterruptionFactor = 3;
// Mean deviations that are added to the mean for the time that most items keep
// to.
constexpr int kDeviations = 2;
// Remaining times within the same step count as equal.
constexpr std::chrono::milliseconds kRemainingStep{500};

}  // namespace

item_rank item_schedule::Rank(wall_milliseconds now,
                              const schedulable_item& item) const {
  const duration remaining =
      std::max(expected_duration_ - item.time_spent, expected_duration_ / 8);
  const bool has_started = item.time_spent.count() > 0;
  // An item that has started may end before the next interruption.
  const duration needed = has_started ? remaining : expected_elapsed();
  item_rank rank;
  rank.is_late = now + needed / std::chrono::milliseconds(1) > item.deadline;
  rank.remaining_steps = remaining / duration(kRemainingStep);
  rank.deadline = item.deadline;
  return rank;
}

void item_schedule::RecordFinished(duration executing, duration elapsed) {
  expected_duration_ += (executing - expected_duration_) / kSamples;
  const duration sample =
      std::clamp(elapsed, executing, executing * kMaxInterruptionFactor);
  const duration error = sample - mean_elapsed_;
  mean_elapsed_ += error / kSamples;
  elapsed_deviation_ +=
      (std::chrono::abs(error) - elapsed_deviation_) / kSamples;
}

duration item_schedule::expected_elapsed() const {
  return mean_elapsed_ + elapsed_deviation_ * kDeviations;
}

}  // namespace shallotport
