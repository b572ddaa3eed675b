#include "accounts/allotment_ledger.h"

#include <gtest/gtest.h>

#include "accounts/account_table.h"
#include "accounts/allotment_terms.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

class allotment_ledger_test : public testing::Test {
 protected:
  allotment_ledger_test() {
    rules_.name = "a";
    rules_.requests_per_second = 10;
    rules_.burst = 20;
    ledger_.Update(now_, {&rules_, 1});
    Pass(milliseconds(2'000));
  }

  void Pass(milliseconds time) {
    now_ += time;
    ledger_.RecordHost(now_, "h");
    ledger_.Tick(now_, 1);
  }
  allotment_grant Take(const allotment_need& need) {
    return ledger_.Take(now_, "h", need);
  }

  const uint64_t account_ = AccountDigest("a");
  steady_time now_ = steady_time{} + std::chrono::hours(1);
  account_rules rules_;
  allotment_ledger ledger_;
};

// Guards against tokens for expected requests at one host that requests at
// other hosts wait for.
TEST_F(allotment_ledger_test, ExpectedRequestsGetAQuarterOfTheRest) {
  EXPECT_EQ(Take({account_, 4, 40, 0, 0}).granted, 4u + 4u);
  EXPECT_EQ(Take({account_, 40, 40, 0, 0}).granted, 12u);
  const allotment_grant none = Take({account_, 1, 0, 0, 0});
  EXPECT_EQ(none.granted, 0u);
  EXPECT_EQ(none.next_token_ms, 100u);
}

// Guards against tokens that a host returns without having them, or too late:
// they would be used twice.
TEST_F(allotment_ledger_test, OnlyGrantedTokensAreReturned) {
  EXPECT_EQ(Take({account_, 5, 0, 0, 0}).granted, 5u);
  Take({account_, 0, 0, 50, 0});
  EXPECT_EQ(ledger_.Available(now_, account_), 20);
  EXPECT_EQ(Take({account_, 20, 0, 0, 0}).granted, 20u);
  now_ += 3 * kTokenLifetime;
  ledger_.Tick(now_, 1);
  const double before = ledger_.Available(now_, account_);
  Take({account_, 0, 0, 20, 0});
  EXPECT_EQ(ledger_.Available(now_, account_), before);
}

// Guards against second attempts that are free, and against an account that
// pays for them without end.
TEST_F(allotment_ledger_test, RequestsWithoutATokenAreDeducted) {
  Take({account_, 0, 0, 0, 12});
  EXPECT_EQ(ledger_.Available(now_, account_), 8);
  Take({account_, 0, 0, 0, 1'000});
  EXPECT_EQ(ledger_.Available(now_, account_), -20);
}

// Guards against a new leader that grants a burst which the one before has
// granted already.
TEST_F(allotment_ledger_test, NewLeaderBeginsWithoutTokens) {
  ledger_.Clear(now_);
  EXPECT_EQ(Take({account_, 3, 0, 0, 0}).granted, 0u);
}

// Guards against hosts of both sides of a partition that use a whole rate.
TEST_F(allotment_ledger_test, KeepsBackTheShareOfHostsThatAreNotHeard) {
  ledger_.RecordHost(now_, "cut off");
  ledger_.Clear(now_);
  ledger_.RecordHost(now_, "cut off");
  Pass(milliseconds(1'000));
  ledger_.Clear(now_);
  ledger_.RecordHost(now_, "h");
  ledger_.Tick(now_, 2);
  const double before = ledger_.Available(now_, account_);
  now_ += milliseconds(700);
  EXPECT_NEAR(ledger_.Available(now_, account_) - before,
              0.7 * 10 * (1 - kOwnShare / 2), 0.01);
}

TEST_F(allotment_ledger_test, LimitsThatFallOrEndCountAtOnce) {
  rules_.burst = 2;
  ledger_.Update(now_, {&rules_, 1});
  EXPECT_EQ(Take({account_, 9, 0, 0, 0}).granted, 2u);
  ledger_.Update(now_, {});
  EXPECT_EQ(Take({account_, 9, 0, 0, 0}).granted, 9u);
}

// Guards against messages of earlier builds, or malformed ones, that are taken
// for grants.
TEST(allotment_messages_test, OtherMessagesAreNoGrants) {
  const std::vector<allotment_grant> grants = {{7, 2, 0}, {8, 0, 40}};
  const std::string bytes = EncodeGrants(grants);
  EXPECT_EQ(ValueOf(DecodeGrants(bytes)), grants);
  EXPECT_EQ(ValueOf(DecodeGrants(bytes + "later field")), grants);
  EXPECT_FALSE(IsOk(DecodeGrants(EncodeNeeds({{7, 1, 0, 0, 0}}))));
  EXPECT_FALSE(IsOk(DecodeGrants("\x05")));
  EXPECT_FALSE(IsOk(DecodeGrants(std::string(40, '\4'))));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeGrants(bytes.substr(0, size)))) << size;
  }
}

}  // namespace
}  // namespace shallotport
