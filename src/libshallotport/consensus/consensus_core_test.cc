#include "consensus/consensus_core.h"

#include <gtest/gtest.h>

#include <functional>

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const host_id kA("a");
const host_id kB("b");
const host_id kC("c");
const host_id kD("d");
constexpr incarnation kDiskA = 11;
constexpr incarnation kDiskB = 12;
constexpr incarnation kDiskC = 13;

// Tests member a of three, whose log begins after entry 1 of term 1. The test
// sends the messages of the other two members.
class consensus_core_test : public testing::Test {
 protected:
  consensus_core_test() { Restart({}); }

  void Restart(const std::vector<log_entry_pointer>& entries) {
    core_options options;
    options.host = kA;
    options.disk = kDiskA;
    options.log_memory_bytes = log_memory_bytes_;
    snapshot_point point{1, 1, 0, {}};
    point.membership.members = {
        {kA, kDiskA, true}, {kB, kDiskB, true}, {kC, kDiskC, true}};
    core_ = std::make_unique<consensus_core>(options, now_, point);
    for (const log_entry_pointer& entry : entries) {
      ASSERT_TRUE(IsOk(core_->RestoreEntry(entry)));
    }
    ASSERT_TRUE(ValueOf(core_->FinishRestore(point)));
  }

  static log_entry_pointer Entry(log_index index, uint64_t term) {
    auto entry = std::make_shared<log_entry>();
    entry->index = index;
    entry->term = term;
    entry->kind = entry_kind::kCommand;
    return entry;
  }

  consensus_actions TakeAndPersistActions() {
    consensus_actions actions = core_->TakeActions(now_);
    core_->Persisted(core_->log().last_index());
    for (const consensus_message& message : actions.early_messages) {
      if (const auto* sent = std::get_if<append_request>(&message.body)) {
        last_round_ = std::max(last_round_, sent->round);
      }
    }
    for (const consensus_message& message : actions.messages) {
      if (const auto* sent = std::get_if<append_request>(&message.body)) {
        last_round_ = std::max(last_round_, sent->round);
      }
    }
    return actions;
  }

  void Deliver(const host_id& from,
               incarnation disk,
               uint64_t term,
               consensus_body body) {
    consensus_message message;
    message.group = 1;
    message.from = from;
    message.from_incarnation = disk;
    message.to = kA;
    message.to_incarnation = kDiskA;
    message.term = term;
    message.body = std::move(body);
    core_->Step(now_, message);
  }

  void Advance(duration time) {
    now_ += time;
    core_->Tick(now_);
  }

  // Makes the member win an election with b's votes.
  void BecomeLeader() {
    Advance(seconds(2));
    Deliver(kB, kDiskB, core_->term() + 1, vote_reply{true, true});
    TakeAndPersistActions();
    Deliver(kB, kDiskB, core_->term(), vote_reply{false, true});
    TakeAndPersistActions();
    ASSERT_EQ(core_->role(), member_role::kLeader);
  }

  // b acknowledges the current round and the entries up to `last`.
  void Acknowledge(log_index last) {
    core_->Tick(now_);
    TakeAndPersistActions();
    Deliver(kB, kDiskB, core_->term(), append_reply{last_round_, true, last});
    TakeAndPersistActions();
  }

  template <typename Body>
  static int Count(const std::vector<consensus_message>& messages,
                   const std::function<bool(const Body&)>& is_wanted) {
    int count = 0;
    for (const consensus_message& message : messages) {
      const auto* body = std::get_if<Body>(&message.body);
      count += body != nullptr && is_wanted(*body) ? 1 : 0;
    }
    return count;
  }

  steady_time now_{seconds(100)};
  uint64_t last_round_ = 0;
  uint64_t log_memory_bytes_ = 16u << 20;
  std::unique_ptr<consensus_core> core_;
};

TEST_F(consensus_core_test,
       EntryOfAnOlderTermIsCommittedOnlyWithOneOfTheCurrentTerm) {
  Restart({Entry(2, 2)});
  core_->RestoreState({5, host_id(), 0});
  BecomeLeader();
  Acknowledge(2);
  EXPECT_EQ(core_->commit_index(), 1u);
  Acknowledge(3);
  EXPECT_EQ(core_->commit_index(), 3u);
}

TEST_F(consensus_core_test, VoteFromAnotherDiskIsNotCounted) {
  Advance(seconds(2));
  Deliver(kB, 99, core_->term() + 1, vote_reply{true, true});
  EXPECT_EQ(core_->role(), member_role::kPreCandidate);
  Deliver(kB, kDiskB, core_->term() + 1, vote_reply{true, true});
  EXPECT_EQ(core_->role(), member_role::kCandidate);
  Deliver(kB, 99, core_->term(), vote_reply{false, true});
  EXPECT_EQ(core_->role(), member_role::kCandidate);
}

