#include "claims/claim_state.h"

#include <gtest/gtest.h>

#include <functional>
#include <sstream>

#include "base/codec.h"

namespace shallotport {
namespace {

constexpr int64_t kOpenTimeoutMs = 1'000;
constexpr int64_t kRetentionMs = 600'000;
constexpr int64_t kExpiredKeyRetentionMs = 3'600'000;

claim_begin MakeBegin(const char* attempt,
                      const char* host = "h1",
                      incarnation started = 1,
                      const char* body = "body") {
  claim_begin begin;
  begin.key = MakeClaimKey(account_id("acme"), "key");
  begin.request = MakeRequestDigest("POST", "/unlock", body);
  begin.host = host_id(host);
  begin.host_incarnation = started;
  begin.attempt = attempt_id(attempt);
  begin.endpoint = endpoint_id("e1");
  begin.open_timeout_ms = kOpenTimeoutMs;
  begin.retention_ms = kRetentionMs;
  return begin;
}

claim_key Key() {
  return MakeBegin("a").key;
}

claim_response MakeResponse(std::string body) {
  return {200, {{"Content-Type", "text/plain"}}, std::move(body), false};
}

claim_finish MakeFinish(const char* attempt, std::string body = "token") {
  return {Key(), attempt_id(attempt), MakeResponse(std::move(body))};
}

claim_release MakeRelease(const char* attempt) {
  return {Key(), attempt_id(attempt)};
}

struct claim_step {
  int64_t at = 0;
  claim_command command;
  claim_result expected;
};

struct claim_case {
  const char* name;
  std::vector<claim_step> steps;
};

claim_limits TestLimits() {
  claim_limits limits;
  limits.expired_key_retention_ms = kExpiredKeyRetentionMs;
  return limits;
}

claim_state Reloaded(const claim_state& state, const claim_limits& limits) {
  std::stringstream bytes;
  EXPECT_TRUE(IsOk(state.BeginSnapshot()->Write(bytes)));
  claim_state loaded(limits);
  EXPECT_TRUE(IsOk(loaded.LoadSnapshot(bytes)));
  return loaded;
}

class claim_command_sequences : public testing::TestWithParam<claim_case> {};

// Each case also runs with the state saved to a snapshot and loaded from it
// before every step.
TEST_P(claim_command_sequences, ReturnTheExpectedResults) {
  claim_state continuous(TestLimits());
  claim_state reloaded(TestLimits());
  for (const claim_step& step : GetParam().steps) {
    reloaded = Reloaded(reloaded, TestLimits());
    EXPECT_EQ(continuous.ApplyCommand(step.at, step.command).result,
              step.expected)
        << "at " << step.at;
    EXPECT_EQ(reloaded.ApplyCommand(step.at, step.command).result,
              step.expected)
        << "reloaded, at " << step.at;
  }
}

using enum claim_result;

const claim_case kCases[] = {
    {"ResendWhileOpen",
     {{0, MakeBegin("a1"), kGranted}, {1, MakeBegin("a2", "h2"), kInProgress}}},
    {"SameAttemptTwice",
     {{0, MakeBegin("a1"), kGranted}, {1, MakeBegin("a1"), kGranted}}},
    {"ResendAfterFinish",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeFinish("a1"), kApplied},
      {2, MakeFinish("a1"), kApplied},
      {3, MakeBegin("a2", "h2"), kResponseRecorded},
      {4, MakeBegin("a1"), kResponseRecorded}}},
    {"OtherRequestUnderTheKey",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeBegin("a2", "h1", 1, "other"), kRequestDiffers},
      {2, MakeFinish("a1"), kApplied},
      {3, MakeBegin("a3", "h1", 1, "other"), kRequestDiffers}}},
    {"ReleasedKeyIsClaimedAgain",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeRelease("a1"), kApplied},
      {2, MakeBegin("a2"), kGranted},
      {3, MakeRelease("a1"), kApplied},
      {4, MakeBegin("a3"), kInProgress}}},
    {"ReleaseBeforeItsBegin",
     {{0, MakeRelease("a1"), kApplied},
      {1, MakeBegin("a1"), kAttemptReleased},
      {2, MakeBegin("a2"), kGranted}}},
    {"AnsweredClaimIsNotReleased",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeFinish("a1"), kApplied},
      {2, MakeRelease("a1"), kNotHolder},
      {3, MakeBegin("a2"), kResponseRecorded}}},
    {"OnlyTheHolderFinishes",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeFinish("a2"), kNotHolder},
      {2, MakeBegin("a3"), kInProgress}}},
    {"HolderIsAbandoned",
     {{0, MakeBegin("a1"), kGranted},
      {1, claim_abandon{host_id("h1"), 1}, kApplied},
      {2, MakeBegin("a2", "h2"), kOutcomeUnknown},
      {3, MakeBegin("a3", "h1", 1), kOutcomeUnknown}}},
    {"BeginOfAnAbandonedIncarnation",
     {{0, claim_abandon{host_id("h1"), 1}, kApplied},
      {1, MakeBegin("a1"), kStaleHost},
      {2, MakeBegin("a2", "h1", 2), kGranted}}},
    {"HolderRestarts",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeBegin("a2", "h1", 2), kOutcomeUnknown}}},
    {"AbandonedHolderStillFinishes",
     {{0, MakeBegin("a1"), kGranted},
      {1, claim_abandon{host_id("h1"), 1}, kApplied},
      {2, MakeFinish("a1"), kApplied},
      {3, MakeBegin("a2", "h2"), kResponseRecorded}}},
    {"OpenTimeoutPasses",
     {{0, MakeBegin("a1"), kGranted},
      {kOpenTimeoutMs - 1, MakeBegin("a2"), kInProgress},
      {kOpenTimeoutMs, MakeBegin("a3"), kOutcomeUnknown},
      {kOpenTimeoutMs + 1, MakeRelease("a1"), kApplied},
      {kOpenTimeoutMs + 2, MakeBegin("a4"), kGranted}}},
    {"UnknownOutcomeIsResolved",
     {{0, MakeBegin("a1"), kGranted},
      {1, claim_resolve{Key(), MakeResponse("token")}, kInProgress},
      {kOpenTimeoutMs, claim_resolve{Key(), MakeResponse("token")},
       kResponseRecorded},
      {kOpenTimeoutMs + 1, MakeBegin("a2"), kResponseRecorded}}},
    {"NothingToResolve",
     {{0, claim_resolve{Key(), MakeResponse("token")}, kNotHolder}}},
    {"ExpiredKeyIsRefused",
     {{0, MakeBegin("a1"), kGranted},
      {1, MakeFinish("a1"), kApplied},
      {kRetentionMs - 1, MakeBegin("a2"), kResponseRecorded},
      {kRetentionMs + 60'000, MakeBegin("a3"), kExpired},
      {kRetentionMs + 60'001, MakeFinish("a1"), kNotHolder},
      {kRetentionMs + kExpiredKeyRetentionMs, MakeBegin("a4"), kExpired},
      {2 * (kRetentionMs + kExpiredKeyRetentionMs), MakeBegin("a5"),
       kGranted}}},
    {"LeaderTimeGoesBack",
     {{kOpenTimeoutMs, MakeBegin("a1"), kGranted},
      {0, MakeBegin("a2"), kInProgress},
      {2 * kOpenTimeoutMs, MakeBegin("a3"), kOutcomeUnknown}}},
};

INSTANTIATE_TEST_SUITE_P(Table,
                         claim_command_sequences,
                         testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

claim_begin MakeNumberedBegin(int number) {
  claim_begin begin = MakeBegin("a");
  begin.key = MakeClaimKey(account_id("acme"), std::to_string(number));
  begin.attempt = attempt_id(std::to_string(number));
  return begin;
}

struct limit_case {
  const char* name;
  std::function<void(claim_limits&)> set;
};

class claim_limits_test : public testing::TestWithParam<limit_case> {};

TEST_P(claim_limits_test, RefuseNewKeysAndKeepExistingClaims) {
  claim_limits limits = TestLimits();
  GetParam().set(limits);
  claim_state state(limits);
  int granted = 0;
  while (granted < 100 &&
         state.ApplyCommand(0, MakeNumberedBegin(granted)).result == kGranted) {
    ++granted;
  }
  ASSERT_EQ(granted, 4);
  EXPECT_EQ(state.ApplyCommand(0, MakeNumberedBegin(50)).result, kStorageFull);
  for (int i = 0; i < granted; ++i) {
    const claim_begin begin = MakeNumberedBegin(i);
    const claim_finish finish{
        begin.key, begin.attempt,
        MakeResponse(std::string(kMaxResponseBytes - 30, 'x'))};
    EXPECT_EQ(state.ApplyCommand(1, finish).result, kApplied);
    const claim_reply reply = state.ApplyCommand(2, begin);
    ASSERT_EQ(reply.result, kResponseRecorded);
    EXPECT_FALSE(reply.response->is_body_dropped);
  }
  claim_state loaded = Reloaded(state, limits);
  EXPECT_EQ(loaded.ApplyCommand(3, MakeNumberedBegin(50)).result, kStorageFull);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    claim_limits_test,
    testing::Values(limit_case{"Claims",
                               [](claim_limits& l) { l.max_claims = 4; }},
                    limit_case{"Keys", [](claim_limits& l) { l.max_keys = 4; }},
                    limit_case{"ResponseBytes",
                               [](claim_limits& l) {
                                 l.max_response_bytes = 4 * kMaxResponseBytes;
                               }}),
    [](const auto& info) { return info.param.name; });

TEST(ClaimState, OversizedResponseIsRecordedWithoutItsBody) {
  claim_state state;
  state.ApplyCommand(0, MakeBegin("a1"));
  state.ApplyCommand(1,
                     MakeFinish("a1", std::string(kMaxResponseBytes + 1, 'x')));
  const claim_reply reply = state.ApplyCommand(2, MakeBegin("a2"));
  ASSERT_EQ(reply.result, kResponseRecorded);
  EXPECT_TRUE(reply.response->is_body_dropped);
  EXPECT_EQ(reply.response->http_status, 200);
}

TEST(ClaimState, SnapshotIsNotChangedByLaterCommands) {
  claim_state state;
  state.ApplyCommand(0, MakeBegin("a1"));
  const auto writer = state.BeginSnapshot();
  state.ApplyCommand(1, MakeFinish("a1"));
  std::stringstream bytes;
  ASSERT_TRUE(IsOk(writer->Write(bytes)));
  claim_state loaded;
  ASSERT_TRUE(IsOk(loaded.LoadSnapshot(bytes)));
  const claim_lookup lookup{Key(), MakeBegin("a").request};
  EXPECT_EQ(loaded.Lookup(lookup).result, kInProgress);
  EXPECT_EQ(state.Lookup(lookup).result, kResponseRecorded);
}

TEST(ClaimState, MalformedCommandChangesNothing) {
  claim_state state;
  state.ApplyCommand(0, MakeBegin("a1"));
  const auto reply = Decode<claim_reply>(state.Apply({2, 1}, "junk"));
  EXPECT_EQ(ValueOf(reply).result, kMalformed);
  EXPECT_EQ(state.open_claims(), 1U);
  std::stringstream junk("junk that is no snapshot");
  EXPECT_FALSE(IsOk(state.LoadSnapshot(junk)));
}

TEST(ClaimKeys, DifferByAccountAndByPartBoundaries) {
  EXPECT_NE(MakeClaimKey(account_id("a"), "bc"),
            MakeClaimKey(account_id("ab"), "c"));
  EXPECT_NE(MakeRequestDigest("POST", "/a", "b"),
            MakeRequestDigest("POST", "/ab", ""));
  EXPECT_EQ(MakeClaimKey(account_id("a"), "b"),
            MakeClaimKey(account_id("a"), "b"));
}

}  // namespace
}  // namespace shallotport
