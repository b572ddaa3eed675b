#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "poison/crash_attribution.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const service_id kService("llm");
constexpr prompt_part kPopular = 1;
constexpr prompt_part kShared = 2;
constexpr request_digest kDigest = 77;
constexpr size_t kDomains = 3;
constexpr size_t kEndpointsOfDomain = 6;

domain_id DomainOf(size_t endpoint) {
  return domain_id(
      std::string(1, static_cast<char>('a' + endpoint % kDomains)));
}

// A host's view of a service with endpoints in three failure domains.
class test_host {
 public:
  test_host() {
    for (size_t i = 0; i < kDomains * kEndpointsOfDomain; ++i) {
      attribution.AddEndpoint(kService, DomainOf(i));
    }
  }

  void Pass(int ms) {
    now += milliseconds(ms);
    attribution.Update(now);
  }
  void Answer(const request_traits& traits, int count) {
    for (int i = 0; i < count; ++i) {
      attribution.RecordWholeAnswer(now, kService, traits);
    }
  }
  // The endpoint ends under one request.
  void Crash(size_t endpoint, const request_traits& traits) {
    attribution.RecordBreak(now, kService);
    attribution.RecordCrash(
        now, {StartKeyOf(endpoint), ++last_request_, kService, 0, 90,
              traits.parts, traits.digest, kNeverAnswered, DomainOf(endpoint)});
  }
  void End(size_t endpoint) {
    attribution.RecordEnded(now, StartKeyOf(endpoint), kService,
                            DomainOf(endpoint));
  }
  // The endpoint starts again.
  void Restart(size_t endpoint) { ++starts_[endpoint]; }

  crash_attribution attribution{crash_attribution::role::kObserver};
  steady_time now{std::chrono::seconds(100)};

 private:
  uint64_t StartKeyOf(size_t endpoint) {
    return 1'000 * endpoint + starts_[endpoint];
  }

  uint64_t last_request_ = 0;
  std::map<size_t, uint64_t> starts_;
};

struct group_case {
  std::string name;
  std::vector<size_t> crashed;  // Endpoints; their domains go by turns.
  std::vector<size_t> ended;    // Without a request that has the key.
  int answers = 3;              // To others, after the crashes.
  int breaks = 0;               // Before.
  bool was_answered = false;    // The part, before.
  bool has_output = false;      // At an endpoint that goes on.
  int wait_ms = 2'100;
  bool is_blocked = false;
};

class crash_groups : public testing::TestWithParam<group_case> {};

// Requests with a part that crashes endpoints came six at a time; each group
// counted as one crash.
TEST_P(crash_groups, BlockAPartThatExplainsThem) {
  const group_case& given = GetParam();
  const request_traits traits{{kPopular, kShared}};
  test_host host;
  host.Answer({{kPopular}}, 100);
  if (given.was_answered) {
    host.Answer(traits, 1);
  }
  for (int i = 0; i < given.breaks; ++i) {
    host.attribution.RecordBreak(host.now, kService);
  }
  host.Pass(100);
  const steady_time begun_at = host.now - milliseconds(90);
  for (const size_t endpoint : given.crashed) {
    host.Crash(endpoint, traits);
    host.Pass(10);
  }
  for (const size_t endpoint : given.ended) {
    host.End(endpoint);
  }
  if (given.has_output) {
    host.attribution.RecordSustainedOutput(begun_at, traits);
  }
  host.Answer({{kPopular}}, given.answers);
  host.Pass(given.wait_ms - 10 * static_cast<int>(given.crashed.size()));
  EXPECT_EQ(host.attribution.IsBlocked(host.now, traits), given.is_blocked);
  EXPECT_FALSE(host.attribution.IsBlocked(host.now, {{kPopular}}));
}

