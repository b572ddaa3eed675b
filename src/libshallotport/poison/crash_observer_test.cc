#include "poison/crash_observer.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "eventio/boot_clock.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

enum class peer : uint8_t { kEnded, kAccepting, kUnreachable };

struct break_case {
  std::string name;
  peer endpoint;
  request_traits traits;
  size_t records;
  uint64_t probes;
  uint64_t ended;  // Starts.
};

class broken_attempts : public testing::TestWithParam<break_case> {};

TEST_P(broken_attempts, AreCrashesOnlyIfTheProcessHasEnded) {
  boost::asio::io_context loop;
  boot_clock_source clock;
  endpoint_connection_pool pool(loop, clock);
  crash_attribution attribution(crash_attribution::role::kObserver);
  crash_observer observer(clock, pool, attribution);
  std::vector<endpoint_start> ended;
  observer.on_ended = [&](const endpoint_start& start) {
    ended.push_back(start);
  };
  scripted_endpoint endpoint(loop, [](raw_connection&, const std::string&) {});
  const uint16_t port = endpoint.port();
  const bool is_unreachable = GetParam().endpoint == peer::kUnreachable;
  if (GetParam().endpoint == peer::kEnded) {
    endpoint.Close();
  }
  observed_attempt attempt{{endpoint_id("e"), 5},
                           {is_unreachable ? "no address" : "127.0.0.1", port},
                           domain_id("d"),
                           service_id("llm"),
                           0,
                           clock.Now(),
                           GetParam().traits};
  // Both break at once; the third a little later.
  for (int i = 0; i < 3; ++i) {
    attempt.request = static_cast<uint64_t>(i);
    observer.OnBroken(attempt);
    if (i == 1) {
      RunUntil(
          loop, [] { return false; }, milliseconds(150));
    }
  }
  EXPECT_EQ(attribution.record_count(), GetParam().records);
  EXPECT_EQ(pool.totals().probes, GetParam().probes);
  const crash_observer::counters& totals = observer.totals();
  EXPECT_EQ(totals.crashes, GetParam().ended);
  EXPECT_EQ(ended,
            std::vector<endpoint_start>(GetParam().ended, attempt.start));
  EXPECT_EQ(totals.not_a_crash > 0, GetParam().endpoint == peer::kAccepting);
  EXPECT_EQ(totals.unknown > 0, is_unreachable);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    broken_attempts,
    testing::Values(
        break_case{"ended", peer::kEnded, {{1, 2}}, 3, 1, 1},
        break_case{"accepts", peer::kAccepting, {{1, 2}}, 0, 2, 0},
        break_case{"unreachable", peer::kUnreachable, {{1}}, 0, 2, 0},
        break_case{"plain_call", peer::kEnded, {{}, 7}, 3, 1, 1},
        // No part or request is to blame; the start has ended.
        break_case{"no_traits", peer::kEnded, {}, 0, 1, 1}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
