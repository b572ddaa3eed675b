#include "poison/crash_attribution.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "base/random_source.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using reason = block_change::reason;

const service_id kService("llm");
constexpr prompt_part kPopular = 1;
constexpr prompt_part kRare = 2;
constexpr prompt_part kDeadly = 3;
constexpr prompt_part kOther = 4;

// A host's view of its fleet, with a clock of its own.
struct test_host {
  explicit test_host(
      crash_attribution::role role = crash_attribution::role::kObserver)
      : attribution(role) {}

  void Pass(int ms) { now += milliseconds(ms); }
  void Answer(const std::vector<prompt_part>& parts, int count = 1) {
    for (int i = 0; i < count; ++i) {
      attribution.RecordWholeAnswer(now, kService, {parts});
    }
  }
  // An endpoint ends under one request with each of these prompts, of which the
  // first has had output for this long.
  void Crash(const std::vector<std::vector<prompt_part>>& prompts,
             uint32_t ran_ms = 50,
             uint32_t output_ms = 0) {
    ++endpoint;
    for (const auto& parts : prompts) {
      request += is_one_request ? 0 : 1;
      attribution.RecordBreak(now, kService);
      crash_record record{endpoint, request, kService, 0, ran_ms, parts};
      record.output_ms = &parts == &prompts.front() ? output_ms : 0;
      attribution.RecordCrash(now, record);
    }
  }
  bool IsBlocked(prompt_part part) {
    attribution.Update(now);
    return attribution.IsBlocked(now, {{part}});
  }

  crash_attribution attribution;
  steady_time now{std::chrono::seconds(100)};
  uint64_t endpoint = 0;
  uint64_t request = 0;
  bool is_one_request = false;  // That is sent again after each crash.
};

// One thing that happens, `after_ms` after the one before.
struct step {
  enum class kind : uint8_t { kCrash, kAnswer, kBreak, kOutput };

  int after_ms = 0;
  kind what = kind::kCrash;
  std::vector<std::vector<prompt_part>> prompts;
  int count = 1;           // Of answers or breaks.
  uint32_t ran_ms = 50;    // Of the attempts that crash or have output.
  uint32_t output_ms = 0;  // Of the attempts that crash.
};

step Crash(int after_ms,
           std::vector<std::vector<prompt_part>> prompts,
           uint32_t ran_ms = 50) {
  return {after_ms, step::kind::kCrash, std::move(prompts), 1, ran_ms};
}
// Two endpoints end at one moment, each under a request with the prompt.
std::vector<step> Pair(int after_ms,
                       const std::vector<prompt_part>& prompt,
                       uint32_t output_ms) {
  const uint32_t ran_ms = output_ms + 100;
  return {{after_ms, step::kind::kCrash, {prompt}, 1, ran_ms, output_ms},
          {0, step::kind::kCrash, {prompt}, 1, ran_ms, output_ms}};
}
// An endpoint ends under a request with the first prompt, which has had output,
// and one with the second prompt, which has not.
std::vector<step> CrashBesideOutput(int after_ms,
                                    const std::vector<prompt_part>& first,
                                    const std::vector<prompt_part>& second) {
  return {{after_ms, step::kind::kCrash, {first, second}, 1, 50, 400}};
}
std::vector<step> Joined(const std::vector<std::vector<step>>& parts) {
  std::vector<step> all;
  for (const std::vector<step>& each : parts) {
    all.insert(all.end(), each.begin(), each.end());
  }
  return all;
}
step Answers(int after_ms, std::vector<prompt_part> prompt, int count = 1) {
  return {after_ms, step::kind::kAnswer, {std::move(prompt)}, count};
}
step Breaks(int after_ms, int count) {
  return {after_ms, step::kind::kBreak, {}, count};
}
step Output(int after_ms, std::vector<prompt_part> prompt, uint32_t ran_ms) {
  return {after_ms, step::kind::kOutput, {std::move(prompt)}, 1, ran_ms};
}

struct verdict_case {
  std::string name;
  std::vector<step> steps;
  int wait_ms = 0;  // After the last step.
  std::vector<prompt_part> blocked;
  bool is_one_request = false;  // In all crashes.
};

class verdict : public testing::TestWithParam<verdict_case> {};