INSTANTIATE_TEST_SUITE_P(
    must_be_blocked,
    crash_groups,
    testing::Values(group_case{.name = "six",
                               .crashed = {0, 1, 2, 3, 4, 5},
                               .is_blocked = true},
                    group_case{.name = "four_of_two_domains",
                               .crashed = {0, 1, 3, 4},
                               .is_blocked = true},
                    group_case{.name = "another_one_ended",
                               .crashed = {0, 1, 2, 3, 4},
                               .ended = {5},
                               .is_blocked = true}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    must_not_be_blocked,
    crash_groups,
    testing::Values(group_case{.name = "not_settled",
                               .crashed = {0, 1, 2, 3, 4, 5},
                               .wait_ms = 1'900},
                    group_case{.name = "three", .crashed = {0, 1, 2}},
                    group_case{.name = "one_domain",
                               .crashed = {0, 3, 6, 9, 12}},
                    group_case{.name = "a_domain_that_goes_dark",
                               .crashed = {0, 3, 6, 9},
                               .ended = {12, 15}},
                    group_case{.name = "half_of_the_endpoints_end",
                               .crashed = {0, 1, 2, 3},
                               .ended = {4, 5, 6, 7, 8}},
                    group_case{.name = "answered_before",
                               .crashed = {0, 1, 2, 3, 4, 5},
                               .was_answered = true},
                    group_case{.name = "goes_on_elsewhere",
                               .crashed = {0, 1, 2, 3, 4, 5},
                               .has_output = true},
                    group_case{.name = "nothing_is_answered",
                               .crashed = {0, 1, 2, 3, 4, 5},
                               .answers = 2},
                    group_case{.name = "much_breaks",
                               .crashed = {0, 1, 2, 3},
                               .breaks = 200}),
    [](const auto& info) { return info.param.name; });

TEST(group_verdict_test, EndsSoonerThanAVerdictByOneCrashAfterTheOther) {
  const request_traits traits{{kPopular, kShared}};
  test_host host;
  host.Answer({{kPopular}}, 100);
  for (size_t endpoint = 0; endpoint < 6; ++endpoint) {
    host.Crash(endpoint, traits);
  }
  host.Pass(20);
  host.Answer({{kPopular}}, 3);
  host.Pass(2'100);
  EXPECT_EQ(host.attribution.BlockedFor(host.now, traits),
            std::chrono::minutes(2) - milliseconds(2'120));
  host.Pass(117'900);
  EXPECT_FALSE(host.attribution.IsBlocked(host.now, traits));
  // The next crash shows that it is still so.
  host.Restart(0);
  host.Crash(0, traits);
  host.Pass(100);
  EXPECT_TRUE(host.attribution.IsBlocked(host.now, traits));
}

// Copies of one request crashed their endpoints within a few milliseconds, and
// nothing was answered between the first crash and the last.
TEST(group_verdict_test, BlocksOneRequestAtManyHostsAtOnce) {
  const request_traits traits{{kPopular}, kDigest};
  test_host host;
  host.Answer({{kPopular}, kDigest + 1}, 100);
  for (size_t endpoint = 0; endpoint < 6; ++endpoint) {
    host.Crash(endpoint, traits);
  }
  host.Pass(20);
  host.Answer({{kPopular}, kDigest + 2}, 3);
  host.Pass(2'100);
  EXPECT_TRUE(host.attribution.IsBlocked(host.now, traits));
  EXPECT_FALSE(host.attribution.IsBlocked(host.now, {{kPopular}, kDigest + 3}));
}

// Endpoints that end together, at random or a failure domain at a time, while
// the requests of a new batch job or session are everywhere: no part is to
// blame.
TEST(group_verdict_test, EndpointsThatEndTogetherBlockNothing) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    random_source random(seed);
    test_host host;
    struct attempt {
      request_traits traits;
      int age_ms = 0;
    };
    std::vector<std::vector<attempt>> running(kDomains * kEndpointsOfDomain);
    prompt_part session = 100;
    for (int ms = 0; ms < 60'000; ms += 20) {
      host.Pass(20);
      session += UniformBelow(random, 15) == 0 ? 1 : 0;
      for (auto& each : running) {
        for (attempt& one : each) {
          one.age_ms += 20;
          if (one.age_ms == 1'000) {
            host.attribution.RecordSustainedOutput(
                host.now - milliseconds(1'000), one.traits);
          }
        }
        if (each.size() < 6 && UniformBelow(random, 4) == 0) {
          each.push_back({{{kPopular, session - UniformBelow(random, 4)}}});
        } else if (!each.empty() && each.front().age_ms > 300) {
          host.Answer(each.front().traits, 1);
          each.erase(each.begin());
        }
      }
      if (ms % 3'000 != 0) {
        continue;
      }
      const bool is_domain = UniformBelow(random, 2) == 0;
      const size_t domain = UniformBelow(random, kDomains);
      const uint64_t share = 1 + UniformBelow(random, 10);
      for (size_t i = 0; i < running.size(); ++i) {
        const bool is_ended = is_domain ? i % kDomains == domain
                                        : UniformBelow(random, 10) < share;
        if (is_ended) {
          for (const attempt& one : running[i]) {
            host.Crash(i, one.traits);
          }
          host.End(i);
          host.Restart(i);
          running[i].clear();
        }
      }
      EXPECT_EQ(host.attribution.CountBlocked(crash_key::kind::kPart), 0u)
          << "seed " << seed << ", " << ms << " ms";
    }
  }
}

}  // namespace

}  // namespace shallotport
