#include <gtest/gtest.h>

#include "shallotbench/arrival_plan.h"
#include "shallotbench/bench_report.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;

TEST(arrival_plan, FollowsItsRatesAndRepeats) {
  arrival_options options;
  options.rate = 10;
  options.burst_rate = 50;
  options.length = 1'000s;
  const std::vector<duration> arrivals = PlanArrivals(options);
  EXPECT_EQ(arrivals, PlanArrivals(options));
  size_t burst = 0;
  for (const duration at : arrivals) {
    burst += at % 10s >= 7s ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(burst), 50 * 300, 500);
  EXPECT_NEAR(static_cast<double>(arrivals.size() - burst), 10 * 700, 350);
}

struct percentile_case {
  double share;
  double expected_ms;
};

class sample_percentiles : public testing::TestWithParam<percentile_case> {};

TEST_P(sample_percentiles, AreNearestRanks) {
  std::vector<time_sample> samples;
  for (int i = 100; i >= 1; --i) {
    samples.push_back({0s, i * 1ms});
  }
  EXPECT_EQ(PercentileMs(samples, GetParam().share), GetParam().expected_ms);
}

INSTANTIATE_TEST_SUITE_P(Shares,
                         sample_percentiles,
                         testing::Values(percentile_case{0, 1},
                                         percentile_case{0.5, 50},
                                         percentile_case{0.95, 95},
                                         percentile_case{0.99, 99},
                                         percentile_case{1, 100}));

TEST(bench_report, RoundTripsAndRelatesArms) {
  arm_result alone;
  alone.arm = "online_alone";
  alone.seconds = 10;
  alone.online = {100, 100, 0, 0, 0};
  alone.first_tokens = {{1s, 40ms}};
  arm_result batch;
  batch.arm = "batch_alone";
  batch.seconds = 10;
  batch.batch = {{0s, 0}, {10s, 500}};
  arm_result guarded = alone;
  guarded.arm = "guarded";
  guarded.first_tokens = {{1s, 42ms}};
  guarded.batch = {{0s, 0}, {10s, 360}};
  const auto read = ArmFromJson(ArmToJson(guarded));
  ASSERT_TRUE(IsOk(read));
  const std::string table = ReportTable({alone, batch, ValueOf(read)});
  EXPECT_NE(table.find("| 1.05, 1.05 |"), std::string::npos) << table;
  EXPECT_NE(table.find("| 36.0 | 0.90 |"), std::string::npos) << table;
  EXPECT_NE(ReportSvg({alone, batch, guarded}).find("polyline"),
            std::string::npos);
}

}  // namespace
}  // namespace shallotport
