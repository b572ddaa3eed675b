#include <gtest/gtest.h>

#include <cstdlib>

#include "consensus/replica_group_simulation_test_util.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kClients = 4;
constexpr int kAttemptsPerCommand = 12;
constexpr uint64_t kRunsPerShard = 25;
constexpr int kShards = 8;

// One simulation with a seed: random faults under load, then a fault-free time
// after which the oracle compares the members. Guards against lost, duplicated
// or reordered commands, stale reads and two leases at once.
class chaos_simulation {
 public:
  explicit chaos_simulation(uint64_t seed)
      : seed_(seed),
        random_(seed),
        group_(seed * 7 + 1, Hosts(UniformBelow(random_, 2) == 0 ? 3 : 5)) {
    group_.drop_probability = 0.08 * UniformUnit(random_);
    group_.duplicate_probability = 0.1 * UniformUnit(random_);
    group_.max_delay = milliseconds(1 + UniformBelow(random_, 60));
    group_.snapshot_after_entries = 10 + UniformBelow(random_, 80);
    group_.trailing_entries = UniformBelow(random_, 40);
    group_.segment_bytes = 200 + UniformBelow(random_, 4'000);
    for (int i = 0; i < kClients; ++i) {
      clients_[i].content.origin = {host_id("client-" + std::to_string(i)), 1,
                                    0, 0};
      clients_[i].content.slice = replicated_slice::kOrders;
    }
  }

  void Run() {
    const duration until = group_.elapsed + seconds(20);
    while (group_.elapsed < until && !testing::Test::HasFailure()) {
      InjectFault();
      for (replica_group_simulation::client& each : clients_) {
        DriveClient(each);
      }
      if (UniformBelow(random_, 10) == 0) {
        group_.Read(AnyHost());
      }
      Repair();
      group_.Step();
    }
    Converge();
  }

  uint64_t acknowledged() const { return group_.acknowledged.size(); }
  uint64_t reads() const { return group_.reads_answered; }

 private:
  host_id AnyHost() {
    auto at = group_.members.begin();
    std::advance(at, UniformBelow(random_, group_.members.size()));
    return at->first;
  }

  void DriveClient(replica_group_simulation::client& each) {
    if (!each.is_open || each.attempts >= kAttemptsPerCommand) {
      if (UniformBelow(random_, 5) != 0) {
        return;
      }
      // Sometimes the client restarts while its earlier attempts are in flight.
      if (UniformBelow(random_, 50) == 0) {
        ++each.content.origin.host_incarnation;
        each.content.origin.sequence = 0;
      }
      ++each.content.origin.sequence;
      each.content.command =
          each.content.origin.host.text() + "/" +
          std::to_string(each.content.origin.host_incarnation) + "/" +
          std::to_string(each.content.origin.sequence);
      each.is_open = true;
      each.attempts = 0;
      each.retry_at = group_.elapsed;
    }
    if (group_.elapsed < each.retry_at) {
      return;
    }
    ++each.attempts;
    each.retry_at =
        group_.elapsed + milliseconds(20 + UniformBelow(random_, 400));
    const host_id leader = group_.Leader();
    const bool is_guess = leader.IsEmpty() || UniformBelow(random_, 5) == 0;
    group_.Propose(is_guess ? AnyHost() : leader, each);
  }

  void InjectFault() {
    switch (UniformBelow(random_, 400)) {
      case 0:
      case 1:
        group_.BlockLink(AnyHost(), AnyHost(), false);
        return;
      case 2:
        group_.BlockLink(AnyHost(), AnyHost(), true);
        return;
      case 3:
        group_.Isolate(AnyHost());
        return;
      case 4:
      case 5:
      case 6:
        group_.Heal();
        return;
      case 7:
      case 8:
        CrashIfUp(AnyHost());
        return;
      case 9:
        if (!group_.Leader().IsEmpty()) {
          CrashIfUp(group_.Leader());
        }
        return;
      case 10:
        RequestRandomStep();
        return;
      case 11:
        WipeDisk();
        return;
      case 12:
        TransferLeadership();
        return;
      default:
        return;
    }
  }

  void CrashIfUp(const host_id& host) {
    if (group_.members.at(host).driver != nullptr) {
      group_.Crash(host, milliseconds(UniformBelow(random_, 3'000)));
    }
  }

  void TransferLeadership() {
    const host_id leader = group_.Leader();
    if (leader.IsEmpty()) {
      return;
    }
    replica_group_simulation::member& at = group_.members.at(leader);
    at.driver->Handle(at.clock->Now(),
                      stop_request{std::make_shared<std::promise<void>>()});
    at.next_flush_at = at.clock->Now();
  }

  void RequestRandomStep() {
    if (!wiped_.IsEmpty()) {
      return;
    }
    const auto step = static_cast<membership_step>(UniformBelow(random_, 3));
    if (step == membership_step::kAddLearner && group_.members.size() < 7 &&
        UniformBelow(random_, 2) == 0) {
      group_.AddHost(
          host_id("host-" + std::to_string(group_.members.size() + 1)));
    }
    group_.RequestMembershipStep(step, AnyHost(),
                                 [](const result<std::string>&) {});
  }

  // Wipes one disk at a time, and only after the previous one was replaced.
  void WipeDisk() {
    if (!wiped_.IsEmpty()) {
      return;
    }
    const host_id host = AnyHost();
    bool is_founded = false;
    for (const auto& [other, each] : group_.members) {
      if (each.driver == nullptr) {
        return;
      }
      const group_membership& members = each.driver->core()->membership();
      if (!members.IsFounding()) {
        is_founded = true;
        if (!KeepsQuorumWithout(members, host)) {
          return;
        }
      }
    }
    if (!is_founded) {
      return;
    }
    CrashIfUp(host);
    group_.members.at(host).files.Wipe();
    wiped_ = host;
    next_step_ = membership_step::kRemove;
  }

  // Whether the group keeps its quorum without the host's disk according to
  // this member's list, which may not be committed.
  static bool KeepsQuorumWithout(const group_membership& members,
                                 const host_id& host) {
    const group_member* member = members.Find(host);
    const bool is_voter = member != nullptr && member->is_voter;
    return is_voter && members.VoterCount() >= 3;
  }

  // Replaces the wiped member step by step, as an operator does.
  void Repair() {
    if (wiped_.IsEmpty() || group_.elapsed < next_step_at_) {
      return;
    }
    next_step_at_ = group_.elapsed + milliseconds(300);
    group_.RequestMembershipStep(
        next_step_, wiped_,
        [this, step = next_step_](const result<std::string>& reply) {
          if (step == next_step_ && !wiped_.IsEmpty()) {
            OnStep(reply);
          }
        });
  }

  void OnStep(const result<std::string>& reply) {
    const std::string detail = IsOk(reply) ? "" : ErrorOf(reply).detail;
    last_rejection_ = detail;
    const bool is_in_effect =
        IsOk(reply) || detail.find("is a member already") != detail.npos ||
        detail.find("is a voter already") != detail.npos ||
        detail.find("is no member") != detail.npos;
    if (!is_in_effect) {
      return;
    }
    switch (next_step_) {
      case membership_step::kRemove:
        next_step_ = membership_step::kAddLearner;
        return;
      case membership_step::kAddLearner:
        next_step_ = membership_step::kPromote;
        return;
      case membership_step::kPromote:
        if (detail.find("is no member") != detail.npos) {
          next_step_ = membership_step::kAddLearner;
        } else {
          wiped_ = host_id();
        }
        return;
    }
  }

  void Converge() {
    group_.Heal();
    group_.drop_probability = 0;
    group_.duplicate_probability = 0;
    group_.max_delay = milliseconds(4);
    for (auto& [host, each] : group_.members) {
      each.restart_at = std::min(each.restart_at, group_.elapsed);
    }
    const duration until = group_.elapsed + seconds(8);
    while (!testing::Test::HasFailure() &&
           (group_.elapsed < until || !wiped_.IsEmpty())) {
      ASSERT_LT(group_.elapsed, until + seconds(30))
          << wiped_.text()
          << " could not be replaced; last rejection: " << last_rejection_
          << "\n"
          << group_.Dump();
      Repair();
      group_.Step();
    }
    EXPECT_TRUE(group_.Commit("last", seconds(8)))
        << "no commit in the fault-free time\n"
        << group_.Dump();
    group_.Run(seconds(2));
    group_.CheckConverged();
  }

  const uint64_t seed_;
  random_source random_;
  replica_group_simulation group_;
  replica_group_simulation::client clients_[kClients];
  host_id wiped_;
  membership_step next_step_ = membership_step::kRemove;
  std::string last_rejection_;
  duration next_step_at_{};
};

class replica_chaos_test : public testing::TestWithParam<int> {};

// CHAOS_SEED and CHAOS_RUNS select the first seed and the number of simulations
// for manual use.
TEST_P(replica_chaos_test, KeepsEveryAcknowledgedCommandUnderRandomFaults) {
  const char* first = std::getenv("CHAOS_SEED");
  const char* count = std::getenv("CHAOS_RUNS");
  const uint64_t base = first == nullptr ? 1'000 : std::stoull(first);
  const uint64_t runs = count == nullptr ? kRunsPerShard : std::stoull(count);
  uint64_t acknowledged = 0;
  uint64_t reads = 0;
  for (uint64_t i = 0; i < runs; ++i) {
    const uint64_t seed = base + runs * static_cast<uint64_t>(GetParam()) + i;
    chaos_simulation run(seed);
    run.Run();
    acknowledged += run.acknowledged();
    reads += run.reads();
    ASSERT_FALSE(HasFailure()) << "CHAOS_SEED=" << seed << " CHAOS_RUNS=1";
  }
  RecordProperty("acknowledged", std::to_string(acknowledged));
  RecordProperty("reads", std::to_string(reads));
  EXPECT_GT(acknowledged, 10 * runs);
  EXPECT_GT(reads, runs);
}

INSTANTIATE_TEST_SUITE_P(seeds, replica_chaos_test, testing::Range(0, kShards));

}  // namespace
}  // namespace shallotport
