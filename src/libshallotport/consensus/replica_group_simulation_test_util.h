#ifndef SHALLOTPORT_CONSENSUS_REPLICA_GROUP_SIMULATION_TEST_UTIL_H_
#define SHALLOTPORT_CONSENSUS_REPLICA_GROUP_SIMULATION_TEST_UTIL_H_

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_source.h"
#include "consensus/recording_state_test_util.h"
#include "consensus/replica_driver.h"
#include "storage/fake_file_system_test_util.h"

namespace shallotport {

// A consensus group in virtual time on fake files, clocks and links, driven by
// one thread. An oracle checks at each step that there is at most one lease,
// one order of commits and no stale read.
class replica_group_simulation {
 public:
  static constexpr auto kStep = std::chrono::milliseconds(5);

  // A monotonic clock that drifts against those of the other members.
  class drifting_clock final : public clock_source {
   public:
    drifting_clock(const replica_group_simulation& group,
                   double rate,
                   int64_t offset)
        : group_(group), rate_(rate), offset_(offset) {}
    steady_time Now() const override {
      const auto elapsed = static_cast<double>(group_.elapsed.count());
      return steady_time(
          duration(offset_ + static_cast<int64_t>(rate_ * elapsed)));
    }
    wall_milliseconds WallNow() const override {
      return offset_ + group_.elapsed.count() / 1000;
    }

   private:
    const replica_group_simulation& group_;
    const double rate_;
    const int64_t offset_;
  };

  struct member {
    fake_file_system files;
    std::unique_ptr<drifting_clock> clock;
    std::unique_ptr<recording_state> state;
    std::unique_ptr<replica_driver> driver;  // Null while the member is down.
    steady_time next_flush_at{};
    duration restart_at{};
  };

  struct packet {
    host_id from;
    host_id to;
    std::string bytes;
    duration deliver_at;
  };

  // A client with its current command, which tests retry until it is
  // acknowledged.
  struct client {
    proposal content;
    bool is_open = false;
    int attempts = 0;
    duration retry_at{};
  };

  replica_group_simulation(uint64_t seed, std::vector<host_id> hosts)
      : random(seed), founders(std::move(hosts)) {
    for (const host_id& host : founders) {
      AddHost(host);
    }
  }

  ~replica_group_simulation() {
    for (auto& [host, each] : members) {
      each.driver.reset();
    }
  }

  void AddHost(const host_id& host) {
    member& added = members[host];
    const double rate = 0.95 + 0.1 * UniformUnit(random);
    added.clock = std::make_unique<drifting_clock>(
        *this, rate,
        1'000'000 + static_cast<int64_t>(UniformBelow(random, 1'000'000)));
    added.restart_at = elapsed;
  }

  void Start(const host_id& host) {
    member& started = members.at(host);
    replica_options options;
    options.host = host;
    options.folder = "/data";
    options.initial_members = founders;
    options.seed = random();
    options.snapshot_after_entries = snapshot_after_entries;
    options.trailing_entries = trailing_entries;
    options.segment_bytes = segment_bytes;
    options.files = &started.files;
    started.state = std::make_unique<recording_state>();
    started.driver = std::make_unique<replica_driver>(
        options, *started.clock,
        [this, host](const host_id& to, const std::string& bytes) {
          Send(host, to, bytes);
        });
    started.driver->states().Register(replicated_slice::kOrders,
                                      started.state.get());
    started.driver->on_applied = [this, host](const log_entry& entry) {
      CheckApplied(host, entry);
    };
    const status opened = started.driver->Open();
    if (!IsOk(opened)) {
      started.driver.reset();
      started.restart_at = duration::max();
      FAIL() << host.text() << ": " << ErrorOf(opened).detail;
    }
    started.next_flush_at = started.clock->Now();
  }

  // Ends the process; part of the unsynced bytes are lost.
  void Crash(const host_id& host, duration down_time) {
    member& crashed = members.at(host);
    crashed.driver.reset();
    crashed.files.Crash(random);
    crashed.restart_at = elapsed + down_time;
  }

  void Send(const host_id& from, const host_id& to, const std::string& bytes) {
    if (!members.contains(to) || blocked_links.contains({from, to}) ||
        UniformUnit(random) < drop_probability) {
      return;
    }
    const int copies = UniformUnit(random) < duplicate_probability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay = duration(UniformBelow(random, max_delay.count()));
      packets.push_back({from, to, bytes, elapsed + delay});
    }
  }

  void BlockLink(const host_id& a, const host_id& b, bool is_both_ways) {
    blocked_links.insert({a, b});
    if (is_both_ways) {
      blocked_links.insert({b, a});
    }
  }
  void Isolate(const host_id& host) {
    for (const auto& [other, each] : members) {
      BlockLink(host, other, true);
    }
  }
  void Heal() { blocked_links.clear(); }