TEST_F(consensus_core_test,
       ReplyFromAnotherDiskNeitherCommitsNorExtendsTheLease) {
  BecomeLeader();
  Deliver(kB, 99, core_->term(), append_reply{1, true, 2});
  EXPECT_EQ(core_->commit_index(), 1u);
  EXPECT_FALSE(core_->HasLease(now_));
}

TEST_F(consensus_core_test,
       MembershipStepIsRejectedBeforeThePreviousOneIsCommitted) {
  BecomeLeader();
  const auto rejection = [this](membership_step step, const host_id& host) {
    const auto changed = core_->ChangeMembership(now_, 0, step, host);
    return IsOk(changed) ? std::string() : ErrorOf(changed).detail;
  };
  EXPECT_NE(rejection(membership_step::kAddLearner, kD).find("of its term"),
            std::string::npos);
  Acknowledge(2);
  EXPECT_EQ(rejection(membership_step::kAddLearner, kD), "");
  EXPECT_NE(
      rejection(membership_step::kAddLearner, host_id("e")).find("before this"),
      std::string::npos);
  Acknowledge(3);
  EXPECT_NE(rejection(membership_step::kPromote, kD).find("does not answer"),
            std::string::npos);
  // c does not reply, so a and b are both needed for the quorum.
  EXPECT_NE(rejection(membership_step::kRemove, kB).find("lose the quorum"),
            std::string::npos);
  EXPECT_EQ(rejection(membership_step::kRemove, kC), "");
}

// A vote request at a time after this member last heard from a leader or
// restarted.
struct vote_case {
  const char* name;
  bool is_restarted;
  bool is_pre_vote;
  bool is_transfer;
  milliseconds after;
  bool is_granted;
};

constexpr vote_case kVoteCases[] = {
    {"pre_vote_soon", false, true, false, milliseconds(700), false},
    {"pre_vote_late", false, true, false, milliseconds(900), true},
    {"vote_soon", false, false, false, milliseconds(700), false},
    {"vote_late", false, false, false, milliseconds(900), true},
    {"transfer_soon", false, false, true, milliseconds(10), true},
    {"vote_soon_after_restart", true, false, false, milliseconds(700), false},
    {"vote_late_after_restart", true, false, false, milliseconds(900), true},
};

class vote_during_lease_test : public consensus_core_test,
                               public testing::WithParamInterface<vote_case> {};

TEST_P(vote_during_lease_test,
       GrantsNoVoteDuringTheElectionTimeoutAfterALeaderOrRestart) {
  const vote_case& given = GetParam();
  if (!given.is_restarted) {
    now_ += seconds(5);
    Deliver(kB, kDiskB, 3, append_request{1, 1, 1, 1, {}});
    TakeAndPersistActions();
  }
  now_ += given.after;
  Deliver(kC, kDiskC, 4,
          vote_request{given.is_pre_vote, given.is_transfer, 9, 3});
  const consensus_actions actions = TakeAndPersistActions();
  EXPECT_EQ(Count<vote_reply>(
                actions.messages,
                [](const vote_reply& reply) { return reply.is_granted; }),
            given.is_granted ? 1 : 0);
  // A pre-vote changes nothing at the voter.
  const bool is_term_adopted = !given.is_pre_vote && given.is_granted;
  EXPECT_EQ(core_->term() == 4, is_term_adopted);
}

INSTANTIATE_TEST_SUITE_P(vote_requests,
                         vote_during_lease_test,
                         testing::ValuesIn(kVoteCases),
                         [](const auto& info) { return info.param.name; });

TEST_F(consensus_core_test, CandidateWithAStaleLogGetsNoVote) {
  Restart({Entry(2, 2)});
  now_ += seconds(2);
  Deliver(kC, kDiskC, 4, vote_request{false, false, 9, 1});
  Deliver(kB, kDiskB, 4, vote_request{false, false, 1, 2});
  EXPECT_EQ(Count<vote_reply>(TakeAndPersistActions().messages,
                              [](const vote_reply& r) { return r.is_granted; }),
            0);
}