TEST_P(verdict, BlocksOnlyWhatCrashesEndpoints) {
  test_host host;
  host.is_one_request = GetParam().is_one_request;
  host.Answer({kOther}, 100);
  for (const step& each : GetParam().steps) {
    host.Pass(each.after_ms);
    for (int i = 0; i < each.count; ++i) {
      switch (each.what) {
        case step::kind::kCrash:
          host.Crash(each.prompts, each.ran_ms, each.output_ms);
          break;
        case step::kind::kAnswer:
          host.Answer(each.prompts[0]);
          break;
        case step::kind::kBreak:
          host.attribution.RecordBreak(host.now, kService);
          break;
        case step::kind::kOutput:
          host.attribution.RecordSustainedOutput(
              host.now - milliseconds(each.ran_ms), {each.prompts[0]});
          break;
      }
    }
    host.attribution.Update(host.now);
  }
  host.Pass(GetParam().wait_ms);
  for (const prompt_part part : {kPopular, kRare, kDeadly, kOther}) {
    const auto& blocked = GetParam().blocked;
    const bool expected =
        std::find(blocked.begin(), blocked.end(), part) != blocked.end();
    EXPECT_EQ(host.IsBlocked(part), expected) << part;
  }
}

const std::vector<prompt_part> kDeadlyPrompt = {kPopular, kRare, kDeadly};

