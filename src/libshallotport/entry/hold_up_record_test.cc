#include "entry/hold_up_record.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

struct ticks_case {
  std::string name;
  std::vector<milliseconds> ticks_at;
  milliseconds asked_at;
  milliseconds expected;
};

class hold_up_record_test : public testing::TestWithParam<ticks_case> {};

TEST_P(hold_up_record_test, RemembersTheLongestForSomeSeconds) {
  hold_up_record record;
  for (const milliseconds each : GetParam().ticks_at) {
    record.RecordTick(steady_time(each));
  }
  EXPECT_EQ(record.Longest(steady_time(GetParam().asked_at)),
            duration(GetParam().expected));
}

constexpr std::chrono::milliseconds operator""_ms(unsigned long long count) {
  return std::chrono::milliseconds(count);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    hold_up_record_test,
    testing::Values(
        ticks_case{"no_tick", {}, 50_ms, 0_ms},
        ticks_case{"first_tick", {90_ms}, 100_ms, 0_ms},
        ticks_case{"ticks_in_time", {20_ms, 40_ms, 50_ms}, 60_ms, 0_ms},
        ticks_case{"late_tick", {20_ms, 100_ms, 120_ms}, 130_ms, 60_ms},
        ticks_case{"longest", {20_ms, 120_ms, 200_ms}, 210_ms, 80_ms},
        ticks_case{"long_ago", {20_ms, 100_ms, 120_ms}, 5'101_ms, 0_ms},
        ticks_case{"shorter_one_since",
                   {20_ms, 120_ms, 140_ms, 200_ms},
                   5'150_ms,
                   40_ms}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
