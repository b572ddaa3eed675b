#include "fleet/endpoint_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
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
  std::vector<endpoint_report> reports;  // In order of arrival.
  endpoint_stage stage;                  // After all reports.
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
    testing::Values(order_case{"draining_is_kept_on_stale_report",
                               {Report(1, 5, kDraining), Report(1, 4, kReady)},
                               kDraining,
                               1},
                    order_case{"draining_does_not_become_ready",
                               {Report(1, 5, kDraining), Report(1, 6, kReady)},
                               kDraining,
                               1},
                    order_case{"left_ends_a_start",
                               {Report(1, 5, kLeft), Report(1, 9, kReady)},
                               kLeft,
                               1},
                    order_case{"later_start_applies_despite_lower_sequence",
                               {Report(1, 50, kReady), Report(2, 1, kReady)},
                               kReady,
                               2},
                    order_case{"report_of_earlier_start_is_stale",
                               {Report(2, 1, kReady), Report(1, 51, kDraining)},
                               kReady,
                               2},
                    order_case{"start_after_left",
                               {Report(1, 5, kLeft), Report(2, 1, kReady)},
                               kReady,
                               2}),
    [](const auto& info) { return info.param.name; });

// A leave that does not name its start, received at `leave_time` by the host's
// wall clock.
endpoint_report Leave(uint64_t leave_time, uint64_t start_time = 0) {
  endpoint_report report = Report(start_time, 0, kLeft);
  report.leave_time_ms = leave_time;
  return report;
}

