#include "accounts/allotment_ledger.h"

#include <gtest/gtest.h>

#include "accounts/account_table.h"
#include "accounts/allotment_terms.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

// 10 requests a second and 20 at once: 70 in 5 s.
class allotment_ledger_test : public testing::Test {
 protected:
  static constexpr uint32_t kLimit = 70;

  allotment_ledger_test() {
    rules_.name = "a";
    rules_.requests_per_second = 10;
    rules_.burst = 20;
    ledger_.Update({&rules_, 1});
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
  EXPECT_EQ(Take({account_, 10, 40, 0, 0, {}}).granted, 10u + 6u);
  EXPECT_EQ(Take({account_, 100, 40, 0, 0, {}}).granted, 54u);
  now_ += milliseconds(1'400);
  const allotment_grant none = Take({account_, 1, 0, 0, 0, {}});
  EXPECT_EQ(none.granted, 0u);
  EXPECT_NEAR(none.next_token_ms, 4'000, 100);
}

// Guards against tokens that a host returns without having them, or too late:
// they would be used twice.
TEST_F(allotment_ledger_test, OnlyGrantedTokensAreReturned) {
  EXPECT_EQ(Take({account_, 5, 0, 0, 0, {}}).granted, 5u);
  Take({account_, 0, 0, 50, 0, {}});
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit);
  EXPECT_EQ(Take({account_, 20, 0, 0, 0, {}}).granted, 20u);
  now_ += 3 * kTokenLifetime;
  ledger_.RecordHost(now_, "h");
  ledger_.Tick(now_, 1);
  Take({account_, 0, 0, 20, 0, {}});
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit - 20);
}

// Guards against second attempts that are free, and against an account that
// pays for them without end.
TEST_F(allotment_ledger_test, RequestsWithoutATokenAreCounted) {
  Take({account_, 0, 0, 0, 12, {}});
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit - 12);
  Take({account_, 0, 0, 0, 100'000, {}});
  EXPECT_EQ(ledger_.Available(now_, account_), 0u);
  now_ += milliseconds(5'600);
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit);
}

// Guards against a new leader that grants what the one before has granted
// already.
TEST_F(allotment_ledger_test, NewLeaderCountsWhatHostsHaveSent) {
  ledger_.Clear();
  Take({account_, 0, 0, 0, 0, {20, 0, 30}});
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit - 50);
  now_ += milliseconds(4'700);
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit - 20);
}

// Guards against hosts of both sides of a partition that use a whole rate.
TEST_F(allotment_ledger_test, KeepsBackTheShareOfHostsThatAreNotHeard) {
  ledger_.RecordHost(now_, "cut off");
  now_ += milliseconds(1'000);
  ledger_.RecordHost(now_, "h");
  ledger_.Tick(now_, 2);
  EXPECT_EQ(ledger_.Available(now_, account_),
            static_cast<uint32_t>(kLimit * (1 - OwnShare(10) / 2)));
  now_ += kMissingTime;
  ledger_.RecordHost(now_, "h");
  ledger_.Tick(now_, 1);
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit);
}

// Guards against malformed needs whose sums overflow, so that an account that
// has used all seems to have used nothing.
TEST_F(allotment_ledger_test, HugeCountsDoNotOverflow) {
  constexpr uint32_t kMost = 0xFFFFFFFF;
  EXPECT_EQ(Take({account_, kMost, kMost, kMost, 0, {kMost, 1}}).granted, 0u);
  EXPECT_EQ(Take({account_, 1, 0, 0, kMost, {}}).granted, 0u);
  now_ += milliseconds(6'000);
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit);
  ledger_.Update({});
  EXPECT_GT(Take({account_, kMost, 2, 0, 0, {}}).granted, 1'000u);
}

TEST_F(allotment_ledger_test, LimitsThatFallOrEndCountAtOnce) {
  rules_.burst = 0;
  rules_.requests_per_second = 1;
  ledger_.Update({&rules_, 1});
  EXPECT_EQ(Take({account_, 9, 0, 0, 0, {}}).granted, 5u);
  ledger_.Update({});
  EXPECT_EQ(Take({account_, 9, 0, 0, 0, {}}).granted, 9u);
}

// Guards against messages of earlier builds, or malformed ones, that are taken
// for grants.
TEST(allotment_messages_test, OtherMessagesAreNoGrants) {
  const std::vector<allotment_grant> grants = {{7, 2, 0, 3}, {8, 0, 40, 0}};
  const std::string bytes = EncodeGrants(grants);
  EXPECT_EQ(ValueOf(DecodeGrants(bytes)), grants);
  EXPECT_EQ(ValueOf(DecodeGrants(bytes + "later field")), grants);
  EXPECT_FALSE(IsOk(DecodeGrants(EncodeNeeds({{7, 1, 0, 0, 0, {3}}}))));
  EXPECT_FALSE(IsOk(DecodeGrants("\x05")));
  EXPECT_FALSE(IsOk(DecodeGrants(std::string(40, '\4'))));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeGrants(bytes.substr(0, size)))) << size;
  }
}

}  // namespace
}  // namespace shallotport
