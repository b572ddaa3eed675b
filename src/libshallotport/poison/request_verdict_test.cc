#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "poison/crash_attribution.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const service_id kService("llm");
constexpr prompt_part kPopular = 1;
constexpr prompt_part kRare = 2;
constexpr request_digest kDeadly = 77;

const request_traits kDeadlyRequest{{kPopular, kRare}, kDeadly};
const request_traits kPlainRequest{{}, kDeadly};
const request_traits kItem{{kPopular, kRare}, 0};
const request_traits kOther{{kPopular}, 78};
const request_traits kNeighbour{{kPopular, kRare}, 79};

// One thing that happens, `after_ms` after the one before.
struct step {
  enum class kind : uint8_t { kCrash, kAnswer, kBreak };

  int after_ms = 0;
  kind what = kind::kCrash;
  std::vector<request_traits> requests;
  int count = 1;
  uint32_t ran_ms = 50;
};

step Crash(int after_ms,
           std::vector<request_traits> requests,
           uint32_t ran_ms = 50) {
  return {after_ms, step::kind::kCrash, std::move(requests), 1, ran_ms};
}
step Answers(int after_ms, request_traits request, int count = 3) {
  return {after_ms, step::kind::kAnswer, {std::move(request)}, count};
}
step Breaks(int after_ms, int count) {
  return {after_ms, step::kind::kBreak, {}, count};
}

// A host's view of its fleet, with a clock of its own.
class test_host {
 public:
  explicit test_host(uint64_t seed = 1)
      : attribution(crash_attribution::role::kRelay, seed) {}

  void Pass(int ms) { now += milliseconds(ms); }
  void Perform(const step& each) {
    Pass(each.after_ms);
    for (int i = 0; i < each.count; ++i) {
      switch (each.what) {
        case step::kind::kCrash:
          PerformCrash(each);
          break;
        case step::kind::kAnswer:
          attribution.RecordWholeAnswer(now, kService, each.requests[0]);
          break;
        case step::kind::kBreak:
          attribution.RecordBreak(now, kService);
          break;
      }
    }
    attribution.Update(now);
  }
  bool IsBlocked(const request_traits& traits) {
    attribution.Update(now);
    return attribution.IsBlocked(now, traits);
  }

  crash_attribution attribution;
  steady_time now{std::chrono::seconds(100)};
  uint64_t next_id = 1;

 private:
  void PerformCrash(const step& each) {
    const uint64_t endpoint = next_id++;
    for (const request_traits& request : each.requests) {
      attribution.RecordBreak(now, kService);
      attribution.RecordCrash(
          now, {endpoint, next_id++, kService, 0, each.ran_ms, request.parts,
                request.digest});
    }
  }
};

struct request_case {
  std::string name;
  std::vector<step> steps;
  int wait_ms = 0;  // After the last step.
  bool is_blocked = false;
};

class request_verdict : public testing::TestWithParam<request_case> {};

TEST_P(request_verdict, BlocksTheRequestAndNeitherItsPartsNorItsNeighbours) {
  test_host host;
  host.Perform(Answers(0, kOther, 100));
  for (const step& each : GetParam().steps) {
    host.Perform(each);
  }
  host.Pass(GetParam().wait_ms);
  EXPECT_EQ(host.IsBlocked(kPlainRequest), GetParam().is_blocked);
  EXPECT_FALSE(host.IsBlocked(kOther));
  EXPECT_FALSE(host.IsBlocked(kNeighbour));
  EXPECT_FALSE(host.IsBlocked(kItem));
}