  // The member's next sync takes as long as `meanwhile` runs the group. Until
  // then the member does nothing, and what is sent to it waits.
  void StallNextSync(const host_id& host, std::function<void()> meanwhile) {
    members.at(host).files.OnNextSync(
        [this, host, meanwhile = std::move(meanwhile)] {
          stalled.insert(host);
          meanwhile();
          stalled.erase(host);
        });
  }

  // Advances the time by one step: delivers packets, restarts members, flushes
  // those that need it and checks the leases.
  void Step() {
    elapsed += kStep;
    std::vector<packet> deliverable;
    std::erase_if(packets, [&](packet& each) {
      const bool is_due =
          each.deliver_at <= elapsed && !stalled.contains(each.to);
      if (is_due) {
        deliverable.push_back(std::move(each));
      }
      return is_due;
    });
    std::shuffle(deliverable.begin(), deliverable.end(), random);
    for (packet& each : deliverable) {
      member& to = members.at(each.to);
      const bool is_blocked = blocked_links.contains({each.from, each.to});
      if (to.driver != nullptr && !is_blocked) {
        to.driver->Handle(to.clock->Now(), peer_bytes{std::move(each.bytes)});
        to.next_flush_at = to.clock->Now();
      }
    }
    for (auto& [host, each] : members) {
      if (each.driver == nullptr && elapsed >= each.restart_at) {
        Start(host);
      }
      if (each.driver != nullptr && !stalled.contains(host) &&
          each.clock->Now() >= each.next_flush_at) {
        each.next_flush_at = each.driver->Flush(each.clock->Now());
        each.driver->WaitForSnapshot();
      }
    }
    CheckLeases();
  }

  void Run(duration time) {
    const duration until = elapsed + time;
    while (elapsed < until && !testing::Test::HasFailure()) {
      Step();
    }
  }

  // The member that holds the lease; empty if there is none.
  host_id Leader() const {
    for (const auto& [host, each] : members) {
      if (HoldsLease(each)) {
        return host;
      }
    }
    return host_id();
  }

  bool RunUntilLeader(duration limit) {
    const duration until = elapsed + limit;
    while (Leader().IsEmpty() && elapsed < until) {
      Step();
    }
    return !Leader().IsEmpty();
  }

  // Proposes through `host`; the oracle records the reply.
  void Propose(const host_id& host, client& from) {
    member& to = members.at(host);
    if (to.driver == nullptr) {
      return;
    }
    to.driver->Handle(
        to.clock->Now(),
        submitted_proposal{from.content, [this, &from, sent = from.content](
                                             const result<std::string>& reply) {
                             OnReply(from, sent, reply);
                           }});
    to.next_flush_at = to.clock->Now();
  }

  void OnReply(client& from,
               const proposal& sent,
               const result<std::string>& reply) {
    if (IsOk(reply)) {
      const auto [known, is_first] =
          acknowledged.try_emplace(sent.command, ValueOf(reply));
      EXPECT_EQ(known->second, ValueOf(reply))
          << sent.command << " got two different replies";
      EXPECT_TRUE(committed_commands.contains(sent.command)) << sent.command;
      newest_acknowledged =
          std::max(newest_acknowledged, std::stoul(ValueOf(reply)));
    }
    const bool is_current = from.content.command == sent.command;
    if (is_current && IsOk(reply)) {
      from.is_open = false;
    }
  }

  // Checks that a read includes every command acknowledged before it began.
  void Read(const host_id& host) {
    member& at = members.at(host);
    if (at.driver == nullptr) {
      return;
    }
    const uint64_t least = newest_acknowledged;
    at.driver->Handle(
        at.clock->Now(),
        submitted_query{replicated_slice::kOrders, "",
                        [this, least, host](const result<std::string>& reply) {
                          if (IsOk(reply)) {
                            ++reads_answered;
                            EXPECT_GE(std::stoul(ValueOf(reply)), least)
                                << host.text()
                                << " replied to a read with stale state at "
                                << elapsed.count();
                          }
                        }});
    at.next_flush_at = at.clock->Now();
  }

  // Requests one membership step from the leader.
  void RequestMembershipStep(membership_step step,
                             const host_id& host,
                             replica::reply_function reply) {
    const host_id leader = Leader();
    if (leader.IsEmpty()) {
      reply(MakeError(error_kind::kNotLeader, "no leader"));
      return;
    }
    member& at = members.at(leader);
    at.driver->Handle(at.clock->Now(),
                      submitted_step{step, host, std::move(reply)});
    at.next_flush_at = at.clock->Now();
  }