TEST_F(consensus_core_test, EvictedEntriesAreLoadedFromTheFiles) {
  log_memory_bytes_ = 0;
  Restart({Entry(2, 1), Entry(3, 1)});
  BecomeLeader();
  Deliver(kB, kDiskB, core_->term(), append_reply{last_round_, false, 1});
  EXPECT_EQ(TakeAndPersistActions().load_requests.size(), 1u);
  // A failed load is retried only with the next heartbeat.
  core_->EntriesLoaded(kB, {});
  EXPECT_TRUE(TakeAndPersistActions().load_requests.empty());
  Advance(milliseconds(200));
  EXPECT_EQ(TakeAndPersistActions().load_requests.size(), 1u);
  core_->EntriesLoaded(kB, {Entry(2, 1), Entry(3, 1)});
  EXPECT_EQ(Count<append_request>(
                TakeAndPersistActions().early_messages,
                [](const append_request& r) { return r.entries.size() == 2; }),
            1);
}

TEST_F(consensus_core_test, GrantsOneVotePerTerm) {
  now_ += seconds(2);
  Deliver(kC, kDiskC, 4, vote_request{false, false, 9, 1});
  Deliver(kB, kDiskB, 4, vote_request{false, false, 9, 1});
  // The same host after a wipe is another candidate.
  Deliver(kC, 99, 4, vote_request{false, false, 9, 1});
  const consensus_actions actions = TakeAndPersistActions();
  EXPECT_EQ(Count<vote_reply>(actions.messages,
                              [](const vote_reply& r) { return r.is_granted; }),
            1);
  ASSERT_TRUE(actions.state);
  EXPECT_EQ(actions.state->vote, kC);
}

TEST_F(consensus_core_test, LeaseIsMeasuredFromTheLastAcknowledgedRound) {
  BecomeLeader();
  EXPECT_FALSE(core_->HasLease(now_));
  Acknowledge(2);
  const steady_time sent = now_;
  EXPECT_TRUE(core_->HasLease(sent + milliseconds(599)));
  EXPECT_FALSE(core_->HasLease(sent + milliseconds(600)));
}

TEST_F(consensus_core_test, LeadershipTransferEndsTheLeaseWithTimeoutNow) {
  BecomeLeader();
  Acknowledge(2);
  ASSERT_TRUE(core_->HasLease(now_));
  ASSERT_TRUE(IsOk(core_->TransferLeadership(now_, host_id())));
  const consensus_actions actions = TakeAndPersistActions();
  EXPECT_EQ(Count<timeout_now>(actions.messages,
                               [](const timeout_now&) { return true; }),
            1);
  EXPECT_FALSE(core_->HasLease(now_));
  EXPECT_FALSE(IsOk(core_->Propose(now_, 0, {})));
}

TEST_F(consensus_core_test, ReadWithoutALeaseWaitsForALaterRound) {
  BecomeLeader();
  Acknowledge(2);
  now_ += milliseconds(650);
  core_->RequestRead(now_, 7);
  consensus_actions actions = TakeAndPersistActions();
  EXPECT_TRUE(actions.granted_reads.empty());
  Deliver(kB, kDiskB, core_->term(), append_reply{last_round_ - 1, true, 2});
  EXPECT_TRUE(TakeAndPersistActions().granted_reads.empty());
  Deliver(kB, kDiskB, core_->term(), append_reply{last_round_, true, 2});
  actions = TakeAndPersistActions();
  ASSERT_EQ(actions.granted_reads.size(), 1u);
  EXPECT_EQ(actions.granted_reads[0].index, 2u);
}

// Guards against a group without a leader: the removed member may be the only
// one with the entry that removes it, so it must be able to replicate it.
TEST_F(consensus_core_test,
       RemovedMemberStandsForElectionUntilTheRemovalIsCommitted) {
  auto removal = std::make_shared<log_entry>();
  removal->index = 2;
  removal->term = 2;
  removal->kind = entry_kind::kMembership;
  removal->content.command =
      EncodeMembership({{{kB, kDiskB, true}, {kC, kDiskC, true}}});
  Restart({removal});
  Advance(seconds(2));
  EXPECT_EQ(core_->role(), member_role::kPreCandidate);
  // Its own vote is not counted, so it needs both others.
  Deliver(kB, kDiskB, core_->term() + 1, vote_reply{true, true});
  EXPECT_EQ(core_->role(), member_role::kPreCandidate);
  Deliver(kC, kDiskC, core_->term() + 1, vote_reply{true, true});
  EXPECT_EQ(core_->role(), member_role::kCandidate);
}

TEST_F(consensus_core_test, NoMessageOfATermIsSentBeforeTheTermIsStored) {
  Advance(seconds(2));
  Deliver(kB, kDiskB, core_->term() + 1, vote_reply{true, true});
  const consensus_actions actions = TakeAndPersistActions();
  ASSERT_TRUE(actions.state);
  EXPECT_TRUE(actions.early_messages.empty());
}

}  // namespace
}  // namespace shallotport
