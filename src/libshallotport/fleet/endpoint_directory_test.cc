#include "fleet/endpoint_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

endpoint_report Report(uint64_t start_time,
                       uint64_t sequence,
                       endpoint_stage stage) {
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.start_time_ms = start_time;
  report.sequence = sequence;
  report.stage = stage;
  return report;
}

constexpr auto kReady = endpoint_stage::kReady;
constexpr auto kDraining = endpoint_stage::kDraining;
constexpr auto kLeft = endpoint_stage::kLeft;

struct order_case {
  std::string name;
  std::vector<endpoint_report> reports;  // As they arrive.
  endpoint_stage stage;                  // At the end.
  uint64_t start_time;
};

class report_order : public testing::TestWithParam<order_case> {};

TEST_P(report_order, NewestReportOfNewestStartApplies) {
  endpoint_directory directory;
  for (const endpoint_report& report : GetParam().reports) {
    directory.Apply({}, report);
  }
  const auto* found = directory.Find(endpoint_id("e"));
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->report.stage, GetParam().stage);
  EXPECT_EQ(found->report.start_time_ms, GetParam().start_time);
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
                               {Report(1, 5, kLeft), Report(1, 9, kReady)},
                               kLeft,
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
                               {Report(1, 5, kLeft), Report(2, 1, kReady)},
                               kReady,
                               2}),
    [](const auto& info) { return info.param.name; });

// A leave that does not say of which start it is, heard at `left` by the
// host's time of day.
endpoint_report Leave(uint64_t leave_time, uint64_t start_time = 0) {
  endpoint_report report = Report(start_time, 0, kLeft);
  report.leave_time_ms = leave_time;
  return report;
}

struct leave_case {
  std::string name;
  std::vector<endpoint_report> reports;  // As they arrive.
  std::chrono::seconds last_after{0};    // The last one, after the others.
  endpoint_stage stage;                  // At the end.
};

class unnamed_leave : public testing::TestWithParam<leave_case> {};

TEST_P(unnamed_leave, EndsEveryEarlierStart) {
  endpoint_directory directory;
  const auto& reports = GetParam().reports;
  for (size_t i = 0; i < reports.size(); ++i) {
    const bool is_last = i + 1 == reports.size();
    directory.Apply(
        steady_time(is_last ? GetParam().last_after : std::chrono::seconds(0)),
        reports[i]);
  }
  const auto* found = directory.Find(endpoint_id("e"));
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->report.stage, GetParam().stage);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    unnamed_leave,
    testing::Values(
        leave_case{"a_late_report_of_a_start_that_was_not_known",
                   {Leave(1'000), Report(900, 1, kReady)},
                   std::chrono::seconds(2),
                   kLeft},
        leave_case{
            "a_late_report_of_a_later_start_than_the_known_one",
            {Report(500, 7, kReady), Leave(1'000, 500), Report(900, 1, kReady)},
            std::chrono::seconds(2),
            kLeft},
        leave_case{"a_start_after_the_leave",
                   {Leave(1'000), Report(1'001, 1, kReady)},
                   std::chrono::seconds(2),
                   kReady},
        leave_case{"a_start_that_still_reports_long_after_the_leave",
                   {Leave(1'000), Report(900, 30, kReady)},
                   std::chrono::seconds(16),
                   kReady},
        leave_case{"a_leave_that_another_host_heard_without_knowing_the_start",
                   {Report(900, 1, kReady), Leave(1'000)},
                   std::chrono::seconds(0),
                   kLeft},
        leave_case{"the_known_start_whose_clock_is_ahead",
                   {Report(2'000, 1, kReady), Leave(1'000, 2'000),
                    Report(2'000, 2, kReady)},
                   std::chrono::seconds(20),
                   kLeft},
        leave_case{"a_leave_from_before_the_known_start",
                   {Report(1'500, 1, kReady), Leave(1'000)},
                   std::chrono::seconds(0),
                   kReady}),
    [](const auto& info) { return info.param.name; });

TEST(endpoint_directory_test, LeaveIsKeptLongerThanSilentEndpoint) {
  endpoint_directory directory;
  directory.Apply({}, Report(1, 5, kLeft));
  directory.Expire(steady_time(std::chrono::seconds(90)));
  EXPECT_FALSE(directory.Apply({}, Report(1, 6, kReady)));
  directory.Expire(steady_time(std::chrono::seconds(200)));
  EXPECT_TRUE(directory.entries().empty());
}

TEST(endpoint_directory_test, ReportAgeIncludesTimeInDirectory) {
  endpoint_directory directory;
  endpoint_report report = Report(1, 1, kReady);
  report.age_ms = 200;
  directory.Apply(steady_time(std::chrono::seconds(10)), report);
  const auto reports = directory.Reports(steady_time(std::chrono::seconds(11)));
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].age_ms, 1'200u);
}

}  // namespace

}  // namespace shallotport
