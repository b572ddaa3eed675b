#include "fleet/endpoint_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

endpoint_report Report(uint64_t born, uint64_t sequence, endpoint_stage stage) {
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.born_ms = born;
  report.sequence = sequence;
  report.stage = stage;
  return report;
}

constexpr auto kReady = endpoint_stage::kReady;
constexpr auto kDraining = endpoint_stage::kDraining;
constexpr auto kGone = endpoint_stage::kGone;

struct order_case {
  std::string name;
  std::vector<endpoint_report> reports;  // As they arrive.
  endpoint_stage stage;                  // At the end.
  uint64_t born;
};

class report_order : public testing::TestWithParam<order_case> {};

TEST_P(report_order, TheLatestWordOfTheLatestStartCounts) {
  endpoint_directory directory;
  for (const endpoint_report& report : GetParam().reports) {
    directory.Apply({}, report);
  }
  const auto* found = directory.Find(endpoint_id("e"));
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->report.stage, GetParam().stage);
  EXPECT_EQ(found->report.born_ms, GetParam().born);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    report_order,
    testing::Values(order_case{"draining_stands_against_a_late_report",
                               {Report(1, 5, kDraining), Report(1, 4, kReady)},
                               kDraining,
                               1},
                    order_case{"draining_does_not_become_ready",
                               {Report(1, 5, kDraining), Report(1, 6, kReady)},
                               kDraining,
                               1},
                    order_case{"gone_is_the_end_of_a_start",
                               {Report(1, 5, kGone), Report(1, 9, kReady)},
                               kGone,
                               1},
                    order_case{
                        "a_later_start_counts_though_its_numbers_begin_anew",
                        {Report(1, 50, kReady), Report(2, 1, kReady)},
                        kReady,
                        2},
                    order_case{"a_report_of_an_earlier_start_is_late",
                               {Report(2, 1, kReady), Report(1, 51, kDraining)},
                               kReady,
                               2},
                    order_case{"a_start_after_the_end",
                               {Report(1, 5, kGone), Report(2, 1, kReady)},
                               kReady,
                               2}),
    [](const auto& info) { return info.param.name; });

TEST(endpoint_directory_test, AnEndIsRememberedLongerThanSilence) {
  endpoint_directory directory;
  directory.Apply({}, Report(1, 5, kGone));
  directory.Expire(steady_time(std::chrono::seconds(90)));
  EXPECT_FALSE(directory.Apply({}, Report(1, 6, kReady)));
  directory.Expire(steady_time(std::chrono::seconds(200)));
  EXPECT_TRUE(directory.entries().empty());
}

TEST(endpoint_directory_test, ReportsCarryTheirAgeOn) {
  endpoint_directory directory;
  endpoint_report report = Report(1, 1, kReady);
  report.age_ms = 200;
  directory.Apply(steady_time(std::chrono::seconds(10)), report);
  const auto told = directory.Reports(steady_time(std::chrono::seconds(11)));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].age_ms, 1'200u);
}

}  // namespace

}  // namespace shallotport
