#include "accounts/allotment_budget.h"

#include <gtest/gtest.h>

#include "accounts/account_table.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

class allotment_budget_test : public testing::Test {
 protected:
  void SetLimit(double per_second, double burst) {
    rules_.name = "a";
    rules_.requests_per_second = per_second;
    rules_.burst = burst;
    budget_.Update({&rules_, 1});
  }
  size_t SendAlone(size_t count) {
    size_t admitted = 0;
    for (size_t i = 0; i < count; ++i) {
      last_ = budget_.AdmitAlone(now_, account_, false);
      admitted += last_.decision == allotment_decision::kAdmitted ? 1 : 0;
    }
    return admitted;
  }

  const uint64_t account_ = AccountDigest("a");
  steady_time now_ = steady_time{} + std::chrono::hours(1'000);
  account_rules rules_;
  allotment_budget budget_{1};
  allotment_verdict last_;
};

// Guards against hosts that each use the share of a time when the account's
// requests came to them: the sum of these shares exceeds the allotment.
TEST_F(allotment_budget_test, OwnSharesOfEarlierWindowsAreNotUsed) {
  SetLimit(1, 5);
  budget_.SetHostCount(now_, 100);
  budget_.Add(now_, now_, {account_, 0, 0, 8});
  budget_.SetLeaderHeard(now_ + milliseconds(4'000));
  now_ += milliseconds(60'000);
  EXPECT_EQ(SendAlone(20), 8u) << "the leader was lost within the window";
  budget_.SetLeaderHeard(now_);
  now_ += milliseconds(60'000);
  EXPECT_LE(SendAlone(20), 1u);
}

// Guards against a Retry-After that leads to another refusal.
TEST_F(allotment_budget_test, RefusalStatesWhenTheOwnShareIsFree) {
  SetLimit(10, 20);
  budget_.Add(now_, now_, {account_, 0, 0, 4});
  EXPECT_EQ(SendAlone(5), 4u);
  EXPECT_NEAR(last_.retry_after_ms, 5'000, 100);
  now_ += milliseconds(last_.retry_after_ms + 100);
  EXPECT_EQ(SendAlone(1), 1u);
}

// Guards against intervals that exceed a duration: their conversion is
// undefined.
TEST_F(allotment_budget_test, TinyRatesHaveBoundedIntervals) {
  SetLimit(1e-30, 0);
  budget_.SetHostCount(now_, 320);
  SendAlone(2);
  EXPECT_EQ(last_.decision, allotment_decision::kRefused);
  EXPECT_LE(last_.retry_after_ms, 24u * 3'600 * 1'000);
}

// Guards against granted tokens that are lost at each change of the
// configuration, where an account has a rate and no burst.
TEST_F(allotment_budget_test, TokensAreKeptUnlessTheLimitFalls) {
  SetLimit(10, 0);
  budget_.Add(now_, now_, {account_, 30, 0, 0});
  SetLimit(10, 0);
  EXPECT_EQ(budget_.TokenCount(now_, account_), 30u);
  SetLimit(2, 0);
  EXPECT_EQ(budget_.TokenCount(now_, account_), 11u);
}

}  // namespace
}  // namespace shallotport
