#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

#include "consensus/replica_group_simulation_test_util.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr duration kElectionLimit{10'000'000};
constexpr duration kCommitLimit{10'000'000};

// The members of the replicated log on fake disks, clocks and links. The
// oracle of replica_group_simulation checks order, leases and reads at every
// step.
class group_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override { group_->Run(time); }

 private:
  using verb = scenario_verb<group_world>;
  static const std::array<verb, 9> kActions;
  static const std::array<verb, 6> kExpectations;

  void Commit(step_arguments& arguments);
  void IsolateLeader(step_arguments& arguments);
  void Heal(step_arguments& arguments);
  void Lossy(step_arguments& arguments);
  void Crash(step_arguments& arguments);
  void CrashAll(step_arguments& arguments);
  void Replace(step_arguments& arguments);
  void Propose(step_arguments& arguments);
  void Read(step_arguments& arguments);

  void ExpectLeader(step_arguments& arguments);
  void ExpectNewLeader(step_arguments& arguments);
  void ExpectKept(step_arguments& arguments);
  void ExpectApplied(step_arguments& arguments);
  void ExpectConverged(step_arguments& arguments);
  void ExpectReads(step_arguments& arguments);

  host_id Member(step_arguments& arguments);
  void NoteOracle(step_arguments& arguments);

  std::unique_ptr<replica_group_simulation> group_;
  std::map<std::string, host_id> names_;  // "old_leader", "follower".
  uint64_t reads_before_ = 0;
  uint64_t proposals_ = 0;
};

const std::array<group_world::verb, 9> group_world::kActions = {
    {{"commit", &group_world::Commit},
     {"isolate_leader", &group_world::IsolateLeader},
     {"heal", &group_world::Heal},
     {"lossy", &group_world::Lossy},
     {"crash", &group_world::Crash},
     {"crash_all", &group_world::CrashAll},
     {"replace", &group_world::Replace},
     {"propose", &group_world::Propose},
     {"read", &group_world::Read}}};

const std::array<group_world::verb, 6> group_world::kExpectations = {
    {{"leader", &group_world::ExpectLeader},
     {"new_leader", &group_world::ExpectNewLeader},
     {"kept", &group_world::ExpectKept},
     {"applied", &group_world::ExpectApplied},
     {"converged", &group_world::ExpectConverged},
     {"reads_answered", &group_world::ExpectReads}}};

void group_world::Begin(step_arguments& given) {
  group_ = std::make_unique<replica_group_simulation>(
      static_cast<uint64_t>(given.Number("seed", 7)),
      Hosts(static_cast<int>(given.Number("members", 3))));
  if (!group_->RunUntilLeader(kElectionLimit)) {
    given.Fail("no leader was elected");
  }
}

bool group_world::Do(std::string_view verb, step_arguments& arguments) {
  const bool is_known = RunVerb(*this, kActions, verb, arguments);
  NoteOracle(arguments);
  return is_known;
}

bool group_world::Expect(std::string_view verb, step_arguments& arguments) {
  const bool is_known = RunVerb(*this, kExpectations, verb, arguments);
  NoteOracle(arguments);
  return is_known;
}

void group_world::NoteOracle(step_arguments& arguments) {
  if (testing::Test::HasFailure()) {
    arguments.Fail("the group's oracle found a fault (see above)");
  }
}

// leader, old_leader, or follower: the first member that does not lead.
host_id group_world::Member(step_arguments& arguments) {
  const std::string who = arguments.Text("who");
  if (names_.contains(who)) {
    return names_[who];
  }
  host_id leader = group_->Leader();
  if (who == "leader") {
    names_["old_leader"] = leader;
    return leader;
  }
  for (const auto& [host, each] : group_->members) {
    if (who == "follower" && host != leader) {
      names_["follower"] = host;
      return host;
    }
  }
  arguments.Fail("who: expected leader, old_leader or follower");
  return leader;
}

void group_world::Commit(step_arguments& arguments) {
  const std::string name = arguments.Text("name", "change");
  const int64_t count = arguments.Number("count", 1);
  for (int64_t i = 0; i < count; ++i) {
    if (!group_->Commit(name + "-" + std::to_string(i), kCommitLimit)) {
      arguments.Fail(name + "-" + std::to_string(i) + " was not committed");
      return;
    }
  }
}

