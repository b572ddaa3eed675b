#include "streams/stream_origins.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "base/random_source.h"
#include "streams/software_version_history.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRetention{30};
constexpr size_t kMaxCount = 40;
const service_id kService("llm");

stream_origin Origin(int version) {
  return {kService, "v" + std::to_string(version)};
}

TEST(stream_origins_test, LastRecordOfAStreamCounts) {
  stream_origins origins;
  origins.Record({}, 1, Origin(1));
  origins.Record({}, 1, Origin(2));
  EXPECT_EQ(*origins.Find({}, 1), Origin(2));
  // The origin that was found may be recorded again.
  origins.Record({}, 1, *origins.Find({}, 1));
  EXPECT_EQ(*origins.Find({}, 1), Origin(2));
  EXPECT_EQ(origins.Find({}, 2), nullptr);
}

TEST(stream_origins_test, ReportHasEachStreamOnce) {
  stream_origins origins;
  origins.Record({}, 1, Origin(1));
  origins.Record({}, 2, Origin(2));
  origins.Record({}, 3, Origin(1));
  origins.Record({}, 2, Origin(1));
  const stream_report report = origins.Report({});
  ASSERT_EQ(report.groups.size(), 1u);
  EXPECT_EQ(report.groups[0].origin, Origin(1));
  EXPECT_EQ(report.groups[0].streams.size(), 3u);
  EXPECT_TRUE(origins.Report(steady_time(seconds(121))).groups.empty());
}

// Random operations beside a plain record of every stream.
class random_streams : public testing::TestWithParam<uint64_t> {};

TEST_P(random_streams, AreKnownForTheRetentionUnlessNewerOnesFillTheTable) {
  struct truth {
    int version = 0;
    steady_time at{};
  };
  random_source random(GetParam());
  const auto below = [&random](int bound) {
    return static_cast<int>(UniformBelow(random, static_cast<uint64_t>(bound)));
  };
  stream_origins origins({kRetention, kMaxCount});
  std::map<uint64_t, truth> recorded;
  steady_time now{seconds(1'000)};
  for (int step = 0; step < 5'000; ++step) {
    now += below(100) == 0 ? milliseconds(below(20'000))
                           : milliseconds(below(1'000));
    const auto stream = static_cast<uint64_t>(below(80));
    if (below(2) == 0) {
      recorded[stream] = {below(4), now};
      origins.Record(now, stream, Origin(recorded[stream].version));
      ASSERT_LE(origins.size(), kMaxCount);
      continue;
    }
    const auto truly = recorded.find(stream);
    const stream_origin* found = origins.Find(now, stream);
    const bool is_recent =
        truly != recorded.end() && now <= truly->second.at + kRetention;
    if (found != nullptr) {
      ASSERT_TRUE(is_recent);
      ASSERT_EQ(*found, Origin(truly->second.version));
    } else if (is_recent) {
      const auto newer = std::count_if(
          recorded.begin(), recorded.end(),
          [&](const auto& each) { return each.second.at >= truly->second.at; });
      ASSERT_GT(newer, static_cast<int64_t>(kMaxCount));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_streams,
                         testing::Range<uint64_t>(1, 11));

TEST(software_version_history_test,
     VersionIsSoleOnceTheOthersHaveLongBeenGone) {
  software_version_history history;
  const steady_time start{seconds(1'000)};
  EXPECT_FALSE(history.SoleVersion(start, kService));
  history.Record(start, kService, "v1");
  history.Record(start, service_id("other"), "v9");
  EXPECT_EQ(history.SoleVersion(start, kService), "v1");
  history.Record(start + seconds(5), kService, "v2");
  history.Record(start + seconds(1), kService, "v2");  // Late.
  EXPECT_FALSE(history.SoleVersion(start + kStreamLifetime, kService));
  const steady_time later = start + kStreamLifetime + seconds(1);
  EXPECT_EQ(history.SoleVersion(later, kService), "v2");
  EXPECT_FALSE(history.SoleVersion(later + kStreamLifetime, kService));
}

}  // namespace

}  // namespace shallotport