struct leave_case {
  std::string name;
  std::vector<endpoint_report> reports;  // In order of arrival.
  std::chrono::seconds last_after{0};    // Delay of the last one.
  endpoint_stage stage;                  // After all reports.
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
    testing::Values(leave_case{"delayed_report_of_unknown_earlier_start",
                               {Leave(1'000), Report(900, 1, kReady)},
                               std::chrono::seconds(2),
                               kLeft},
                    leave_case{"delayed_report_of_start_after_known_one",
                               {Report(500, 7, kReady), Leave(1'000, 500),
                                Report(900, 1, kReady)},
                               std::chrono::seconds(2),
                               kLeft},
                    leave_case{"start_after_leave",
                               {Leave(1'000), Report(1'001, 1, kReady)},
                               std::chrono::seconds(2),
                               kReady},
                    leave_case{"start_that_reports_long_after_leave",
                               {Leave(1'000), Report(900, 30, kReady)},
                               std::chrono::seconds(16),
                               kReady},
                    leave_case{
                        "leave_received_by_host_that_did_not_know_the_start",
                        {Report(900, 1, kReady), Leave(1'000)},
                        std::chrono::seconds(0),
                        kLeft},
                    leave_case{"known_start_with_clock_ahead",
                               {Report(2'000, 1, kReady), Leave(1'000, 2'000),
                                Report(2'000, 2, kReady)},
                               std::chrono::seconds(20),
                               kLeft},
                    leave_case{"leave_before_known_start",
                               {Report(1'500, 1, kReady), Leave(1'000)},
                               std::chrono::seconds(0),
                               kReady}),
    [](const auto& info) { return info.param.name; });

using source = endpoint_directory::source;

struct received_report {
  endpoint_report report;
  int at_s = 0;  // Since the first one.
  source from = source::kEndpoint;
};

struct outlived_leave_case {
  std::string name;
  std::vector<received_report> reports;
  endpoint_stage stage;  // After all reports.
};

class outlived_leave : public testing::TestWithParam<outlived_leave_case> {};

// An old leave had ended the endpoint's next start for two minutes.
TEST_P(outlived_leave, StartThatGoesOnReportingIsUsedAgain) {
  endpoint_directory directory;
  for (const received_report& each : GetParam().reports) {
    directory.Apply(steady_time(std::chrono::seconds(each.at_s)), each.report,
                    each.from);
  }
  EXPECT_EQ(directory.Find(endpoint_id("e"))->report.stage, GetParam().stage);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    outlived_leave,
    testing::Values(outlived_leave_case{"goes_on",
                                        {{Report(900, 1, kReady)},
                                         {Leave(1'000, 900)},
                                         {Report(900, 2, kReady), 5},
                                         {Report(900, 3, kReady), 10},
                                         {Report(900, 4, kReady), 16}},
                                        kReady},
                    outlived_leave_case{"drains",
                                        {{Report(900, 1, kReady)},
                                         {Leave(1'000, 900)},
                                         {Report(900, 2, kReady), 5},
                                         {Report(900, 3, kReady), 10},
                                         {Report(900, 4, kDraining), 16}},
                                        kDraining},
                    outlived_leave_case{"not_for_long_enough",
                                        {{Report(900, 1, kReady)},
                                         {Leave(1'000, 900)},
                                         {Report(900, 2, kReady), 5},
                                         {Report(900, 3, kReady), 10},
                                         {Report(900, 4, kReady), 14}},
                                        kLeft},
                    outlived_leave_case{"delayed_copies",
                                        {{Report(900, 1, kReady)},
                                         {Leave(1'000, 900)},
                                         {Report(900, 2, kReady), 5},
                                         {Report(900, 2, kReady), 10},
                                         {Report(900, 2, kReady), 16}},
                                        kLeft},
                    outlived_leave_case{"leave_names_its_start",
                                        {{Report(900, 1, kReady)},
                                         {Report(900, 1, kLeft)},
                                         {Report(900, 2, kReady), 5},
                                         {Report(900, 3, kReady), 10},
                                         {Report(900, 4, kReady), 16}},
                                        kLeft},
                    outlived_leave_case{
                        "passed_on",
                        {{Report(900, 1, kReady), 0, source::kHost},
                         {Leave(1'000, 900), 0, source::kHost},
                         {Report(900, 9, kReady), 16, source::kHost}},
                        kReady}),
    [](const auto& info) { return info.param.name; });

struct address_case {
  std::string name;
  std::string other_ip;  // Of an endpoint that is known already.
  uint64_t other_start;
  endpoint_stage other_stage;
  bool is_earlier;
};

class same_address : public testing::TestWithParam<address_case> {};

TEST_P(same_address, EndpointThatStartedEarlierHasEnded) {
  endpoint_directory directory;
  endpoint_report other =
      Report(GetParam().other_start, 1, GetParam().other_stage);
  other.endpoint = endpoint_id("other");
  other.ip = GetParam().other_ip;
  directory.Apply({}, other);
  endpoint_report report = Report(5, 1, kReady);
  report.ip = "10.0.0.1";
  directory.Apply({}, report);
  EXPECT_EQ(!directory.EarlierAtAddress(report).empty(), GetParam().is_earlier);
  EXPECT_TRUE(directory.EarlierAtAddress(other).empty() ||
              GetParam().other_start > 5);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    same_address,
    testing::Values(address_case{"earlier", "10.0.0.1", 4, kReady, true},
                    address_case{"draining", "10.0.0.1", 4, kDraining, true},
                    address_case{"left", "10.0.0.1", 4, kLeft, false},
                    address_case{"same_time", "10.0.0.1", 5, kReady, false},
                    address_case{"later", "10.0.0.1", 6, kReady, false},
                    address_case{"elsewhere", "10.0.0.2", 4, kReady, false}),
    [](const auto& info) { return info.param.name; });

TEST(endpoint_directory_test, LeaveIsKeptLongerThanSilentEndpoint) {
  endpoint_directory directory;
  directory.Apply({}, Report(1, 5, kLeft));
  directory.Expire(steady_time(std::chrono::seconds(90)));
  EXPECT_FALSE(directory.Apply({}, Report(1, 6, kReady)));
  directory.Expire(steady_time(std::chrono::seconds(200)));
  EXPECT_TRUE(directory.entries().empty());
}

struct former_case {
  std::string name;
  std::vector<std::string> versions;  // Of one start after the other.
  std::vector<std::string> former;    // Kept as endpoints that have left.
};

class former_versions : public testing::TestWithParam<former_case> {};

// Hosts that started later knew of an endpoint's last version only.
TEST_P(former_versions, AreKeptAsEndpointsThatHaveLeft) {
  endpoint_directory directory;
  endpoint_directory later;  // Of a host that learns what this one knows.
  uint64_t start = 0;
  steady_time now{};
  for (const std::string& version : GetParam().versions) {
    endpoint_report report = Report(++start, 1, kReady);
    report.service = service_id("svc");
    report.software_version = version;
    now += std::chrono::seconds(1);
    ASSERT_TRUE(directory.Apply(now, report));
  }
  std::vector<std::string> former;
  for (const endpoint_report& each : directory.Reports(now)) {
    later.Apply(now, each, endpoint_directory::source::kHost);
    if (each.endpoint != endpoint_id("e")) {
      EXPECT_EQ(each.stage, kLeft);
      EXPECT_TRUE(IsOk(CheckReport(each)));
      former.push_back(each.software_version);
    }
  }
  std::sort(former.begin(), former.end());
  EXPECT_EQ(former, GetParam().former);
  EXPECT_EQ(later.entries().size(), directory.entries().size());
  EXPECT_EQ(directory.Find(endpoint_id("e"))->report.stage, kReady);
  directory.Expire(now + std::chrono::seconds(125));
  EXPECT_TRUE(directory.entries().empty());
}

INSTANTIATE_TEST_SUITE_P(
    table,
    former_versions,
    testing::Values(
        former_case{"same", {"v1", "v1"}, {}},
        former_case{"another", {"v1", "v2"}, {"v1"}},
        former_case{"two_others", {"v1", "v2", "v3"}, {"v1", "v2"}},
        former_case{"back_again", {"v1", "v2", "v1", "v2"}, {"v1", "v2"}},
        former_case{"not_known_before", {"", "v1"}, {}}),
    [](const auto& info) { return info.param.name; });

// A stream may be resumed for two minutes; after one, hosts that started did
// not hear of the version of an endpoint that had ended without a word.
TEST(endpoint_directory_test, VersionOfSilentEndpointIsKeptForTwoMinutes) {
  endpoint_directory directory;
  endpoint_report report = Report(1, 1, kReady);
  report.service = service_id("svc");
  report.software_version = "v1";
  const steady_time start{std::chrono::seconds(1'000)};
  directory.Apply(start, report);
  directory.Expire(start + std::chrono::seconds(59));
  EXPECT_NE(directory.Find(endpoint_id("e")), nullptr);
  const steady_time silent = start + std::chrono::seconds(61);
  directory.Expire(silent);
  EXPECT_EQ(directory.Find(endpoint_id("e")), nullptr);
  const auto reports = directory.Reports(silent);
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].stage, kLeft);
  EXPECT_EQ(reports[0].software_version, "v1");
  EXPECT_EQ(reports[0].age_ms, 61'000u);
  EXPECT_TRUE(IsOk(CheckReport(reports[0])));
  endpoint_directory later;  // Of a host that starts.
  EXPECT_TRUE(
      later.Apply(silent, reports[0], endpoint_directory::source::kHost));
  // The endpoint was only cut off.
  report.sequence = 2;
  EXPECT_TRUE(directory.Apply(silent, report));
  EXPECT_EQ(directory.Find(endpoint_id("e"))->report.stage, kReady);
  for (endpoint_directory* each : {&directory, &later}) {
    each->Expire(start + std::chrono::seconds(119));
    EXPECT_EQ(each->entries().size(), each == &later ? 1u : 2u);
  }
  later.Expire(start + std::chrono::seconds(121));
  EXPECT_TRUE(later.entries().empty());
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
