#include "membership/domain_summary.h"

#include <gtest/gtest.h>

#include "base/digest.h"
#include "membership/summary_simulation.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;

struct propagation_case {
  const char* name;
  size_t domains;
  size_t hosts;
  size_t near_domains;
  duration limit;
};

class summary_propagation : public testing::TestWithParam<propagation_case> {};

TEST_P(summary_propagation, ReachesEveryHostWithinTheLimit) {
  const propagation_case& each = GetParam();
  summary_simulation simulation(each.domains, each.hosts, each.near_domains);
  for (duration time = 0s; time < each.limit; time += 1s) {
    simulation.SetLocal(0, each.hosts, 7);
    simulation.Run(1s);
  }
  for (const auto& [name, table] : simulation.tables) {
    if (name.rfind("d0-", 0) != 0) {
      EXPECT_EQ(simulation.RunningOf(name, "d0"), 7) << name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    summary_propagation,
    testing::Values(propagation_case{"one_region", 4, 2, 4, 8s},
                    propagation_case{"one_region_of_large_domains", 4, 13, 4,
                                     15s},
                    propagation_case{"all_regions", 25, 3, 4, 55s}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(domain_summary, NewerSummariesReplaceOlderOnesAndExpire) {
  summary_simulation simulation(2, 1, 2);
  simulation.SetLocal(0, 1, 3);
  simulation.Run(3s);
  EXPECT_EQ(simulation.RunningOf("d1-h0", "d0"), 3);
  simulation.SetLocal(0, 1, 5);
  simulation.Run(3s);
  EXPECT_EQ(simulation.RunningOf("d1-h0", "d0"), 5);
  // A stale copy that was delayed on another path.
  const auto key = [](const char* text) {
    return static_cast<uint32_t>(HashOf(text));
  };
  const summary_message stale{
      {{key("d0"), key("assistant"), 4, 32, 3, 0, 9'000}}};
  simulation.tables.at("d1-h0").OnMessage(simulation.now, stale);
  EXPECT_EQ(simulation.RunningOf("d1-h0", "d0"), 5);
  simulation.Run(62s);
  EXPECT_EQ(simulation.RunningOf("d1-h0", "d0"), std::nullopt);
  EXPECT_EQ(simulation.tables.at("d1-h0").size(), 0u);
}

TEST(domain_summary, TwoHostsOfADomainAreRelays) {
  summary_simulation simulation(2, 13, 2);
  size_t relays = 0;
  for (const auto& [name, table] : simulation.tables) {
    relays += table.IsRelay() ? 1 : 0;
  }
  EXPECT_EQ(relays, 4u);
}

}  // namespace
}  // namespace shallotport
