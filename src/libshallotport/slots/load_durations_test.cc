#include "slots/load_durations.h"

#include <gtest/gtest.h>

#include "base/random_source.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

// Guards against an endpoint that is taken for fast because it was fast when it
// was nearly empty.
TEST(load_durations_test, ExpectsByLoad) {
  load_durations durations;
  EXPECT_EQ(durations.Expect(3, milliseconds(70)), milliseconds(70));
  for (int i = 0; i < 40; ++i) {
    durations.Record(2, milliseconds(40));
    durations.Record(6, milliseconds(120));
  }
  EXPECT_EQ(durations.Expect(1, milliseconds(70)), milliseconds(70));
  EXPECT_EQ(durations.Expect(4, milliseconds(70)), milliseconds(40));
  EXPECT_EQ(durations.Expect(6, milliseconds(70)), milliseconds(120));
  for (int i = 0; i < 40; ++i) {
    durations.Record(6, milliseconds(60));
  }
  EXPECT_NEAR(static_cast<double>(durations.Expect(6, milliseconds(0)) /
                                  std::chrono::microseconds(1)),
              60'000, 1'000);
}

// Guards against waits that leave no time for a run that takes longer than
// usual: a tenth of the runs take three times as long.
TEST(load_durations_test, SlowDurationIsThatOfALongRun) {
  random_source random(3);
  duration_estimate durations;
  EXPECT_EQ(durations.Slow(milliseconds(9)), milliseconds(9));
  for (int i = 0; i < 2'000; ++i) {
    const auto usual = milliseconds(40 + UniformBelow(random, 40));
    durations.Record(UniformBelow(random, 10) < 2 ? 3 * usual : usual);
  }
  EXPECT_GT(durations.Slow({}), milliseconds(100));
  EXPECT_LT(durations.Slow({}), milliseconds(240));
  durations.Record(std::chrono::hours(1));
  EXPECT_LT(durations.Mean({}), milliseconds(150));
}

}  // namespace
}  // namespace shallotport
