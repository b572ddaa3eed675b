#include "jobstore/item_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/random_source.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr int kStepMs = 50;

struct rank_case {
  const char* name;
  schedulable_item first;
  schedulable_item second;
};

class rank_order : public testing::TestWithParam<rank_case> {};

// Items take four seconds by default; it is now 100 s.
TEST_P(rank_order, FirstGoesBeforeSecond) {
  const item_schedule schedule;
  EXPECT_LT(schedule.Rank(100'000, GetParam().first),
            schedule.Rank(100'000, GetParam().second));
}

INSTANTIATE_TEST_SUITE_P(
    items,
    rank_order,
    testing::Values(
        rank_case{"earlier_deadline", {110'000, {}}, {111'000, {}}},
        rank_case{"less_left", {111'000, milliseconds(2'000)}, {110'000, {}}},
        rank_case{"can_meet_its_deadline", {110'000, {}}, {103'000, {}}},
        rank_case{"can_meet_its_deadline_with_more_left",
                  {110'000, {}},
                  {101'000, milliseconds(2'000)}},
        rank_case{"late_with_less_left",
                  {101'000, milliseconds(2'000)},
                  {90'000, {}}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(item_schedule_test, InterruptionsAreExpectedBeforeTheFirstAttempt) {
  item_schedule schedule;
  for (int i = 0; i < 100; ++i) {
    schedule.RecordFinished(milliseconds(4'000), milliseconds(8'000));
  }
  EXPECT_TRUE(schedule.Rank(100'000, {106'000, {}}).is_late);
  EXPECT_FALSE(schedule.Rank(100'000, {109'000, {}}).is_late);
  EXPECT_FALSE(schedule.Rank(100'000, {103'500, milliseconds(1'000)}).is_late);
}

// Items arrive steadily, and get slots only between bursts of online requests.
class interrupted_load {
 public:
  using ranking = std::function<item_rank(const item_schedule& schedule,
                                          wall_milliseconds now,
                                          const schedulable_item& item)>;

  // Share of the items that are finished in time, in relation to the share for
  // which there are slots.
  static double Play(const ranking& rank) {
    constexpr int kLengthMs = 120'000;
    constexpr int kBurstCycleMs = 5'800;
    constexpr int kCalmMs = 3'400;
    constexpr size_t kCalmSlots = 100;
    constexpr int kItemsPerStep = 2;
    constexpr int kDueMs = 18'000;
    constexpr int kShortestMs = 3'900;
    constexpr int kSpreadMs = 2'600;
    struct item {
      schedulable_item known;
      int left_ms = 0;
      int first_run_ms = -1;
    };
    item_schedule schedule;
    random_source random(5);
    std::vector<item> open;
    int sent = 0;
    int in_time = 0;
    int64_t work_ms = 0;
    int64_t capacity_ms = 0;
    for (int now = 0; now < kLengthMs; now += kStepMs) {
      for (int i = 0; i < kItemsPerStep; ++i) {
        const int length_ms =
            kShortestMs + static_cast<int>(UniformBelow(random, kSpreadMs));
        open.push_back({{now + kDueMs, {}}, length_ms});
        work_ms += length_ms;
        ++sent;
      }
      if (now % kBurstCycleMs >= kCalmMs) {
        continue;
      }
      capacity_ms += static_cast<int64_t>(kCalmSlots) * kStepMs;
      std::stable_sort(
          open.begin(), open.end(), [&](const item& a, const item& b) {
            return rank(schedule, now, a.known) < rank(schedule, now, b.known);
          });
      for (size_t i = 0; i < std::min(open.size(), kCalmSlots); ++i) {
        item& running = open[i];
        running.first_run_ms =
            running.first_run_ms < 0 ? now : running.first_run_ms;
        running.left_ms -= kStepMs;
        running.known.time_spent += milliseconds(kStepMs);
        if (running.left_ms <= 0) {
          in_time += now <= running.known.deadline ? 1 : 0;
          schedule.RecordFinished(
              running.known.time_spent,
              milliseconds(now + kStepMs - running.first_run_ms));
        }
      }
      std::erase_if(open, [](const item& each) { return each.left_ms <= 0; });
    }
    const double possible = std::min(
        1.0, static_cast<double>(capacity_ms) / static_cast<double>(work_ms));
    return in_time / (possible * sent);
  }
};

TEST(item_schedule_test, OverloadBetweenBurstsLeavesMostItemsInTime) {
  const double scheduled = interrupted_load::Play(
      [](const item_schedule& schedule, wall_milliseconds now,
         const schedulable_item& item) { return schedule.Rank(now, item); });
  EXPECT_GE(scheduled, 0.8);
  // By deadline alone, nearly all of them are finished a little late.
  const double by_deadline = interrupted_load::Play(
      [](const item_schedule& schedule, wall_milliseconds now,
         const schedulable_item& item) {
        item_rank rank = schedule.Rank(now, item);
        rank.is_late =
            now + 5'200 - item.time_spent / milliseconds(1) > item.deadline;
        rank.remaining_steps = 0;
        return rank;
      });
  EXPECT_LT(by_deadline, 0.8);
}

}  // namespace

}  // namespace shallotport
