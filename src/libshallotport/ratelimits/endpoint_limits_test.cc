#include "ratelimits/endpoint_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/codec.h"
#include "ratelimits/limit_messages.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const endpoint_start kStart{endpoint_id("e"), 5};
constexpr steady_time kBegin{std::chrono::seconds(100)};

struct answer {
  uint64_t start_time_ms = 5;
  std::optional<double> per_second;
  int at_ms = 0;  // Answers of other hosts may be heard of late.
};

struct answers_case {
  std::string name;
  std::vector<answer> answers;  // In the order in which they become known.
  double per_second;            // Of kStart, at last; 0: no limit.
};

class limit_of_a_start : public testing::TestWithParam<answers_case> {};

TEST_P(limit_of_a_start, IsTheOneOfItsLastAnswer) {
  endpoint_limits limits;
  for (const answer& each : GetParam().answers) {
    limits.RecordAnswer(kBegin + milliseconds(each.at_ms),
                        {endpoint_id("e"), each.start_time_ms},
                        each.per_second);
  }
  EXPECT_EQ(limits.PerSecond(kStart), GetParam().per_second);
  EXPECT_EQ(limits.IsLimited(kStart), GetParam().per_second > 0);
  EXPECT_TRUE(limits.MaySend(kBegin, {endpoint_id("f"), 5}, true));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    limit_of_a_start,
    testing::Values(
        answers_case{"none", {}, 0},
        answers_case{"named", {{5, 2.5}}, 2.5},
        answers_case{"changed", {{5, 2.5}, {5, 4.0, 10}}, 4},
        answers_case{"ended", {{5, 2.5}, {5, std::nullopt, 10}}, 0},
        answers_case{"named_again",
                     {{5, 2.5}, {5, std::nullopt, 10}, {5, 3.0, 20}},
                     3},
        answers_case{"heard_late", {{5, 2.5, 10}, {5, std::nullopt, 0}}, 2.5},
        answers_case{"later_start", {{4, 2.5}}, 0},
        answers_case{"earlier_start", {{5, 2.5}, {4, std::nullopt, 10}}, 2.5},
        answers_case{"zero", {{5, 0.0}}, 0.2},
        answers_case{"huge", {{5, 1e300}}, 1e6}),
    [](const auto& info) { return info.param.name; });

struct rate_case {
  std::string name;
  double per_second;
  // Of hosts that send by their own decision; they send whenever they may.
  std::vector<double> shares;
  int idle_ms = 0;  // Before the first request.
};

class sent_requests : public testing::TestWithParam<rate_case> {};

