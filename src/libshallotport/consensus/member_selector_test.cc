#include "consensus/member_selector.h"

#include <gtest/gtest.h>

#include <set>

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAttempt{500};

class member_selector_test : public testing::Test {
 protected:
  // Chooses as a host whose member names `own_view` as the leader.
  host_id Choose(const host_id& own_view) {
    return selector_.Choose(now_, own_view);
  }

  // An attempt at `member` that gets no reply.
  void LoseAttempt(const host_id& member) {
    now_ += kAttempt;
    selector_.OnUnanswered(now_, member);
  }

  steady_time now_{seconds(100)};
  const host_id none_{};
  const host_id self_{"host-1"};
  const host_id second_{"host-2"};
  const host_id third_{"host-3"};
  member_selector selector_{self_, {self_, second_, third_}};
};

TEST_F(member_selector_test, SilentLeaderIsBypassedForFiveSeconds) {
  ASSERT_EQ(Choose(second_), second_);
  LoseAttempt(second_);
  now_ += seconds(5) - milliseconds(1);
  EXPECT_NE(Choose(second_), second_);
  now_ += milliseconds(1);
  EXPECT_EQ(Choose(second_), second_);
}

// The leader commits slowly once. The others follow it and refuse.
TEST_F(member_selector_test, OwnMemberThatOthersFollowIsChosenAfterALateReply) {
  ASSERT_EQ(Choose(self_), self_);
  LoseAttempt(self_);
  ASSERT_NE(Choose(self_), self_);
  selector_.OnReply(self_, {});
  EXPECT_EQ(Choose(self_), self_);
}

// The disk of the own member hangs. The others have elected another leader.
TEST_F(member_selector_test, OwnMemberThatNobodyFollowsIsBypassed) {
  ASSERT_EQ(Choose(self_), self_);
  LoseAttempt(self_);
  std::set<host_id> chosen;
  for (int i = 0; i < 4; ++i) {
    chosen.insert(Choose(self_));
    selector_.OnReply(third_, {});
  }
  EXPECT_EQ(chosen, std::set({second_, third_}));
}

// The own member follows and can only refuse, so the others are tried again.
TEST_F(member_selector_test, OwnMemberThatFollowsIsNeverChosen) {
  LoseAttempt(second_);
  LoseAttempt(third_);
  for (int turn = 0; turn < 4; ++turn) {
    const host_id first = Choose(second_);
    LoseAttempt(first);
    const host_id next = Choose(second_);
    LoseAttempt(next);
    EXPECT_EQ(std::set({first, next}), std::set({second_, third_}))
        << "turn " << turn;
  }
}

// Before its election the member relayed the call to the lost leader, and so
// did not reply.
TEST_F(member_selector_test, MemberThatBecameLeaderIsChosenAtOnce) {
  ASSERT_EQ(Choose(second_), second_);
  LoseAttempt(second_);
  LoseAttempt(third_);
  EXPECT_EQ(Choose(third_), third_);
}

TEST_F(member_selector_test, MemberThatLostTheLeadIsNotTakenForTheLeader) {
  ASSERT_EQ(Choose(self_), self_);
  std::set<host_id> chosen;
  for (int i = 0; i < 3; ++i) {
    chosen.insert(Choose(none_));
  }
  EXPECT_EQ(chosen, std::set({self_, second_, third_}));
}

TEST_F(member_selector_test, SilentMembersAreTriedInTurnByAHostWithoutAMember) {
  member_selector selector(host_id("host-4"), {self_, second_, third_});
  for (int turn = 0; turn < 3; ++turn) {
    std::set<host_id> chosen;
    for (int i = 0; i < 3; ++i) {
      const host_id member = selector.Choose(now_, none_);
      chosen.insert(member);
      now_ += kAttempt;
      selector.OnUnanswered(now_, member);
    }
    EXPECT_EQ(chosen, std::set({self_, second_, third_})) << "turn " << turn;
  }
}

}  // namespace
}  // namespace shallotport
