#include "eventio/slow_peer_watch.h"

#include <gtest/gtest.h>

#include <string>

#include "eventio/memory_budget.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

struct reader_case {
  std::string name;
  size_t bytes;  // That it takes each time,
  milliseconds interval;
  bool stalls;
};

class slow_reader : public testing::TestWithParam<reader_case> {};

// Guards against sound readers that are cut off, and against stalled ones that
// hold a connection for ever with a byte now and then.
TEST_P(slow_reader, StallsOnlyIfItTakesNextToNothing) {
  const steady_time start = steady_time{} + std::chrono::hours(1);
  slow_peer_watch watch;
  watch.OnWaiting(start);
  bool has_stalled = false;
  const steady_time end = start + std::chrono::seconds(60);
  for (steady_time now = start; now < end; now += milliseconds(100)) {
    const bool takes = (now - start) % GetParam().interval == duration(0);
    if (takes && now > start && GetParam().bytes > 0) {
      watch.OnTaken(now, GetParam().bytes);
    }
    has_stalled = has_stalled || watch.HasStalled(now);
  }
  EXPECT_EQ(has_stalled, GetParam().stalls);
}

INSTANTIATE_TEST_SUITE_P(
    Readers,
    slow_reader,
    testing::Values(
        reader_case{"Fast", 100'000, milliseconds(100), false},
        reader_case{"ThreeKilobytesASecond", 3'000, milliseconds(1'000), false},
        reader_case{"HalfAKilobyteASecond", 512, milliseconds(1'000), false},
        reader_case{"PausesOfFourSeconds", 4'096, milliseconds(4'000), false},
        reader_case{"Nothing", 0, milliseconds(1'000), true},
        reader_case{"AByteASecond", 1, milliseconds(1'000), true},
        reader_case{"PausesOfSixSeconds", 9'000, milliseconds(6'000), true}),
    [](const auto& info) { return info.param.name; });

// Guards against peers that are cut off because this process was held up.
TEST(slow_peer_watch_test, OwnPausesAreNoFaultOfThePeer) {
  const steady_time start = steady_time{} + std::chrono::hours(1);
  slow_peer_watch watch;
  watch.OnWaiting(start);
  const steady_time now = start + std::chrono::seconds(20);
  watch.Excuse(std::chrono::seconds(18));
  EXPECT_FALSE(watch.HasStalled(now));
  EXPECT_TRUE(watch.HasStalled(now + std::chrono::seconds(4)));
}

// Guards against bytes that stay counted after their holder is gone.
TEST(memory_budget_test, CountsWhatIsHeld) {
  memory_budget budget(1'000);
  {
    held_bytes first(&budget);
    held_bytes second(&budget);
    first.Set(500);
    second.Set(280);
    EXPECT_EQ(budget.Pressure(), memory_pressure::kNone);
    second.Set(300);
    EXPECT_EQ(budget.Pressure(), memory_pressure::kHigh);
    second.Set(460);
    EXPECT_EQ(budget.Pressure(), memory_pressure::kCritical);
    EXPECT_EQ(budget.Excess(), 160u);
    first.Set(0);
    EXPECT_EQ(budget.held(), 460u);
  }
  EXPECT_EQ(budget.held(), 0u);
}

}  // namespace
}  // namespace shallotport
