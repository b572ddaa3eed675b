#include "fakes/fake_engine.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

using event_kind = fake_engine_event::event_kind;
using namespace std::chrono_literals;

constexpr steady_time kStart{duration(1'000'000)};

fake_engine_options Options(uint32_t slots) {
  fake_engine_options options;
  options.slots = slots;
  options.first_token_time = 100ms;
  options.token_time = 10ms;
  options.occupancy_slope = 0.5;
  return options;
}

struct timing_case {
  const char* name;
  uint32_t slots;
  uint32_t calls;
  bool share_prompt;
  duration last_finish;  // After the start, all submitted at once.
};

class fake_engine_timing : public testing::TestWithParam<timing_case> {};

TEST_P(fake_engine_timing, FinishesWhenExpected) {
  fake_engine engine(Options(GetParam().slots));
  for (uint32_t i = 0; i < GetParam().calls; ++i) {
    const std::string prompt =
        GetParam().share_prompt ? "p" : "p" + std::to_string(i);
    ASSERT_TRUE(engine.Submit(kStart, {"a" + std::to_string(i), prompt, 2}));
  }
  steady_time last;
  while (const auto next = engine.NextEvent()) {
    for (const fake_engine_event& event : engine.Advance(*next)) {
      last = event.at;
    }
  }
  EXPECT_EQ(last - kStart, GetParam().last_finish);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    fake_engine_timing,
    testing::Values(timing_case{"alone", 4, 1, false, 110ms},
                    timing_case{"occupancy_slows", 4, 2, false, 160ms},
                    timing_case{"queued_behind_one", 1, 2, false, 220ms},
                    timing_case{"cached_prefix", 1, 2, true, 145ms}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(FakeEngine, AdmitsInOrderAndCancels) {
  fake_engine engine(Options(1));
  engine.Submit(kStart, {"first", "x", 2});
  engine.Submit(kStart, {"second", "y", 2});
  engine.Submit(kStart, {"third", "z", 2});
  EXPECT_FALSE(engine.Submit(kStart, {"third", "z", 2}));
  EXPECT_TRUE(engine.Cancel(kStart, "first"));
  EXPECT_FALSE(engine.Cancel(kStart, "first"));
  EXPECT_EQ(engine.running(), 1u);
  EXPECT_EQ(engine.queued(), 1u);
  const auto events = engine.Advance(kStart + 110ms);
  ASSERT_EQ(events.size(), 4u);
  EXPECT_EQ(events.front().kind, event_kind::kCancelled);
  EXPECT_EQ(events.back().kind, event_kind::kFinished);
  EXPECT_EQ(events.back().attempt, "second");
}

TEST(FakeEngine, ResumeRepeatsTheSameTokens) {
  fake_engine engine(Options(1));
  engine.Submit(kStart, {"a", "prompt", 4, 2});
  std::string rest;
  for (const fake_engine_event& event : engine.Advance(kStart + 1s)) {
    if (event.kind == event_kind::kToken) {
      rest += FakeTokenText("prompt", event.token_index);
    }
  }
  EXPECT_EQ(FakeAnswer("prompt", 2) + rest, FakeAnswer("prompt", 4));
}

TEST(FakeEngine, ReportsLagAndCacheEventsHaveGaps) {
  fake_engine_options options = Options(8);
  options.cache_event_gap = 3;
  fake_engine engine(options);
  for (int i = 0; i < 6; ++i) {
    engine.Submit(kStart, {"a" + std::to_string(i), std::to_string(i), 99});
  }
  EXPECT_EQ(engine.Report(kStart + 100ms).running, 0u);
  EXPECT_EQ(engine.Report(kStart + 200ms).running, 6u);
  const auto events = engine.TakeCacheEvents();
  ASSERT_EQ(events.size(), 4u);
  EXPECT_EQ(events[2].sequence, 4u);
}

}  // namespace
}  // namespace shallotport
