#include "membership/domain_summary.h"

#include <gtest/gtest.h>

#include "base/digest.h"
#include "membership/summary_simulation.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;

struct spread_case {
  const char* name;
  size_t domains;
  size_t hosts;
  size_t near_domains;
  duration limit;
};

class summary_spread : public testing::TestWithParam<spread_case> {};

TEST_P(summary_spread, ReachesEveryHostWithinTheLimit) {
  const spread_case& each = GetParam();
  summary_simulation world(each.domains, each.hosts, each.near_domains);
  for (duration time = 0s; time < each.limit; time += 1s) {
    world.SetLocal(0, each.hosts, 7);
    world.Run(1s);
  }
  for (const auto& [name, table] : world.tables) {
    if (name.rfind("d0-", 0) != 0) {
      EXPECT_EQ(world.RunningOf(name, "d0"), 7) << name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    summary_spread,
    testing::Values(spread_case{"one_region", 4, 2, 4, 8s},
                    spread_case{"one_region_of_large_domains", 4, 13, 4, 15s},
                    spread_case{"all_regions", 25, 3, 4, 55s}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(domain_summary, NewerReplacesOlderAndOldOnesAgeOut) {
  summary_simulation world(2, 1, 2);
  world.SetLocal(0, 1, 3);
  world.Run(3s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 3);
  world.SetLocal(0, 1, 5);
  world.Run(3s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 5);
  // A copy from before, delayed on another way.
  const auto key = [](const char* text) {
    return static_cast<uint32_t>(HashOf(text));
  };
  const summary_message late{
      {{key("d0"), key("assistant"), 4, 32, 3, 0, 9'000}}};
  world.tables.at("d1-h0").OnMessage(world.now, late);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 5);
  world.Run(62s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), std::nullopt);
  EXPECT_EQ(world.tables.at("d1-h0").size(), 0u);
}

TEST(domain_summary, AFewHostsOfADomainAreRelays) {
  summary_simulation world(2, 13, 2);
  size_t relays = 0;
  for (const auto& [name, table] : world.tables) {
    relays += table.IsRelay() ? 1 : 0;
  }
  EXPECT_EQ(relays, 4u);
}

}  // namespace
}  // namespace shallotport
