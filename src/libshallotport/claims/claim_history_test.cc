// Randomized simulation of hosts with their trackers. Commands and replies are
// delayed, reordered, duplicated and lost; hosts crash or are abandoned while
// alive; snapshots are reloaded. An oracle checks that the call of each key is
// executed at most once and that no recorded response gets lost.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <sstream>

#include "base/random_source.h"
#include "claims/claim_state.h"
#include "claims/claim_tracker.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 4;
constexpr int kKeys = 6;
constexpr int kSteps = 1'500;
constexpr int64_t kOpenTimeoutMs = 400;
constexpr int64_t kRetentionMs = 3'600'000;
constexpr milliseconds kSendWindow{60};

struct key_oracle {
  int executions = 0;
  std::string response;  // Of the execution.
  host_id executing_host;
  bool is_recorded = false;           // A claim_finish was committed.
  bool response_may_be_lost = false;  // Host crashed or stopped tracking it.
};

struct simulated_host {
  host_id id;
  incarnation started = 1;
  claim_tracker tracker;
  std::map<attempt_id, int> executing;  // Sent calls by key number.
};

// A command in flight to the log, or its reply in flight to the host.
struct message {
  int host = 0;
  incarnation started = 0;
  attempt_id attempt;
  int key_number = 0;
  claim_command command;
  std::optional<claim_reply> reply;
};

