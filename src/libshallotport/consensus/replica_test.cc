#include "consensus/replica.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "consensus/consensus_core.h"
#include "consensus/forwarding_log.h"
#include "consensus/host_replacement.h"
#include "consensus/recording_state_test_util.h"

namespace shallotport {
namespace {

// Three replicas in one process on real files, linked by direct calls, each
// with a forwarding log. host-4 has only a forwarding log, and host-5 is a
// replica that is not a member at first.
class replica_test : public testing::Test {
 protected:
  struct node {
    recording_state state;
    std::unique_ptr<replica> member;
    std::unique_ptr<forwarding_log> log;
  };

  void SetUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("shallotport-replica-" + std::to_string(::getpid()));
    for (const host_id& host : hosts_) {
      MakeMember(host);
    }
    MakeMember(spare_);
    nodes_.try_emplace(host_id("host-4"));
    for (const host_id& host : hosts_) {
      StartLog(host);
    }
    StartLog(host_id("host-4"));
    StartLog(spare_);
    for (auto& [host, each] : nodes_) {
      if (each.member != nullptr) {
        ASSERT_TRUE(IsOk(each.member->Start()));
      }
    }
  }

  void TearDown() override {
    for (auto& [host, each] : nodes_) {
      each.log->Stop();
    }
    for (auto& [host, each] : nodes_) {
      if (each.member != nullptr) {
        each.member->Stop();
      }
    }
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }

  void MakeMember(const host_id& host) {
    replica_options options;
    options.host = host;
    options.folder = folder_ / host.text();
    options.initial_members = hosts_;
    options.heartbeat_interval = std::chrono::milliseconds(20);
    options.election_timeout = std::chrono::milliseconds(200);
    options.lease_duration = std::chrono::milliseconds(150);
    node& started = nodes_[host];
    auto member = replica::Create(
        options, clock_, [this, host](const host_id& to, std::string bytes) {
          const auto found = nodes_.find(to);
          if (found != nodes_.end() && found->second.member != nullptr) {
            found->second.member->OnPeerMessage(host, std::move(bytes));
          }
        });
    ASSERT_TRUE(IsOk(member));
    started.member = std::move(ValueOf(member));
    started.member->Register(replicated_slice::kOrders, &started.state);
  }

  void StartLog(const host_id& host) {
    forwarding_options options;
    options.host = host;
    options.host_incarnation = 1;
    options.members = hosts_;
    options.local = nodes_[host].member.get();
    auto log = forwarding_log::Create(
        options, clock_,
        [this, host](const host_id& to, const std::string& bytes) {
          const auto found = nodes_.find(to);
          const bool is_cut = host == host_id("host-4") && to == Unreachable();
          if (!is_cut && found != nodes_.end() &&
              found->second.log != nullptr) {
            found->second.log->OnPeerMessage(host, bytes);
          }
        });
    ASSERT_TRUE(IsOk(log));
    nodes_[host].log = std::move(ValueOf(log));
  }

  // The member that host-4 cannot send to.
  host_id Unreachable() const {
    const std::lock_guard lock(mutex_);
    return unreachable_;
  }
  void BlockLink(const host_id& host) {
    const std::lock_guard lock(mutex_);
    unreachable_ = host;
  }

  steady_time Deadline() const {
    return clock_.Now() + std::chrono::seconds(20);
  }

  const host_id spare_{"host-5"};  // Runs, but is not a member at first.
  const std::vector<host_id> hosts_ = {host_id("host-1"), host_id("host-2"),
                                       host_id("host-3")};
  mutable std::mutex mutex_;
  host_id unreachable_;
  system_clock_source clock_;
  std::filesystem::path folder_;
  std::map<host_id, node> nodes_;
};

TEST_F(replica_test, EveryHostCanProposeAndQuery) {
  constexpr int kCommands = 20;
  for (auto& [host, each] : nodes_) {
    for (int i = 0; i < kCommands; ++i) {
      const auto reply =
          each.log->Propose(replicated_slice::kOrders, "add 1", Deadline());
      ASSERT_TRUE(IsOk(reply)) << ErrorOf(reply).detail;
    }
  }
  const auto total = nodes_[host_id("host-4")].log->Query(
      replicated_slice::kOrders, "", Deadline());
  ASSERT_TRUE(IsOk(total));
  EXPECT_EQ(ValueOf(total), std::to_string(kCommands * nodes_.size()));
}

TEST_F(replica_test, StoppingLeaderTransfersLeadership) {
  forwarding_log& log = *nodes_[host_id("host-4")].log;
  ASSERT_TRUE(
      IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  const host_id leader = log.leader();
  nodes_[leader].member->Stop();
  ASSERT_TRUE(
      IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  EXPECT_NE(log.leader(), leader);
  const auto total = log.Query(replicated_slice::kOrders, "", Deadline());
  ASSERT_TRUE(IsOk(total));
  EXPECT_EQ(ValueOf(total), "2");
}

TEST_F(replica_test, HostWithoutALinkToTheLeaderIsRelayed) {
  forwarding_log& log = *nodes_[host_id("host-4")].log;
  ASSERT_TRUE(
      IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  BlockLink(log.leader());
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(
        IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  }
  const auto total = log.Query(replicated_slice::kOrders, "", Deadline());
  ASSERT_TRUE(IsOk(total));
  EXPECT_EQ(ValueOf(total), "21");
  nlohmann::json state;
  log.WriteState(state);
  EXPECT_LT(state["counters"]["log_attempts_unanswered"], 10);
}

TEST_F(replica_test, ReplaceVoterIsIdempotentAndTheNewMemberVotes) {
  forwarding_log& log = *nodes_[host_id("host-4")].log;
  ASSERT_TRUE(
      IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  const auto take = [&](membership_step step, const host_id& host) {
    return log.ChangeMembership(step, host, Deadline());
  };
  for (int repeat = 0; repeat < 2; ++repeat) {
    const status replaced =
        ReplaceVoter(take, hosts_[2], spare_, clock_, Deadline());
    ASSERT_TRUE(IsOk(replaced)) << ErrorOf(replaced).detail;
  }
  const std::vector<host_id> expected = {hosts_[0], hosts_[1], spare_};
  EXPECT_EQ(log.members(), expected);
  // The new member votes: the group works without one of the old members.
  nodes_[hosts_[2]].member->Stop();
  nodes_[hosts_[0]].member->Stop();
  ASSERT_TRUE(
      IsOk(log.Propose(replicated_slice::kOrders, "add 1", Deadline())));
  const auto total = log.Query(replicated_slice::kOrders, "", Deadline());
  ASSERT_TRUE(IsOk(total));
  EXPECT_EQ(ValueOf(total), "2");
}

}  // namespace
}  // namespace shallotport