INSTANTIATE_TEST_SUITE_P(
    table,
    verdict,
    testing::Values(
        verdict_case{
            "three_crashes_in_a_row",
            {Crash(0, {kDeadlyPrompt, {kPopular}}), Crash(200, {kDeadlyPrompt}),
             Crash(200, {kDeadlyPrompt}), Answers(50, {kPopular}, 3)},
            100,
            {kDeadly}},
        verdict_case{"two_crashes",
                     {Crash(0, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt}),
                      Answers(50, {kPopular}, 3)},
                     2'000,
                     {}},
        // Whole answers to popular parts need time to arrive.
        verdict_case{"not_settled",
                     {Crash(0, {kDeadlyPrompt}), Crash(100, {kDeadlyPrompt}),
                      Crash(100, {kDeadlyPrompt}), Answers(0, {kOther}, 3)},
                     200,
                     {}},
        // Endpoints of one failure domain, say.
        verdict_case{
            "endpoints_that_end_together",
            {Crash(0, {kDeadlyPrompt}, 300), Crash(20, {kDeadlyPrompt}, 300),
             Crash(20, {kDeadlyPrompt}, 300), Crash(20, {kDeadlyPrompt}, 300),
             Answers(50, {kOther}, 3)},
            2'000,
            {}},
        verdict_case{"whole_answer_between",
                     {Crash(0, {{kRare}}), Crash(200, {{kRare}}),
                      Answers(50, {kRare}), Crash(200, {{kRare}}),
                      Crash(200, {{kRare}}), Answers(50, {kOther}, 3)},
                     2'000,
                     {}},
        verdict_case{"nothing_is_answered",
                     {Crash(0, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt}),
                      Crash(200, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt})},
                     2'000,
                     {}},
        // Where much breaks, a part is in three crashes by chance.
        verdict_case{"much_breaks",
                     {Breaks(0, 25), Crash(0, {{kRare}}), Crash(200, {{kRare}}),
                      Crash(200, {{kRare}}), Answers(50, {kOther}, 3)},
                     2'000,
                     {}},
        verdict_case{"much_breaks_and_many_crashes",
                     {Breaks(0, 25), Crash(0, {kDeadlyPrompt}),
                      Crash(200, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt}),
                      Crash(200, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt}),
                      Crash(200, {kDeadlyPrompt}), Crash(200, {kDeadlyPrompt}),
                      Answers(50, {kOther}, 3)},
                     2'000,
                     {kDeadly}},
        verdict_case{
            "popular_part_in_all_crashes",
            {Answers(0, {kPopular}, 20), Crash(0, {kDeadlyPrompt, {kPopular}}),
             Crash(200, {kDeadlyPrompt, {kPopular}}),
             Crash(200, {kDeadlyPrompt, {kPopular}}),
             Crash(200, {kDeadlyPrompt, {kPopular}}), Crash(200, {{kPopular}}),
             Answers(0, {kOther}, 3)},
            200,
            {kDeadly}},
        // Endpoints of a new software version crash under what others answer.
        verdict_case{"popular_part_turns_deadly",
                     {Answers(0, {kPopular}, 20), Crash(0, {{kPopular}}),
                      Crash(300, {{kPopular}}), Crash(300, {{kPopular}}),
                      Crash(300, {{kPopular}}), Crash(300, {{kPopular}}),
                      Crash(300, {{kPopular}}), Crash(300, {{kPopular}}),
                      Answers(0, {kOther}, 3)},
                     100,
                     {kPopular}},
        verdict_case{"two_deadly_parts",
                     {Crash(0, {{kDeadly}}), Crash(200, {{kRare}}),
                      Crash(200, {{kDeadly}}), Crash(200, {{kRare}}),
                      Crash(200, {{kDeadly}}), Crash(200, {{kRare}}),
                      Crash(200, {{kDeadly}}), Crash(200, {{kRare}}),
                      Answers(50, {kOther}, 3)},
                     600,
                     {kDeadly, kRare}},
        // A batch item that is resumed at one endpoint after the other.
        verdict_case{"one_request_in_all_crashes",
                     {Crash(0, {{kRare}}), Crash(2'500, {{kRare}}),
                      Crash(2'500, {{kRare}}), Crash(2'500, {{kRare}}),
                      Crash(2'500, {{kRare}}), Answers(50, {kOther}, 3)},
                     2'000,
                     {},
                     true},
        // Items of one job run everywhere, and meet each crash.
        verdict_case{"output_after_each_crash",
                     {Crash(0, {{kRare}}), Output(1'500, {kRare}, 1'200),
                      Crash(500, {{kRare}}), Output(1'500, {kRare}, 1'200),
                      Crash(500, {{kRare}}), Output(1'500, {kRare}, 1'200),
                      Crash(500, {{kRare}}), Answers(50, {kOther}, 3)},
                     2'000,
                     {}},
        verdict_case{"output_of_an_attempt_from_before",
                     {Output(0, {kDeadly}, 1'200), Crash(100, {kDeadlyPrompt}),
                      Output(50, {kDeadly}, 1'200), Crash(300, {kDeadlyPrompt}),
                      Crash(300, {kDeadlyPrompt}), Crash(300, {kDeadlyPrompt}),
                      Crash(300, {kDeadlyPrompt}), Crash(300, {kDeadlyPrompt}),
                      Answers(50, {kRare, kPopular}, 3)},
                     100,
                     {kDeadly}},
        // review/13: the items of one job run and are resumed together.
        verdict_case{"output_before_each_crash",
                     Joined({Pair(0, {kRare}, 400),
                             Pair(600, {kRare}, 400),
                             Pair(600, {kRare}, 400),
                             {Answers(50, {kOther}, 3)}}),
                     2'000,
                     {}},
        verdict_case{"output_as_long_as_the_onset",
                     Joined({Pair(0, {kRare}, 80),
                             Pair(600, {kRare}, 80),
                             Pair(600, {kRare}, 80),
                             {Answers(50, {kOther}, 3)}}),
                     2'000,
                     {}},
        verdict_case{"output_shorter_than_the_onset",
                     Joined({Pair(0, {kDeadly}, 79),
                             Pair(600, {kDeadly}, 79),
                             Pair(600, {kDeadly}, 79),
                             {Answers(50, {kOther}, 3)}}),
                     2'000,
                     {kDeadly}},
        // A part turns deadly while endpoints write answers on it.
        verdict_case{"output_of_others_at_the_same_endpoints",
                     Joined({CrashBesideOutput(0, {kDeadly}, kDeadlyPrompt),
                             CrashBesideOutput(600, {kDeadly}, kDeadlyPrompt),
                             CrashBesideOutput(600, {kDeadly}, kDeadlyPrompt),
                             {Answers(50, {kPopular, kRare}, 3)}}),
                     2'000,
                     {kDeadly}},
        verdict_case{
            "answered_after_the_verdict",
            {Crash(0, {{kRare}}), Crash(200, {{kRare}}), Crash(200, {{kRare}}),
             Answers(300, {kOther}, 3), Answers(100, {kRare})},
            100,
            {}}),
    [](const auto& info) { return info.param.name; });

void CrashThreeTimes(test_host& host,
                     const std::vector<prompt_part>& parts,
                     int gap_ms = 200) {
  for (int i = 0; i < 3; ++i) {
    host.Pass(gap_ms);
    host.Crash({parts});
    host.attribution.Update(host.now);
  }
  host.Pass(200);
  host.Answer({kOther}, 3);
  host.attribution.Update(host.now);
}

TEST(crash_attribution_test, BlockEndsTenMinutesAfterTheLastCrash) {
  test_host host;
  host.Answer({kOther}, 100);
  CrashThreeTimes(host, {kDeadly});
  ASSERT_TRUE(host.IsBlocked(kDeadly));
  EXPECT_EQ(host.attribution.BlockedFor(host.now, {{kOther, kDeadly}}),
            std::chrono::minutes(10) - milliseconds(200));
  host.now += std::chrono::minutes(10) - milliseconds(250);
  EXPECT_TRUE(host.IsBlocked(kDeadly));
  host.Pass(100);
  const auto changes = host.attribution.Update(host.now);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].why, reason::kExpired);
  EXPECT_EQ(host.attribution.record_count(), 0u);
}

struct trial_case {
  std::string name;
  int crashes;
  int after_ms;         // From the last crash.
  int trial_before_ms;  // A trial has begun so long before; 0: none has.
  bool is_due;
  std::vector<prompt_part> parts = {kOther, kDeadly};
};

class blocked_part : public testing::TestWithParam<trial_case> {};

// Guards against a sound part that stays blocked for ten minutes, since nothing
// shows meanwhile that it is sound, and against trials that crash more
// endpoints than callers allow.
TEST_P(blocked_part, IsTriedOnceInAWhile) {
  test_host host;
  host.Answer({kOther}, 100);
  for (int i = 0; i < GetParam().crashes; ++i) {
    host.Pass(600);
    host.Crash({{kDeadly}});
    host.Answer({kOther}, 3);
    host.attribution.Update(host.now);
  }
  const request_traits traits{GetParam().parts};
  host.Pass(GetParam().after_ms - GetParam().trial_before_ms);
  if (GetParam().trial_before_ms > 0) {
    host.attribution.BeginTrial(host.now, traits);
    host.Pass(GetParam().trial_before_ms);
  }
  host.attribution.Update(host.now);
  EXPECT_EQ(host.attribution.IsTrialDue(host.now, traits), GetParam().is_due);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    blocked_part,
    testing::Values(trial_case{"not_blocked", 2, 5'000, 0, false},
                    trial_case{"too_soon", 3, 4'999, 0, false},
                    trial_case{"due", 3, 5'000, 0, true},
                    trial_case{"another_is_under_way", 3, 9'000, 4'000, false},
                    trial_case{"after_another", 3, 10'000, 5'000, true},
                    trial_case{"after_a_trial_that_crashed", 4, 5'000, 0, true},
                    trial_case{"crashes_below_the_bound", 6, 5'000, 0, true},
                    trial_case{"enough_crashes", 7, 60'000, 0, false},
                    trial_case{"not_its_part", 3, 5'000, 0, false, {kOther}}),
    [](const auto& info) { return info.param.name; });

TEST(crash_attribution_test, FewTrialsAreBegunThatShowNothing) {
  test_host host;
  host.Answer({kOther}, 100);
  CrashThreeTimes(host, {kDeadly});
  int trials = 0;
  for (int ms = 0; ms < 120'000; ms += 500) {
    host.Pass(500);
    host.attribution.Update(host.now);
    if (host.attribution.IsTrialDue(host.now, {{kDeadly}})) {
      host.attribution.BeginTrial(host.now, {{kDeadly}});
      ++trials;
    }
  }
  EXPECT_EQ(trials, 3);
}

// A trial that is answered releases the part.
TEST(crash_attribution_test, OutputOfATrialReleasesThePart) {
  test_host host;
  host.Answer({kOther}, 100);
  CrashThreeTimes(host, {kDeadly});
  ASSERT_TRUE(host.IsBlocked(kDeadly));
  host.Pass(6'000);
  host.attribution.BeginTrial(host.now, {{kDeadly}});
  host.Pass(1'500);
  host.attribution.RecordSustainedOutput(host.now - milliseconds(1'400),
                                         {{kDeadly}});
  EXPECT_FALSE(host.IsBlocked(kDeadly));
  EXPECT_FALSE(host.attribution.IsTrialDue(host.now, {{kDeadly}}));
}

TEST(crash_attribution_test, RepeatsAreHeldBackForLongerAfterEachCrash) {
  test_host host;
  const std::vector<prompt_part> parts = {kDeadly};
  const auto may_repeat_after = [&](int ms) {
    return !host.attribution.IsHeldBack(host.now + milliseconds(ms), {parts},
                                        true);
  };
  for (const int delay_ms : {0, 1'000, 2'000, 4'000}) {
    host.Pass(20'000);
    host.Crash({parts});
    host.attribution.Update(host.now);
    EXPECT_TRUE(may_repeat_after(delay_ms)) << delay_ms;
    EXPECT_EQ(may_repeat_after(delay_ms - 1), delay_ms == 0) << delay_ms;
  }
}

struct sharing_case {
  std::string name;
  bool is_restarted = false;  // The host that learns knows nothing.
  bool has_own_answers = true;
};

class shared_evidence : public testing::TestWithParam<sharing_case> {};

// No host saw more than one crash.
TEST_P(shared_evidence, BlocksAtEveryHost) {
  std::vector<test_host> hosts(5);
  test_host relay(crash_attribution::role::kRelay);
  const auto exchange = [&](size_t receivers) {
    for (test_host& each : hosts) {
      relay.attribution.Merge(relay.now, each.attribution.TakeNews(each.now));
    }
    const crash_evidence news = relay.attribution.TakeNews(relay.now);
    for (size_t i = 0; i < receivers; ++i) {
      hosts[i].attribution.Merge(hosts[i].now, news);
    }
  };
  const auto pass = [&](int ms) {
    relay.Pass(ms);
    for (test_host& each : hosts) {
      each.Pass(ms);
    }
  };
  const size_t receivers = GetParam().is_restarted ? 4 : 5;
  for (size_t i = 0; i < 4; ++i) {
    pass(200);
    hosts[i].endpoint = 10 * i;  // Each crash is of another endpoint.
    hosts[i].request = 10 * i;
    hosts[i].Crash({kDeadlyPrompt});
    exchange(receivers);
    for (test_host& each : hosts) {
      each.attribution.Update(each.now);
    }
  }
  pass(200);
  for (size_t i = 0; i < (GetParam().has_own_answers ? 5 : 1); ++i) {
    hosts[i].Answer({kPopular}, 3);
    hosts[i].attribution.Update(hosts[i].now);
  }
  exchange(receivers);
  if (GetParam().is_restarted) {
    hosts[4].attribution.Merge(hosts[4].now,
                               relay.attribution.Snapshot(relay.now));
  }
  pass(50);
  for (test_host& each : hosts) {
    EXPECT_TRUE(each.IsBlocked(kDeadly));
    EXPECT_FALSE(each.IsBlocked(kPopular));
    EXPECT_FALSE(each.IsBlocked(kRare));
  }
  // A whole answer at one host releases the part at all of them.
  pass(100);
  hosts[1].Answer({kDeadly});
  exchange(5);
  pass(50);
  for (test_host& each : hosts) {
    EXPECT_FALSE(each.IsBlocked(kDeadly));
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    shared_evidence,
    testing::Values(sharing_case{"all_hosts"},
                    sharing_case{"restarted_host", true},
                    sharing_case{"hosts_without_answers", false, false},
                    sharing_case{"restarted_without_answers", true, false}),
    [](const auto& info) { return info.param.name; });

// Crashes of a popular part were attributed to it, although it had been whole.
TEST(crash_attribution_test, OthersLearnThatAPartWasSoundBefore) {
  test_host knows;
  test_host learns;
  knows.Answer({kRare});
  learns.Pass(1'000);
  knows.Pass(1'000);
  learns.Crash({{kRare}});
  knows.attribution.Merge(knows.now, learns.attribution.TakeNews(learns.now));
  const crash_evidence news = knows.attribution.TakeNews(knows.now);
  ASSERT_EQ(news.whole_answers.size(), 1u);
  EXPECT_EQ(news.whole_answers[0], (whole_answer_record{kRare, 1'000}));
  EXPECT_TRUE(news.crashes.empty());
}

// Each of thirty stores passed on to all hosts what another one had sent them.
TEST(crash_attribution_test, RelaysDoNotPassOnWhatRelaysSent) {
  using role = crash_attribution::role;
  test_host host;
  std::vector<test_host> relays(3, test_host(role::kRelay));
  size_t messages = 0;
  const auto pass = [&](int ms) {
    host.Pass(ms);
    for (test_host& each : relays) {
      each.Pass(ms);
      each.attribution.Update(each.now);
    }
  };
  const auto exchange = [&] {
    std::vector<crash_evidence> sent;
    sent.reserve(relays.size());
    for (test_host& each : relays) {
      sent.push_back(each.attribution.TakeNews(each.now));
    }
    pass(2);
    for (size_t from = 0; from < relays.size(); ++from) {
      messages += sent[from].IsEmpty() ? 0 : 1;
      for (size_t to = 0; to < relays.size(); ++to) {
        if (from != to) {
          relays[to].attribution.Merge(relays[to].now, sent[from],
                                       role::kRelay);
        }
      }
    }
  };
  for (int round = 0; round < 100; ++round) {
    if (round % 20 == 0) {
      host.Crash({{kPopular}});
    } else if (round % 20 == 10) {
      host.Answer({kPopular}, 5);
    }
    relays[0].attribution.Merge(relays[0].now,
                                host.attribution.TakeNews(host.now));
    exchange();
    pass(20);
  }
  // One for each crash and the answer after it.
  EXPECT_LE(messages, 10u);
  for (test_host& each : relays) {
    EXPECT_EQ(each.attribution.record_count(), 5u);
  }
}

// Hosts that had no request there took the endpoint for the one before.
TEST(crash_attribution_test, EndedStartsArePassedOnOnce) {
  test_host host;
  test_host relay(crash_attribution::role::kRelay);
  test_host other;
  for (int times = 0; times < 2; ++times) {
    host.attribution.RecordEnded(host.now, 7, kService, domain_id("d"));
  }
  const crash_evidence seen = host.attribution.TakeNews(host.now);
  ASSERT_EQ(seen.crashes.size(), 1u);
  for (int copies = 0; copies < 2; ++copies) {
    relay.attribution.Merge(relay.now, seen);
  }
  relay.Pass(20);
  const crash_evidence passed = relay.attribution.TakeNews(relay.now);
  ASSERT_EQ(passed.crashes.size(), 1u);
  EXPECT_EQ(passed.crashes[0].endpoint, 7u);
  EXPECT_EQ(passed.crashes[0].service, kService);
  EXPECT_EQ(passed.crashes[0].domain, domain_id("d"));
  EXPECT_EQ(passed.crashes[0].age_ms, 20u);
  other.attribution.Merge(other.now, passed, crash_attribution::role::kRelay);
  EXPECT_FALSE(other.attribution.HasNews());
  EXPECT_EQ(other.attribution.record_count(), 0u);
  EXPECT_EQ(relay.attribution.Snapshot(relay.now).crashes.size(), 1u);
  relay.Pass(16'000);
  EXPECT_TRUE(relay.attribution.Snapshot(relay.now).crashes.empty());
}

TEST(crash_attribution_test, IsBoundedAndSameEvidenceIsNoNews) {
  test_host host(crash_attribution::role::kRelay);
  for (int i = 0; i < 5'000; ++i) {
    host.Answer({static_cast<prompt_part>(1'000'000 + i)});
    host.Crash({{static_cast<prompt_part>(100 + i)}});
  }
  EXPECT_EQ(host.attribution.record_count(), 1'024u);
  const crash_evidence snapshot = host.attribution.Snapshot(host.now);
  EXPECT_EQ(snapshot.crashes.size(), 256u);
  host.attribution.TakeNews(host.now);
  host.attribution.Merge(host.now, snapshot);
  EXPECT_FALSE(host.attribution.HasNews());
  crash_evidence too_many;
  too_many.crashes.push_back(
      {1, 1, kService, 0, 0, std::vector<prompt_part>(kMaxSharedParts + 1)});
  host.attribution.Merge(host.now, too_many);
  EXPECT_FALSE(host.attribution.HasNews());
}

// Endpoints of a fleet crash for reasons of their own; no part is to blame.
TEST(crash_attribution_test, RandomCrashesBlockNothing) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    random_source random(seed);
    test_host host;
    std::vector<std::vector<std::vector<prompt_part>>> running(18);
    for (int ms = 0; ms < 60'000; ms += 20) {
      host.Pass(20);
      for (auto& each : running) {
        if (each.size() < 6 && UniformBelow(random, 4) == 0) {
          each.push_back({100 + UniformBelow(random, 20),
                          1'000 + UniformBelow(random, 500)});
        } else if (!each.empty()) {
          host.Answer(each.front());
          each.erase(each.begin());
        }
      }
      if (UniformBelow(random, 25) == 0) {
        auto& ended = running[UniformBelow(random, running.size())];
        host.Crash(ended, 120);
        ended.clear();
      }
      for (const block_change& change : host.attribution.Update(host.now)) {
        ADD_FAILURE() << "seed " << seed << ": " << change.key.value << ", "
                      << change.crashes << " crashes";
      }
    }
  }
}

}  // namespace

}  // namespace shallotport
