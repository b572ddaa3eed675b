#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "scenarios/scenario_file.h"

namespace shallotport {
namespace {

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string NameOf(const testing::TestParamInfo<std::string>& info) {
  std::string name = std::filesystem::path(info.param).stem().string();
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class scenario : public testing::TestWithParam<std::string> {};

TEST_P(scenario, Holds) {
  const status outcome = PlayScenarioFile(GetParam());
  EXPECT_TRUE(IsOk(outcome)) << ErrorOf(outcome).detail;
}

INSTANTIATE_TEST_SUITE_P(Files,
                         scenario,
                         testing::ValuesIn(ScenarioFiles()),
                         NameOf);

struct mistake_case {
  const char* name;
  const char* text;
  const char* expected;
};

class scenario_mistakes : public testing::TestWithParam<mistake_case> {};

TEST_P(scenario_mistakes, AreNamedWithTheirLine) {
  const status outcome = PlayScenario(GetParam().text, "file");
  ASSERT_FALSE(IsOk(outcome));
  EXPECT_EQ(ErrorOf(outcome).detail, GetParam().expected);
}

#define SCENARIO_HEAD "name: n\npromise: p\nworld: domain\n"

INSTANTIATE_TEST_SUITE_P(
    Cases,
    scenario_mistakes,
    testing::Values(
        mistake_case{"no_map", "- 1",
                     "file:1: expected name, promise, world, "
                     "given and steps"},
        mistake_case{"unknown_key", SCENARIO_HEAD "other: 1\nsteps: [{do: x}]",
                     "file:4: unknown key \"other\""},
        mistake_case{"unknown_world",
                     "name: n\npromise: p\nworld: w\nsteps: [{do: x}]",
                     "file:3: unknown world"},
        mistake_case{"no_steps", SCENARIO_HEAD "given: {hosts: 2}",
                     "file:1: steps: expected a list of steps"},
        mistake_case{"unknown_action",
                     SCENARIO_HEAD "given: {hosts: 2}\nsteps:\n- do: fly",
                     "file:6: unknown action \"fly\""},
        mistake_case{"unknown_argument",
                     SCENARIO_HEAD
                     "given: {hosts: 2}\nsteps:\n- do: heal\n  now: 1",
                     "file:6: unknown argument \"now\""},
        mistake_case{"bad_time",
                     SCENARIO_HEAD "given: {hosts: 2}\nsteps:\n- advance: 3x",
                     "file:6: advance: expected a time such as 250ms, 3s or "
                     "2min"},
        mistake_case{"failed_expectation",
                     SCENARIO_HEAD "given: {hosts: 2}\nsteps:\n- advance: 9s\n"
                                   "- expect: live\n  at: 0\n  count: 4",
                     "file:7: live hosts seen by host 0 is 1, expected 4"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace shallotport
