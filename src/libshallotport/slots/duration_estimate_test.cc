#include "slots/duration_estimate.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

using std::chrono::milliseconds;

// Guards against requests that are refused because a few others, of hosts that
// were partitioned, seem to have taken minutes.
TEST(duration_estimate_test, FollowsTheMeanAndNotSingleLongRuns) {
  duration_estimate durations;
  EXPECT_EQ(durations.Mean(milliseconds(500)), milliseconds(500));
  for (int i = 0; i < 100; ++i) {
    durations.Record(milliseconds(i % 2 == 0 ? 600 : 800));
  }
  durations.Record(std::chrono::hours(1));
  EXPECT_GT(durations.Mean({}), milliseconds(600));
  EXPECT_LT(durations.Mean({}), milliseconds(1'000));
}

}  // namespace
}  // namespace shallotport
