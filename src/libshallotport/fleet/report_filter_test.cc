#include "fleet/report_filter.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const steady_time kStart{milliseconds(1'000'000)};

endpoint_report MakeReport(uint64_t sequence) {
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = service_id("svc");
  report.ip = "10.0.0.1";
  report.port = 80;
  report.slots = 8;
  report.start_time_ms = 7;
  report.sequence = sequence;
  return report;
}

TEST(report_filter_test, ReportsWithoutNewsArePassedOnEveryFewSeconds) {
  report_filter filter;
  int passed = 0;
  for (int i = 0; i < 20; ++i) {
    const steady_time now = kStart + i * milliseconds(1'000);
    passed += filter.ShouldPassOn(now, MakeReport(i + 1)) ? 1 : 0;
  }
  EXPECT_EQ(passed, 4);
}

struct news_case {
  const char* name;
  void (*change)(endpoint_report& report);
};

class report_news : public testing::TestWithParam<news_case> {};

TEST_P(report_news, IsPassedOnAtOnce) {
  report_filter filter;
  EXPECT_TRUE(filter.ShouldPassOn(kStart, MakeReport(1)));
  EXPECT_FALSE(filter.ShouldPassOn(kStart, MakeReport(2)));
  endpoint_report changed = MakeReport(3);
  GetParam().change(changed);
  EXPECT_TRUE(filter.ShouldPassOn(kStart, changed));
  // So is the change back.
  EXPECT_TRUE(filter.ShouldPassOn(kStart, MakeReport(4)));
}

INSTANTIATE_TEST_SUITE_P(
    fields,
    report_news,
    testing::Values(
        news_case{
            "draining",
            [](endpoint_report& r) { r.stage = endpoint_stage::kDraining; }},
        news_case{"left",
                  [](endpoint_report& r) { r.stage = endpoint_stage::kLeft; }},
        news_case{"restarted", [](endpoint_report& r) { r.start_time_ms = 8; }},
        news_case{"address", [](endpoint_report& r) { r.ip = "10.0.0.2"; }},
        news_case{"port", [](endpoint_report& r) { r.port = 81; }},
        news_case{"service",
                  [](endpoint_report& r) { r.service = service_id("other"); }},
        news_case{"domain",
                  [](endpoint_report& r) { r.domain = domain_id("b"); }},
        news_case{"slots", [](endpoint_report& r) { r.slots = 4; }},
        news_case{"software_version",
                  [](endpoint_report& r) { r.software_version = "v2"; }},
        news_case{"cold", [](endpoint_report& r) { r.cold_remaining_ms = 9; }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace

}  // namespace shallotport
