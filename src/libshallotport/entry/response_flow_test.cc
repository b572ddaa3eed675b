#include "entry/response_flow.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace shallotport {
namespace {

using std::chrono::milliseconds;

struct flow_case {
  std::string name;
  size_t taken_per_ms;  // By the caller.
  size_t most_held;
  // Longest time for which the endpoint's response stays unread.
  milliseconds longest_unread;
};

class flow : public testing::TestWithParam<flow_case> {};

// An endpoint sends 6 MB as fast as it is read, in parts of 8 KiB. Guards
// against a host that holds a whole response for a slow caller, and against
// endpoints that end responses because the host does not read them.
TEST_P(flow, FollowsTheCaller) {
  const steady_time start = steady_time{} + std::chrono::hours(1);
  constexpr size_t kPart = 8u << 10;
  size_t left = 6u << 20;
  size_t held = 0;
  size_t most_held = 0;
  response_flow flow;
  bool is_reading = true;
  steady_time read_at = start;
  duration longest_unread{};
  for (steady_time now = start; now < start + std::chrono::seconds(20);
       now += milliseconds(1)) {
    const auto apply = [&is_reading](flow_action action) {
      is_reading = action == flow_action::kNone
                       ? is_reading
                       : action == flow_action::kResume;
    };
    if (is_reading && left > 0) {
      const size_t size = std::min(left, kPart);
      left -= size;
      held += size;
      most_held = std::max(most_held, held);
      read_at = now;
      apply(flow.OnSent(now, held));
    }
    longest_unread =
        std::max(longest_unread, left > 0 ? now - read_at : duration(0));
    held -= std::min(held, GetParam().taken_per_ms);
    apply(flow.OnTaken(held));
    if ((now - start) % milliseconds(20) == duration(0)) {
      apply(flow.OnTick(now, held));
    }
  }
  EXPECT_LE(most_held, GetParam().most_held);
  EXPECT_LE(longest_unread, GetParam().longest_unread);
}

INSTANTIATE_TEST_SUITE_P(
    Callers,
    flow,
    testing::Values(
        flow_case{"Fast", 100'000, 16u << 10, milliseconds(1)},
        flow_case{"AsFastAsTheEndpoint", 8'192, 16u << 10, milliseconds(1)},
        flow_case{"Slow", 50, 80u << 10, milliseconds(1'100)},
        flow_case{"TakesNothing", 0, 264u << 10, milliseconds(20'000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
