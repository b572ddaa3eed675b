#include "control/configuration_state.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "base/codec.h"
#include "base/random_source.h"
#include "control/configuration_delta.h"

namespace shallotport {
namespace {

configuration_change ChangeOf(std::string change_id,
                              log_index expected,
                              std::string text = "text") {
  configuration_change change;
  change.change_id = std::move(change_id);
  change.expected_revision = expected;
  change.text = std::move(text);
  return change;
}

// A state with the log index that its next command gets.
struct state_under_test {
  configuration_state state;
  log_index index = 0;

  change_outcome Apply(const configuration_change& change) {
    ++index;
    return ValueOf(Decode<change_outcome>(state.Apply(
        {index, static_cast<wall_milliseconds>(index)}, Encode(change))));
  }

  template <typename Reply>
  Reply Ask(configuration_query_kind kind, uint64_t argument) const {
    return ValueOf(Decode<Reply>(
        state.Query(Encode(configuration_query{kind, argument}))));
  }

  void Reload() {
    std::stringstream bytes;
    ASSERT_TRUE(IsOk(state.BeginSnapshot()->Write(bytes)));
    configuration_state loaded;
    ASSERT_TRUE(IsOk(loaded.LoadSnapshot(bytes)));
    state = std::move(loaded);
  }
};

TEST(ConfigurationState, OneOfTheRacersWinsAndResendsGetTheFirstOutcome) {
  state_under_test t;
  EXPECT_EQ(t.Apply(ChangeOf("a", 0)).verdict, change_verdict::kAccepted);
  EXPECT_EQ(t.Apply(ChangeOf("b", 0)).verdict, change_verdict::kConflict);
  EXPECT_EQ(t.Apply(ChangeOf("c", 1)).revision, 3U);
  t.Reload();
  const change_outcome first = t.Apply(ChangeOf("a", 0));
  EXPECT_EQ(first.verdict, change_verdict::kAccepted);
  EXPECT_EQ(first.revision, 1U);
  EXPECT_TRUE(first.is_repeat);
  EXPECT_EQ(t.Apply(ChangeOf("b", 0)).verdict, change_verdict::kConflict);
  EXPECT_EQ(t.Apply(ChangeOf("c", 1, "other")).verdict,
            change_verdict::kChangeIdReused);
  EXPECT_EQ(t.state.revision(), 3U);
}

TEST(ConfigurationState, AForgottenChangeIsNotAcceptedAgain) {
  state_under_test t;
  EXPECT_EQ(t.Apply(ChangeOf("first", 0)).verdict, change_verdict::kAccepted);
  for (size_t i = 0; i < configuration_state::kOutcomesKept; ++i) {
    t.Apply(ChangeOf("id" + std::to_string(i), t.state.revision()));
  }
  const change_outcome late = t.Apply(ChangeOf("first", 0));
  EXPECT_EQ(late.verdict, change_verdict::kConflict);
  EXPECT_FALSE(late.is_repeat);
}

TEST(ConfigurationState, MalformedCommandsChangeNothing) {
  state_under_test t;
  t.Apply(ChangeOf("a", 0));
  for (const std::string& bytes :
       {std::string(), std::string("junk"), Encode(ChangeOf("", 1))}) {
    const auto reply = Decode<change_outcome>(t.state.Apply({9, 9}, bytes));
    EXPECT_EQ(ValueOf(reply).verdict, change_verdict::kInvalid);
  }
  EXPECT_EQ(t.state.revision(), 1U);
  EXPECT_EQ(t.state.Query("junk"), "");
}

// Hundreds of changes by racers with resends and reloads, against maps.
struct configuration_oracle {
  log_index revision = 0;
  std::map<log_index, configuration> revisions{{0, {}}};
  std::map<log_index, std::string> texts;
  std::map<std::string, change_outcome> outcomes;
};

configuration RandomConfiguration(const configuration& before,
                                  random_source& random) {
  configuration config = before;
  const std::string name = "n" + std::to_string(UniformBelow(random, 30));
  std::erase_if(config.accounts, [&](const account_configuration& account) {
    return account.id.text() == name;
  });
  if (UniformBelow(random, 3) != 0) {
    account_configuration account;
    account.id = account_id(name);
    account.batch_weight = static_cast<uint32_t>(UniformBelow(random, 4) + 1);
    config.accounts.push_back(account);
  }
  if (UniformBelow(random, 4) == 0) {
    config.services.resize(UniformBelow(random, 3));
    for (size_t i = 0; i < config.services.size(); ++i) {
      config.services[i].id = service_id("s" + std::to_string(i));
    }
  }
  SortById(config);
  return config;
}

void CheckDeltas(const state_under_test& t,
                 const configuration_oracle& oracle) {
  for (const auto& [from, config] : oracle.revisions) {
    log_index revision = from;
    configuration held = config;
    const auto delta = t.state.Since(from);
    ASSERT_TRUE(IsOk(ApplyDelta(delta, revision, held)));
    ASSERT_EQ(revision, oracle.revision) << "from " << from;
    ASSERT_EQ(held, oracle.revisions.at(oracle.revision)) << "from " << from;
  }
}

void CheckTexts(const state_under_test& t, const configuration_oracle& oracle) {
  for (const auto& [revision, text] : oracle.texts) {
    const auto found =
        t.Ask<configuration_text>(configuration_query_kind::kText, revision);
    ASSERT_TRUE(found.is_found);
    ASSERT_EQ(found.text, text);
  }
}

class configuration_fuzz : public testing::TestWithParam<uint64_t> {};

TEST_P(configuration_fuzz, MatchesTheOracle) {
  random_source random(GetParam());
  state_under_test t;
  configuration_oracle oracle;
  std::vector<configuration_change> sent;
  for (int step = 0; step < 400; ++step) {
    if (UniformBelow(random, 40) == 0) {
      t.Reload();
    }
    if (!sent.empty() && UniformBelow(random, 4) == 0) {
      const auto& again = sent[UniformBelow(random, sent.size())];
      const change_outcome outcome = t.Apply(again);
      const change_outcome& first = oracle.outcomes.at(again.change_id);
      ASSERT_EQ(outcome.verdict, first.verdict);
      ASSERT_EQ(outcome.revision, first.revision);
      ASSERT_TRUE(outcome.is_repeat);
      continue;
    }
    const bool is_racer_late = UniformBelow(random, 3) == 0;
    auto change =
        ChangeOf("id" + std::to_string(step), oracle.revision,
                 "line\n" + std::to_string(random() % 1000) + "\nend");
    change.parsed =
        RandomConfiguration(oracle.revisions.at(oracle.revision), random);
    if (is_racer_late) {
      change.expected_revision += UniformBelow(random, 2) == 0 ? 1 : -1;
    }
    const change_outcome outcome = t.Apply(change);
    sent.push_back(change);
    if (is_racer_late) {
      ASSERT_EQ(outcome.verdict, change_verdict::kConflict);
    } else {
      ASSERT_EQ(outcome.verdict, change_verdict::kAccepted);
      ASSERT_GT(outcome.revision, oracle.revision);
      oracle.revision = outcome.revision;
      oracle.revisions[oracle.revision] = change.parsed;
      oracle.texts[oracle.revision] = change.text;
    }
    ASSERT_EQ(t.state.revision(), oracle.revision);
    oracle.outcomes[change.change_id] = outcome;
  }
  CheckDeltas(t, oracle);
  CheckTexts(t, oracle);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         configuration_fuzz,
                         testing::Range<uint64_t>(1, 21));

}  // namespace
}  // namespace shallotport