TEST_P(sent_requests, StayWithinTheLimitInEveryWindowAndUseIt) {
  std::vector<endpoint_limits> hosts(GetParam().shares.size());
  steady_time now = kBegin;
  for (size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].SetShare(now, GetParam().shares[i]);
    hosts[i].RecordAnswer(now, kStart, GetParam().per_second);
  }
  now += milliseconds(GetParam().idle_ms);
  std::deque<steady_time> window;
  size_t most = 0;
  size_t total = 0;
  for (int ms = 0; ms < 60'000; ms += 10, now += milliseconds(10)) {
    for (endpoint_limits& host : hosts) {
      const auto wait = host.WaitFor(now, kStart);
      while (host.MaySend(now, kStart, false)) {
        EXPECT_EQ(wait, duration(0));
        host.RecordSent(now, kStart);
        window.push_back(now);
        ++total;
      }
    }
    while (!window.empty() && window.front() + milliseconds(4'000) <= now) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  const double allowed = 1.5 * 4 * GetParam().per_second + 5;
  EXPECT_LE(static_cast<double>(most), allowed);
  double share = 0;
  for (const double each : GetParam().shares) {
    share += each;
  }
  EXPECT_GE(static_cast<double>(total),
            0.9 * 60 * GetParam().per_second * share - 1);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    sent_requests,
    testing::Values(
        rate_case{"leader", 2.4, {1}},
        rate_case{"after_a_pause", 2.4, {1}, 30'000},
        rate_case{"high", 40, {1}, 30'000},
        rate_case{"low", 0.2, {1}, 30'000},
        rate_case{"leader_and_hosts_with_its_grants", 2.4, {1, 0, 0, 0}},
        rate_case{"no_leader", 2.4, std::vector<double>(8, 1.0 / 8)},
        rate_case{"leader_and_hosts_cut_off", 2.4, {1, 1.0 / 8, 1.0 / 8}}),
    [](const auto& info) { return info.param.name; });

TEST(endpoint_limits_test, BatchRequestsLeaveRoomForOnlineOnes) {
  endpoint_limits limits;
  limits.SetShare(kBegin, 1);
  limits.RecordAnswer(kBegin, kStart, 20);
  const steady_time now = kBegin + std::chrono::seconds(5);
  int batch = 0;
  for (; limits.MaySend(now, kStart, true); ++batch) {
    limits.RecordSent(now, kStart);
  }
  int online = 0;
  for (; limits.MaySend(now, kStart, false); ++online) {
    limits.RecordSent(now, kStart);
  }
  EXPECT_EQ(batch, 20);
  EXPECT_EQ(online, 20);
}

// A burst after the leader was lost or won must not add to what was sent
// before.
TEST(endpoint_limits_test, HigherShareBeginsWithNothing) {
  endpoint_limits limits;
  limits.SetShare(kBegin, 0.1);
  limits.RecordAnswer(kBegin, kStart, 4);
  const steady_time now = kBegin + std::chrono::seconds(60);
  EXPECT_TRUE(limits.MaySend(now, kStart, false));
  limits.SetShare(now, 1);
  EXPECT_FALSE(limits.MaySend(now, kStart, false));
  EXPECT_EQ(limits.WaitFor(now, kStart), milliseconds(250));
}

TEST(endpoint_limits_test, HostsLearnFromEachOther) {
  endpoint_limits leader;
  endpoint_limits host;
  host.RecordAnswer(kBegin, kStart, 2);
  leader.RecordAnswer(kBegin, {endpoint_id("f"), 1}, 3);
  const auto news = host.NewerThan(kBegin, leader.Records(kBegin));
  ASSERT_EQ(news.size(), 1u);
  const auto sent = DecodeLimits(EncodeLimits(news));
  ASSERT_TRUE(IsOk(sent));
  EXPECT_EQ(ValueOf(sent), news);
  EXPECT_TRUE(leader.Merge(kBegin, ValueOf(sent)));
  EXPECT_FALSE(leader.Merge(kBegin, ValueOf(sent)));
  EXPECT_TRUE(host.Merge(kBegin, leader.Records(kBegin)));
  EXPECT_TRUE(host.NewerThan(kBegin, leader.Records(kBegin)).empty());
  // The limit ends; an older record does not bring it back.
  const steady_time later = kBegin + std::chrono::seconds(1);
  const auto before = leader.Records(kBegin);
  EXPECT_TRUE(host.RecordAnswer(later, kStart, std::nullopt));
  EXPECT_TRUE(
      leader.Merge(later, host.NewerThan(later, leader.Records(later))));
  EXPECT_FALSE(leader.IsLimited(kStart));
  auto old = before;
  for (limit_record& each : old) {
    each.age_ms += 1'000;
  }
  leader.Merge(later, old);
  EXPECT_FALSE(leader.IsLimited(kStart));
  EXPECT_EQ(leader.limited_count(), 1u);
  EXPECT_TRUE(leader.Records(later + std::chrono::hours(1)).empty());
}

TEST(endpoint_limits_test, IsBounded) {
  endpoint_limits limits;
  for (int i = 0; i < 10'000; ++i) {
    limits.RecordAnswer(kBegin + milliseconds(i),
                        {endpoint_id("e" + std::to_string(i)), 1}, 2);
  }
  EXPECT_EQ(limits.limited_count(), 4'096u);
  EXPECT_TRUE(limits.IsLimited({endpoint_id("e9999"), 1}));
}

struct bad_frame {
  std::string name;
  std::string bytes;
};

class limit_frames : public testing::TestWithParam<bad_frame> {};

TEST_P(limit_frames, ThatAreDamagedAreErrors) {
  EXPECT_FALSE(IsOk(DecodeLimits(GetParam().bytes)));
}

std::string FrameOf(double per_second) {
  return EncodeLimits({{kStart, true, per_second, 7}});
}

INSTANTIATE_TEST_SUITE_P(
    table,
    limit_frames,
    testing::Values(bad_frame{"empty", ""},
                    bad_frame{"cut_off",
                              FrameOf(2).substr(0, FrameOf(2).size() - 3)},
                    bad_frame{"negative", FrameOf(-1)},
                    bad_frame{"not_a_number", FrameOf(std::nan(""))},
                    bad_frame{"infinite", FrameOf(HUGE_VAL)}),
    [](const auto& info) { return info.param.name; });

TEST(limit_messages_test, FieldsOfLaterBuildsArePassedOver) {
  const std::vector<std::string> records = {
      Encode(limit_record{kStart, true, 2, 7}) + "more fields"};
  const auto decoded = DecodeLimits(Encode(records) + "and more");
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded)[0], (limit_record{kStart, true, 2, 7}));
}

}  // namespace

}  // namespace shallotport
