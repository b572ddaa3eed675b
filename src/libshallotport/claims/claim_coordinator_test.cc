#include "claims/claim_coordinator.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

#include "base/codec.h"
#include "claims/claim_state.h"
#include "consensus/replicated_log.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

class fixed_clock final : public clock_source {
 public:
  steady_time Now() const override { return now; }
  wall_milliseconds WallNow() const override { return 0; }
  steady_time now{std::chrono::hours(1)};
};

// A log of one member that can refuse proposals or lose its replies.
class fake_log final : public replicated_log {
 public:
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time) override {
    const std::lock_guard lock(mutex);
    EXPECT_EQ(slice, replicated_slice::kClaims);
    if (is_unreachable) {
      return MakeError(error_kind::kNotLeader, "not proposed");
    }
    std::string reply = state.Apply({++index, 0}, command);
    applied.notify_all();
    if (is_reply_lost) {
      return MakeError(error_kind::kNoQuorum, "no reply");
    }
    return reply;
  }

  result<std::string> Query(replicated_slice,
                            std::string query,
                            steady_time) override {
    const std::lock_guard lock(mutex);
    return state.Query(query);
  }

  void WaitForNoOpenClaims() {
    std::unique_lock lock(mutex);
    applied.wait(lock, [&] { return state.open_claims() == 0; });
  }

  std::mutex mutex;
  std::condition_variable applied;
  claim_state state;
  log_index index = 0;
  bool is_unreachable = false;
  bool is_reply_lost = false;
};

struct coordinator_fixture {
  explicit coordinator_fixture(const char* host = "h1",
                               fake_log* shared = nullptr)
      : log(shared ? *shared : own_log),
        coordinator({.host = host_id(host), .started = 1}, log, clock) {}

  result<claim_permission> Begin(const char* attempt,
                                 milliseconds window = milliseconds(100)) {
    const claim_request request{account_id("acme"), "key",
                                MakeRequestDigest("POST", "/", "body"),
                                attempt_id(attempt), endpoint_id("e1")};
    return coordinator.Begin(request, clock.now + window,
                             clock.now + milliseconds(1000));
  }

  fixed_clock clock;
  fake_log own_log;
  fake_log& log;
  claim_coordinator coordinator;
};

error_kind ErrorKindOf(const result<claim_permission>& outcome) {
  return IsOk(outcome) ? error_kind::kInternal : ErrorOf(outcome).kind;
}

bool IsGranted(const result<claim_permission>& outcome) {
  return IsOk(outcome) &&
         std::holds_alternative<claim_granted>(ValueOf(outcome));
}

TEST(ClaimCoordinator, AnotherHostReceivesTheRecordedResponse) {
  coordinator_fixture first("h1");
  coordinator_fixture second("h2", &first.own_log);
  ASSERT_TRUE(IsGranted(first.Begin("a1")));
  EXPECT_EQ(ErrorKindOf(second.Begin("b1")), error_kind::kInProgress);
  EXPECT_TRUE(first.coordinator.Finish(
      attempt_id("a1"), {200, {}, "token", false}, first.clock.now));
  const auto resent = second.Begin("b2");
  ASSERT_TRUE(IsOk(resent));
  EXPECT_EQ(std::get<claim_response>(ValueOf(resent)).body, "token");
}

TEST(ClaimCoordinator, UnreachableLogIsNoQuorumAndALaterAttemptIsGranted) {
  coordinator_fixture t;
  t.log.is_unreachable = true;
  EXPECT_EQ(ErrorKindOf(t.Begin("a1")), error_kind::kNoQuorum);
  t.log.is_unreachable = false;
  EXPECT_TRUE(IsGranted(t.Begin("a2")));
}

TEST(ClaimCoordinator, GrantAfterTheSendDeadlineIsNotSentAndIsReleased) {
  coordinator_fixture t;
  ASSERT_EQ(ErrorKindOf(t.Begin("a1", milliseconds(0))),
            error_kind::kDeadlineUnreachable);
  EXPECT_EQ(t.log.state.open_claims(), 1U);
  t.coordinator.Start();
  t.log.WaitForNoOpenClaims();
  EXPECT_TRUE(IsGranted(t.Begin("a2")));
}

TEST(ClaimCoordinator, ClaimWhoseReplyWasLostIsReleasedInTheBackground) {
  coordinator_fixture t;
  t.log.is_reply_lost = true;
  ASSERT_EQ(ErrorKindOf(t.Begin("a1")), error_kind::kNoQuorum);
  EXPECT_EQ(t.log.state.open_claims(), 1U);
  t.coordinator.Start();
  t.log.WaitForNoOpenClaims();
  t.coordinator.Stop();
  t.log.is_reply_lost = false;
  EXPECT_TRUE(IsGranted(t.Begin("a2")));
}

TEST(ClaimCoordinator, AdoptsAHigherIncarnationWhenItsOwnWasAbandoned) {
  coordinator_fixture t;
  t.log.state.ApplyCommand(0, claim_abandon{host_id("h1"), 1});
  EXPECT_TRUE(IsGranted(t.Begin("a1")));
}

TEST(ClaimCoordinator, ReleasedKeyCanBeClaimedAgain) {
  coordinator_fixture t;
  ASSERT_TRUE(IsGranted(t.Begin("a1")));
  EXPECT_TRUE(t.coordinator.Release(attempt_id("a1"), t.clock.now));
  EXPECT_TRUE(IsGranted(t.Begin("a2")));
}

TEST(ClaimTracker, LimitsTrackedAttemptsAndSendsEachOnce) {
  claim_tracker tracker({.max_attempts = 1});
  const steady_time now{};
  claim_reply granted;
  granted.result = claim_result::kGranted;
  const attempt_id attempt("a");
  ASSERT_TRUE(IsOk(tracker.Begin(attempt, {}, now + milliseconds(1))));
  EXPECT_FALSE(IsOk(tracker.Begin(attempt_id("b"), {}, now)));
  EXPECT_TRUE(tracker.MaySend(now, attempt, granted));
  EXPECT_FALSE(tracker.MaySend(now, attempt, granted));
}

}  // namespace
}  // namespace shallotport
