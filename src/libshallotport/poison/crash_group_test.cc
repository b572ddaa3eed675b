#include "poison/crash_group.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

steady_time At(int ms) {
  return steady_time{milliseconds(ms)};
}

struct split_case {
  std::string name;
  // Begin and end of each attempt, in ms.
  std::vector<std::pair<int, int>> attempts;
  std::vector<size_t> sizes;
};

class crash_group_split : public testing::TestWithParam<split_case> {};

TEST_P(crash_group_split, JoinsCrashesWhoseAttemptsOverlap) {
  std::vector<endpoint_crash> crashes;
  for (const auto& [begun, broken] : GetParam().attempts) {
    crashes.push_back({crashes.size(), domain_id("d"), At(broken), At(begun)});
  }
  std::vector<size_t> sizes;
  for (const crash_group& each : crash_group::Split(crashes)) {
    EXPECT_LE(each.first_at(), each.last_at());
    sizes.push_back(each.size());
  }
  EXPECT_EQ(sizes, GetParam().sizes);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    crash_group_split,
    testing::Values(split_case{"none", {}, {}},
                    split_case{"one_after_the_other",
                               {{0, 100}, {100, 200}, {300, 400}},
                               {1, 1, 1}},
                    split_case{"at_once", {{0, 100}, {20, 110}, {99, 90}}, {3}},
                    split_case{"not_in_order",
                               {{500, 600}, {0, 100}, {510, 590}, {90, 120}},
                               {2, 2}},
                    // It began before the first of them ended.
                    split_case{"long_attempt", {{0, 100}, {50, 9'000}}, {2}}),
    [](const auto& info) { return info.param.name; });

struct chance_case {
  std::string name;
  std::vector<std::string> crashed;  // Failure domains.
  endpoint_population population;
  double chance;
};

class crash_group_chance : public testing::TestWithParam<chance_case> {};

TEST_P(crash_group_chance, IsThatOfEndpointsThatEndForReasonsOfTheirOwn) {
  std::vector<endpoint_crash> crashes;
  for (const std::string& domain : GetParam().crashed) {
    crashes.push_back({crashes.size(), domain_id(domain), At(100), At(0)});
  }
  const auto groups = crash_group::Split(crashes);
  ASSERT_EQ(groups.size(), 1u);
  EXPECT_NEAR(groups[0].ChanceOfCoincidence(GetParam().population),
              GetParam().chance, 1e-9);
}

const domain_id kA("a");
const domain_id kB("b");
const domain_id kC("c");

INSTANTIATE_TEST_SUITE_P(
    table,
    crash_group_chance,
    testing::Values(chance_case{"all_that_ended_had_the_key",
                                {"a", "a", "b", "b", "c", "c"},
                                {{kA, {6, 2}}, {kB, {6, 2}}, {kC, {6, 2}}},
                                1.0 / 18'564},
                    chance_case{"others_ended_as_well",
                                {"a", "a", "b", "b"},
                                {{kA, {6, 3}}, {kB, {6, 3}}, {kC, {6, 3}}},
                                126.0 / 3'060},
                    chance_case{"all_ended",
                                {"a", "a", "b", "b"},
                                {{kA, {2, 2}}, {kB, {2, 2}}},
                                1},
                    chance_case{"one_domain",
                                {"a", "a", "a", "a", "a"},
                                {{kA, {6, 5}}, {kB, {6, 0}}, {kC, {6, 0}}},
                                1},
                    chance_case{"one_domain_goes_dark",
                                {"a", "a", "a", "b"},
                                {{kA, {3, 3}}, {kB, {6, 1}}, {kC, {6, 0}}},
                                1},
                    chance_case{"beside_a_dark_domain",
                                {"a", "a", "b", "b", "c", "c"},
                                {{kA, {2, 2}}, {kB, {6, 2}}, {kC, {6, 2}}},
                                1.0 / 495},
                    chance_case{"not_known", {"a", "a", "b", "b"}, {}, 1},
                    chance_case{
                        "from_earlier_builds",
                        {"", "", "", ""},
                        {{domain_id(), {0, 4}}, {kA, {6, 0}}, {kB, {6, 0}}},
                        1}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