void group_world::IsolateLeader(step_arguments& /*arguments*/) {
  names_["old_leader"] = group_->Leader();
  group_->Isolate(names_["old_leader"]);
}

void group_world::Heal(step_arguments& /*arguments*/) {
  group_->Heal();
  group_->drop_probability = 0;
  group_->duplicate_probability = 0;
}

void group_world::Lossy(step_arguments& arguments) {
  group_->drop_probability = arguments.Share("drop", 0);
  group_->duplicate_probability = arguments.Share("duplicate", 0);
}

void group_world::Crash(step_arguments& arguments) {
  const host_id host = Member(arguments);
  const bool loses_disk = arguments.Flag("loses_disk", false);
  group_->Crash(host, arguments.Time("down_for", duration(1'000'000)));
  if (loses_disk) {
    group_->members[host].files.Wipe();
  }
}

void group_world::CrashAll(step_arguments& arguments) {
  const duration down = arguments.Time("down_for", duration(1'000'000));
  for (auto& [host, each] : group_->members) {
    group_->Crash(host, down);
  }
}

// The repair of a lost member: removed, added as a learner, promoted.
void group_world::Replace(step_arguments& arguments) {
  const host_id host = Member(arguments);
  for (const membership_step step :
       {membership_step::kRemove, membership_step::kAddLearner,
        membership_step::kPromote}) {
    if (!IsOk(group_->CommitMembershipStep(step, host, kCommitLimit))) {
      arguments.Fail("a step of the repair failed");
      return;
    }
  }
}

// Proposes at one member without waiting for the outcome.
void group_world::Propose(step_arguments& arguments) {
  auto client = std::make_unique<replica_group_simulation::client>();
  client->content.origin = {host_id("proposer"), 1, 0, ++proposals_};
  client->content.slice = replicated_slice::kOrders;
  client->content.command = arguments.Text("name");
  client->is_open = true;
  group_->past_clients.push_back(std::move(client));
  group_->Propose(Member(arguments), *group_->past_clients.back());
}

void group_world::Read(step_arguments& arguments) {
  const host_id host = Member(arguments);
  reads_before_ = group_->reads_answered;
  group_->Read(host);
}

void group_world::ExpectLeader(step_arguments& arguments) {
  arguments.Check("leaders", group_->Leader().IsEmpty() ? 0 : 1,
                  arguments.Flag("present", true) ? 1 : 0);
}

void group_world::ExpectNewLeader(step_arguments& arguments) {
  if (group_->Leader().IsEmpty() || group_->Leader() == names_["old_leader"]) {
    arguments.Fail("no new leader");
  }
}

// Every change that was acknowledged is at the leader.
void group_world::ExpectKept(step_arguments& arguments) {
  const host_id leader = group_->Leader();
  if (leader.IsEmpty()) {
    arguments.Fail("no leader");
    return;
  }
  const auto& commands = group_->members[leader].state->commands();
  for (const auto& [command, reply] : group_->acknowledged) {
    const auto times = std::count(commands.begin(), commands.end(), command);
    arguments.Check("times that " + command + " was applied", times, 1);
  }
}

void group_world::ExpectApplied(step_arguments& arguments) {
  const std::string name = arguments.Text("name");
  const host_id leader = group_->Leader();
  const auto& commands = group_->members[leader].state->commands();
  const auto times = std::count(commands.begin(), commands.end(), name);
  if (arguments.Has("count")) {
    arguments.Check("times that " + name + " was applied", times,
                    arguments.Number("count"));
  }
  if (times > arguments.Number("at_most", times)) {
    arguments.Fail(name + " was applied " + std::to_string(times) + " times");
  }
}

void group_world::ExpectConverged(step_arguments& /*arguments*/) {
  group_->CheckConverged();
}

void group_world::ExpectReads(step_arguments& arguments) {
  arguments.Check("answered reads",
                  static_cast<int64_t>(group_->reads_answered - reads_before_),
                  arguments.Number("count"));
}

}  // namespace

std::unique_ptr<scenario_world> MakeGroupWorld() {
  return std::make_unique<group_world>();
}

}  // namespace shallotport