  // Retries a membership step until it is committed.
  status CommitMembershipStep(membership_step step,
                              const host_id& host,
                              duration limit) {
    const duration until = elapsed + limit;
    status outcome = MakeError(error_kind::kInternal, "no attempt was made");
    while (elapsed < until) {
      auto reply = std::make_shared<std::optional<status>>();
      RequestMembershipStep(
          step, host, [reply](const result<std::string>& received) {
            *reply =
                IsOk(received) ? status(success{}) : status(ErrorOf(received));
          });
      for (int i = 0; i < 20 && !reply->has_value(); ++i) {
        Step();
      }
      Step();
      outcome = reply->value_or(MakeError(error_kind::kNoQuorum, "no reply"));
      if (IsOk(outcome)) {
        return outcome;
      }
    }
    return outcome;
  }

  // Proposes a new command until it is acknowledged.
  bool Commit(const std::string& command, duration limit) {
    client once;
    once.content.origin = {host_id("client-once"), 1, 0, ++commit_sequence};
    once.content.slice = replicated_slice::kOrders;
    once.content.command = command;
    once.is_open = true;
    const duration until = elapsed + limit;
    while (once.is_open && elapsed < until && !testing::Test::HasFailure()) {
      const host_id leader = Leader();
      if (!leader.IsEmpty()) {
        Propose(leader, once);
      }
      Run(20 * kStep);
    }
    Run(2 * kStep);
    past_clients.push_back(std::make_unique<client>(once));
    return !once.is_open;
  }

  // All members must apply the same commands in the same order.
  void CheckApplied(const host_id& host, const log_entry& entry) {
    const auto [known, is_first] =
        committed.try_emplace(entry.index, entry.term, entry.content.command);
    EXPECT_EQ(known->second.first, entry.term) << host.text();
    EXPECT_EQ(known->second.second, entry.content.command) << host.text();
    if (entry.kind == entry_kind::kCommand) {
      committed_commands.insert(entry.content.command);
    }
  }

  bool HoldsLease(const member& each) const {
    return each.driver != nullptr &&
           each.clock->Now() < each.driver->published_lease_end();
  }

  // Two members must never hold a lease at the same time.
  void CheckLeases() {
    std::string holders;
    int count = 0;
    for (const auto& [host, each] : members) {
      if (HoldsLease(each)) {
        holders += " " + host.text();
        ++count;
      }
    }
    EXPECT_LE(count, 1) << "leases held by" << holders;
  }

  // After a fault-free time: all members must hold the same state, with each
  // acknowledged command applied exactly once.
  void CheckConverged() {
    const host_id leader = Leader();
    ASSERT_FALSE(leader.IsEmpty()) << "no leader in the fault-free time";
    const auto& expected = members.at(leader).state->commands();
    std::set<std::string> seen;
    for (const std::string& command : expected) {
      EXPECT_TRUE(seen.insert(command).second) << command << " applied twice";
    }
    for (const auto& [command, reply] : acknowledged) {
      EXPECT_TRUE(seen.contains(command)) << command << " was lost";
    }
    const auto& membership = members.at(leader).driver->core()->membership();
    for (const group_member& each : membership.members) {
      const member& holder = members.at(each.host);
      EXPECT_TRUE(holder.state->is_time_monotonic());
      const auto& held = holder.state->commands();
      EXPECT_TRUE(held == expected)
          << each.host.text() << " holds " << held.size() << " commands, "
          << leader.text() << " " << expected.size() << "\n"
          << Dump();
    }
  }

  // The members' states, for the message of a failed check.
  std::string Dump() const {
    std::string text;
    for (const auto& [host, each] : members) {
      nlohmann::json state;
      if (each.driver != nullptr) {
        each.driver->core()->WriteState(state);
        state.erase("counters");
      }
      text += host.text() + " " + state.dump() + "\n";
    }
    return text;
  }

  random_source random;
  const std::vector<host_id> founders;
  duration elapsed{0};
  std::map<host_id, member> members;
  std::vector<packet> packets;
  std::set<std::pair<host_id, host_id>> blocked_links;
  std::set<host_id> stalled;  // Their disks are syncing.
  double drop_probability = 0;
  double duplicate_probability = 0;
  duration max_delay = std::chrono::milliseconds(4);
  uint32_t snapshot_after_entries = 50;
  uint32_t trailing_entries = 10;
  uint32_t segment_bytes = 2'000;
  uint64_t reads_answered = 0;

  std::map<log_index, std::pair<uint64_t, std::string>> committed;
  std::set<std::string> committed_commands;
  std::map<std::string, std::string> acknowledged;
  uint64_t newest_acknowledged = 0;
  uint64_t commit_sequence = 0;
  std::vector<std::unique_ptr<client>> past_clients;
};

inline std::vector<host_id> Hosts(int count) {
  std::vector<host_id> hosts;
  for (int i = 1; i <= count; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  return hosts;
}

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICA_GROUP_SIMULATION_TEST_UTIL_H_