class claim_simulation {
 public:
  explicit claim_simulation(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      hosts_[i].id = host_id("h" + std::to_string(i));
    }
  }

  void Run() {
    for (int step = 0; step < kSteps && !testing::Test::HasFatalFailure();
         ++step) {
      Step();
    }
    Settle();
    CheckOutcomes();
  }

 private:
  bool OneIn(uint64_t n) { return UniformBelow(random_, n) == 0; }
  int RandomHost() { return static_cast<int>(UniformBelow(random_, kHosts)); }
  steady_time Now() const { return steady_time(milliseconds(now_)); }

  void Step() {
    now_ += static_cast<int64_t>(UniformBelow(random_, 8));
    switch (UniformBelow(random_, 16)) {
      case 0:
      case 1:
      case 2:
        return Request(RandomHost());
      case 3:
        return FinishCall(hosts_[RandomHost()]);
      case 4:
        return OneIn(12) ? Crash(hosts_[RandomHost()]) : Propose();
      case 5:
        return OneIn(25) ? Suspect(hosts_[RandomHost()]) : Propose();
      case 6:
        return OneIn(12) ? ReloadSnapshot() : Propose();
      default:
        return Deliver();
    }
  }

  claim_begin MakeBegin(int host, int key_number, const attempt_id& attempt) {
    claim_begin begin;
    begin.key = MakeClaimKey(account_id("a"), std::to_string(key_number));
    begin.host = hosts_[host].id;
    begin.host_incarnation = hosts_[host].started;
    begin.attempt = attempt;
    begin.open_timeout_ms = kOpenTimeoutMs;
    begin.retention_ms = kRetentionMs;
    return begin;
  }

  void Request(int host) {
    const int key_number = static_cast<int>(UniformBelow(random_, kKeys));
    const attempt_id attempt("t" + std::to_string(++attempts_));
    const claim_begin begin = MakeBegin(host, key_number, attempt);
    ASSERT_TRUE(IsOk(
        hosts_[host].tracker.Begin(attempt, begin.key, Now() + kSendWindow)));
    Send({host, hosts_[host].started, attempt, key_number, begin, {}});
  }

  // Loses one message in eight and sends one in eight twice.
  void Send(const message& sent) {
    const uint64_t fate = UniformBelow(random_, 8);
    if (fate != 0) {
      in_flight_.push_back(sent);
    }
    if (fate == 1) {
      in_flight_.push_back(sent);
    }
  }

  void Deliver() {
    if (in_flight_.empty()) {
      return;
    }
    const size_t chosen = UniformBelow(random_, in_flight_.size());
    std::swap(in_flight_[chosen], in_flight_.back());
    message delivered = std::move(in_flight_.back());
    in_flight_.pop_back();
    if (delivered.reply) {
      return OnReply(delivered);
    }
    delivered.reply = state_.ApplyCommand(now_, delivered.command);
    if (delivered.reply->response) {
      ASSERT_EQ(delivered.reply->response->body,
                oracle_[delivered.key_number].response);
    }
    Send(delivered);
  }

  void OnReply(const message& delivered) {
    simulated_host& host = hosts_[delivered.host];
    if (delivered.started != host.started &&
        !host.tracker.IsSettled(delivered.attempt)) {
      return;
    }
    if (!std::holds_alternative<claim_begin>(delivered.command)) {
      oracle_[delivered.key_number].is_recorded |=
          std::holds_alternative<claim_finish>(delivered.command) &&
          delivered.reply->result == claim_result::kApplied;
      return host.tracker.OnSettlementReply(delivered.attempt,
                                            *delivered.reply);
    }
    if (delivered.reply->result == claim_result::kStaleHost) {
      host.started = std::max(host.started, delivered.reply->known_incarnation);
    }
    if (host.tracker.MaySend(Now(), delivered.attempt, *delivered.reply)) {
      host.executing.emplace(delivered.attempt, delivered.key_number);
      key_oracle& key = oracle_[delivered.key_number];
      ++key.executions;
      key.response = delivered.attempt.text();
      key.executing_host = host.id;
      ASSERT_EQ(key.executions, 1) << "key " << delivered.key_number;
    }
  }

  void FinishCall(simulated_host& host) {
    if (host.executing.empty()) {
      return;
    }
    const auto [attempt, key_number] = *host.executing.begin();
    host.executing.erase(host.executing.begin());
    key_oracle& key = oracle_[key_number];
    if (OneIn(3)) {  // Refused before execution.
      key.executions = 0;
      key.response.clear();
      host.tracker.Release(Now(), attempt);
    } else if (OneIn(6)) {
      key.response_may_be_lost = true;
      host.tracker.StopTracking(attempt);
    } else {
      host.tracker.Finish(Now(), attempt, {200, {}, key.response, false});
    }
  }

  // Lets a random attempt of a host time out and proposes the host's due
  // settlements.
  void Propose() {
    const int number = RandomHost();
    simulated_host& host = hosts_[number];
    if (attempts_ > 0 && OneIn(4)) {
      const attempt_id attempt(
          "t" + std::to_string(UniformBelow(random_, attempts_) + 1));
      if (!host.executing.contains(attempt)) {
        host.tracker.MaySend(Now(), attempt,
                             MakeError(error_kind::kNoQuorum, "timeout"));
      }
    }
    for (claim_settlement& due : host.tracker.TakeDueSettlements(Now())) {
      const int key_number = KeyNumberOf(due.command);
      Send({number,
            host.started,
            due.attempt,
            key_number,
            std::move(due.command),
            {}});
    }
  }

  static int KeyNumberOf(const claim_command& command) {
    const auto* finish = std::get_if<claim_finish>(&command);
    const claim_key key =
        finish ? finish->key : std::get<claim_release>(command).key;
    int number = 0;
    while (MakeClaimKey(account_id("a"), std::to_string(number)) != key) {
      ++number;
    }
    return number;
  }

  void Crash(simulated_host& host) {
    for (auto& [number, key] : oracle_) {
      key.response_may_be_lost |=
          key.executing_host == host.id && !key.is_recorded;
    }
    host.executing.clear();
    host.tracker = claim_tracker();
    host.started += 1;
  }

  void Suspect(simulated_host& host) {
    state_.ApplyCommand(now_, claim_abandon{host.id, host.started});
  }

  void ReloadSnapshot() {
    std::stringstream bytes;
    ASSERT_TRUE(IsOk(state_.BeginSnapshot()->Write(bytes)));
    claim_state loaded;
    ASSERT_TRUE(IsOk(loaded.LoadSnapshot(bytes)));
    state_ = std::move(loaded);
  }

  // Every host finishes its calls and settles its attempts, the last of them
  // without loss.
  void Settle() {
    for (int round = 0; round < 400; ++round) {
      now_ += 100;
      for (simulated_host& host : hosts_) {
        FinishCall(host);
      }
      Propose();
      for (int i = 0; i < 40; ++i) {
        Deliver();
      }
    }
    for (int i = 0; i < kHosts; ++i) {
      for (const claim_settlement& due : hosts_[i].tracker.TakeDueSettlements(
               steady_time::max() - std::chrono::hours(1))) {
        hosts_[i].tracker.OnSettlementReply(
            due.attempt, state_.ApplyCommand(now_, due.command));
      }
    }
  }

  void CheckOutcomes() {
    for (int number = 0; number < kKeys; ++number) {
      const claim_begin begin = MakeBegin(0, number, attempt_id("end"));
      const claim_reply reply = state_.Lookup({begin.key, begin.request});
      const key_oracle& key = oracle_[number];
      EXPECT_NE(reply.result, claim_result::kInProgress) << number;
      if (key.is_recorded) {
        ASSERT_EQ(reply.result, claim_result::kResponseRecorded) << number;
      }
      if (key.executions == 1 && !key.response_may_be_lost) {
        ASSERT_EQ(reply.result, claim_result::kResponseRecorded) << number;
        EXPECT_EQ(reply.response->body, key.response);
      }
      if (key.executions == 1) {
        EXPECT_NE(reply.result, claim_result::kUnclaimed) << number;
      }
    }
  }

  random_source random_;
  int64_t now_ = 0;
  claim_state state_;
  simulated_host hosts_[kHosts];
  std::vector<message> in_flight_;
  std::map<int, key_oracle> oracle_;
  uint64_t attempts_ = 0;
};

class claim_simulation_test : public testing::TestWithParam<uint64_t> {};

TEST_P(claim_simulation_test, ExecutesTheCallOfEachKeyAtMostOnce) {
  for (uint64_t part = 0; part < 10; ++part) {
    SCOPED_TRACE("seed " + std::to_string(GetParam() * 1000 + part));
    claim_simulation(GetParam() * 1000 + part).Run();
    if (HasFailure()) {
      return;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         claim_simulation_test,
                         testing::Range<uint64_t>(1, 11));

}  // namespace
}  // namespace shallotport