INSTANTIATE_TEST_SUITE_P(
    must_be_blocked,
    request_verdict,
    testing::Values(
        request_case{"seconds_apart",
                     {Crash(0, {kDeadlyRequest, kOther}), Answers(200, kOther),
                      Crash(3'000, {kOther, kDeadlyRequest}),
                      Answers(200, kOther), Crash(4'000, {kDeadlyRequest})},
                     20,
                     true},
        request_case{
            "plain_call",
            {Crash(0, {kPlainRequest}), Answers(10, kOther),
             Crash(200, {kPlainRequest}), Crash(1'000, {kPlainRequest})},
            20,
            true},
        request_case{"its_rare_part_is_answered_between",
                     {Crash(0, {kDeadlyRequest}), Crash(200, {kDeadlyRequest}),
                      Answers(100, kNeighbour), Crash(1'200, {kDeadlyRequest}),
                      Answers(100, kNeighbour)},
                     20,
                     true},
        // Its client had resent a request with the same prompt once.
        request_case{"its_parts_are_in_more_crashes",
                     {Answers(0, kNeighbour), Crash(0, {kNeighbour}),
                      Crash(200, {kDeadlyRequest, kNeighbour}),
                      Answers(10, kOther), Crash(200, {kDeadlyRequest}),
                      Crash(1'200, {kDeadlyRequest}), Answers(10, kNeighbour)},
                     20,
                     true},
        request_case{
            "where_attempts_often_break",
            {Breaks(0, 60), Crash(0, {kDeadlyRequest}), Answers(10, kOther),
             Crash(1'000, {kDeadlyRequest}), Crash(2'000, {kDeadlyRequest}),
             Crash(1'000, {kDeadlyRequest}), Crash(1'000, {kDeadlyRequest}),
             Crash(1'000, {kDeadlyRequest})},
            20,
            true},
        request_case{
            "several_at_once",
            {Crash(0, {kDeadlyRequest}, 60), Answers(1, kOther, 1),
             Crash(30, {kDeadlyRequest}, 60), Crash(30, {kDeadlyRequest}, 60)},
            500,
            true},
        request_case{
            "still_after_half_a_minute",
            {Crash(0, {kDeadlyRequest}), Answers(10, kOther),
             Crash(200, {kDeadlyRequest}), Crash(1'200, {kDeadlyRequest})},
            30'000,
            true}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    must_not_be_blocked,
    request_verdict,
    testing::Values(
        request_case{"two_crashes",
                     {Crash(0, {kDeadlyRequest}), Crash(200, {kDeadlyRequest}),
                      Answers(100, kOther)},
                     2'000,
                     false},
        // Popular: many callers send the same few bytes.
        request_case{
            "answered_between",
            {Crash(0, {kPlainRequest}), Crash(200, {kPlainRequest}),
             Answers(20, kPlainRequest, 1), Crash(1'000, {kPlainRequest}),
             Crash(1'000, {kPlainRequest}), Answers(10, kOther)},
            2'000,
            false},
        request_case{
            "answered_after_the_verdict",
            {Crash(0, {kPlainRequest}), Answers(10, kOther),
             Crash(200, {kPlainRequest}), Crash(1'200, {kPlainRequest}),
             Answers(100, kPlainRequest, 1)},
            20,
            false},
        // A failure domain.
        request_case{
            "endpoints_that_end_together",
            {Crash(0, {kPlainRequest}, 300), Answers(1, kOther, 1),
             Crash(3, {kPlainRequest}, 300), Crash(4, {kPlainRequest}, 300),
             Crash(4, {kPlainRequest}, 300), Answers(10, kOther)},
            2'000,
            false},
        // Many callers send it: others get answers.
        request_case{
            "endpoints_that_end_one_after_the_other",
            {Crash(0, {kPlainRequest}, 300), Answers(1, kOther, 1),
             Crash(20, {kPlainRequest}, 300), Crash(20, {kPlainRequest}, 300),
             Crash(20, {kPlainRequest}, 300), Answers(10, kPlainRequest, 1)},
            2'000,
            false},
        // All endpoints crash again and again, for whatever reason.
        request_case{"nothing_is_answered_meanwhile",
                     {Crash(0, {kPlainRequest}), Crash(1'000, {kPlainRequest}),
                      Crash(2'000, {kPlainRequest}), Answers(100, kOther)},
                     2'000,
                     false},
        request_case{
            "where_attempts_often_break",
            {Breaks(0, 60), Crash(0, {kPlainRequest}), Answers(10, kOther),
             Crash(1'000, {kPlainRequest}), Crash(2'000, {kPlainRequest})},
            2'000,
            false},
        request_case{"other_bodies_of_the_caller",
                     {Crash(0, {{{}, 101}}), Answers(10, kOther),
                      Crash(200, {{{}, 102}}), Crash(1'200, {{{}, 103}}),
                      Answers(10, kOther)},
                     2'000,
                     false},
        request_case{
            "batch_items",
            {Crash(0, {{{}, 0}}), Answers(10, kOther), Crash(200, {{{}, 0}}),
             Crash(1'200, {{{}, 0}}), Answers(10, kOther)},
            2'000,
            false},
        request_case{
            "tried_again_after_a_minute",
            {Crash(0, {kPlainRequest}), Answers(10, kOther),
             Crash(200, {kPlainRequest}), Crash(1'200, {kPlainRequest})},
            60'000,
            false}),
    [](const auto& info) { return info.param.name; });

void CrashThreeTimes(test_host& host) {
  host.Perform(Crash(100, {kDeadlyRequest, kOther}));
  host.Perform(Answers(20, kOther));
  host.Perform(Crash(200, {kDeadlyRequest, kOther}));
  host.Perform(Crash(1'200, {kDeadlyRequest}));
  host.Perform(Answers(20, kOther));
}

TEST(request_verdict_test, EachNewRequestIsHeldBackAfterTwoCrashes) {
  test_host host;
  const auto is_held_back = [&](const request_traits& traits, int ms) {
    return host.attribution.IsHeldBack(host.now + milliseconds(ms), traits,
                                       false);
  };
  for (const int delay_ms : {0, 5'000, 10'000, 20'000, 40'000, 60'000}) {
    host.Perform(Crash(1'000, {kDeadlyRequest}));
    EXPECT_EQ(is_held_back(kDeadlyRequest, delay_ms - 1), delay_ms > 0);
    EXPECT_FALSE(is_held_back(kDeadlyRequest, 2 * delay_ms)) << delay_ms;
    EXPECT_FALSE(is_held_back(kNeighbour, 0));
    EXPECT_FALSE(is_held_back(kItem, 0));
    EXPECT_GE(host.attribution.BlockedFor(host.now, kPlainRequest),
              milliseconds(delay_ms));
  }
}

// All hosts sent a request at the moment at which it was held back no longer.
TEST(request_verdict_test, HostsTryAgainOneAfterTheOther) {
  std::vector<duration> delays;
  for (uint64_t seed = 1; seed <= 15; ++seed) {
    test_host host(seed);
    for (int i = 0; i < 2; ++i) {
      host.Perform(Crash(1'000, {kPlainRequest}));
    }
    delays.push_back(host.attribution.BlockedFor(host.now, kPlainRequest));
  }
  std::sort(delays.begin(), delays.end());
  EXPECT_GT(delays.back() - delays.front(), milliseconds(2'500));
  // Within the time in which a crash is seen and known to the others.
  EXPECT_LE(std::count_if(delays.begin(), delays.end(),
                          [&](duration each) {
                            return each < delays.front() + milliseconds(150);
                          }),
            3);
}

TEST(request_verdict_test, BlockDoublesWithEachFurtherCrash) {
  test_host host;
  host.Perform(Answers(0, kOther, 100));
  CrashThreeTimes(host);
  for (const int minutes : {1, 2, 4}) {
    EXPECT_TRUE(host.IsBlocked(kPlainRequest));
    host.Pass(minutes * 60'000 - 100);
    EXPECT_TRUE(host.IsBlocked(kPlainRequest)) << minutes;
    host.Pass(120);
    EXPECT_FALSE(host.IsBlocked(kPlainRequest)) << minutes;
    EXPECT_FALSE(host.IsBlocked(kNeighbour)) << minutes;
    host.Perform(Crash(0, {kDeadlyRequest}));
    host.Perform(Answers(20, kOther));
  }
}

// A host that has just started, while other endpoints crash for other reasons.
TEST(request_verdict_test, StartingHostsLearnOfVerdictsBehindManyCrashes) {
  test_host relay;
  relay.Perform(Answers(0, kOther, 100));
  CrashThreeTimes(relay);
  ASSERT_TRUE(relay.IsBlocked(kPlainRequest));
  for (uint64_t i = 0; i < 2'000; ++i) {
    relay.Perform(Crash(1, {{{}, 1'000 + i}}));
  }
  EXPECT_TRUE(relay.IsBlocked(kPlainRequest));
  test_host started;
  started.attribution.Merge(started.now, relay.attribution.Snapshot(relay.now));
  started.Perform(Answers(20, kOther));
  EXPECT_TRUE(started.IsBlocked(kPlainRequest));
}

// Each of three hosts saw one crash.
TEST(request_verdict_test, HostsDecideByWhatOthersSaw) {
  std::vector<test_host> hosts(3);
  test_host relay;
  const auto exchange = [&] {
    for (test_host& each : hosts) {
      relay.attribution.Merge(relay.now, each.attribution.TakeNews(each.now));
    }
    const crash_evidence news = relay.attribution.TakeNews(relay.now);
    for (test_host& each : hosts) {
      each.attribution.Merge(each.now, news);
    }
  };
  for (size_t i = 0; i < hosts.size(); ++i) {
    relay.Pass(1'500);
    for (test_host& each : hosts) {
      each.Pass(1'500);
    }
    hosts[i].next_id = 100 * (i + 1);
    hosts[i].Perform(Crash(0, {kDeadlyRequest}));
    for (test_host& each : hosts) {
      each.Perform(Answers(10, kOther));
    }
    relay.Pass(10);
    exchange();
  }
  for (test_host& each : hosts) {
    each.Pass(50);
    EXPECT_TRUE(each.IsBlocked(kPlainRequest));
    EXPECT_FALSE(each.IsBlocked(kNeighbour));
  }
  // A whole answer at one of them releases it at all.
  hosts[1].Perform(Answers(20, kPlainRequest, 1));
  exchange();
  for (test_host& each : hosts) {
    each.Pass(100);
    EXPECT_FALSE(each.IsBlocked(kPlainRequest));
  }
}

}  // namespace

}  // namespace shallotport
