#include "entry/usual_time_limit.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

struct limit_case {
  const char* name;
  std::vector<int> limits_ms;
  std::vector<int> elapsed_ms;
};

class usual_time_limit_test : public testing::TestWithParam<limit_case> {};

TEST_P(usual_time_limit_test, TellsReturnedCallersByTheirShorterLimit) {
  usual_time_limit usual;
  std::vector<int> elapsed_ms;
  for (const int limit_ms : GetParam().limits_ms) {
    elapsed_ms.push_back(static_cast<int>(
        usual.RecordAndGetElapsed("r", milliseconds(limit_ms)).count()));
  }
  EXPECT_EQ(elapsed_ms, GetParam().elapsed_ms);
}

INSTANTIATE_TEST_SUITE_P(
    limits,
    usual_time_limit_test,
    testing::Values(
        limit_case{"all_new", {5000, 5000, 5000}, {0, 0, 0}},
        limit_case{"returned_once", {5000, 5000, 4400, 5000}, {0, 0, 600, 0}},
        limit_case{"within_the_tolerance", {5000, 5000, 4990}, {0, 0, 0}},
        limit_case{"longer_limit_is_new", {5000, 5000, 9000}, {0, 0, 0}},
        limit_case{"unstated", {0, 5000, 0}, {0, 0, 0}},
        limit_case{"route_gets_another_limit",
                   {5000, 3000, 3000, 3000, 3000},
                   {0, 2000, 0, 0, 0}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace

}  // namespace shallotport
