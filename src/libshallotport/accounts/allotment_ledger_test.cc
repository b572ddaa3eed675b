#include "accounts/allotment_ledger.h"

#include <gtest/gtest.h>

#include <limits>
#include <ostream>
#include <string>
#include <vector>

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
    return ledger_.Take(now_, {"h", 1}, need);
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

// Guards against a new leader that grants again what hosts that were lost with
// the former one have sent, and that counts the others' requests twice.
struct inherited_case {
  std::string name;
  host_start reporting;
  std::vector<uint32_t> sent;
  uint32_t counted;
};

void PrintTo(const inherited_case& each, std::ostream* out) {
  *out << each.name;
}

class inherited_grants : public testing::TestWithParam<inherited_case> {};

// Of the allotment of 70, a former leader has granted 40 tokens to a host.
TEST_P(inherited_grants, CountUntilTheHostReports) {
  account_rules rules;
  rules.name = "a";
  rules.requests_per_second = 10;
  rules.burst = 20;
  const uint64_t account = AccountDigest("a");
  const steady_time now = steady_time{} + std::chrono::hours(1);
  allotment_ledger ledger;
  const host_start host{"h", 1};
  const auto inherit = [&](uint64_t number, uint32_t age_ms, int32_t tokens) {
    ledger.Inherit(now, {7, number, age_ms, {{account, host.Key(), tokens}}});
  };
  inherit(1, 900, 45);
  // The configuration arrives after a part of the records.
  ledger.Update({&rules, 1});
  inherit(2, 100, -5);
  EXPECT_EQ(ledger.Available(now, account), 30u);
  const auto& [name, reporting, sent, counted] = GetParam();
  ledger.Take(now, reporting, {account, 0, 0, 0, 0, sent});
  EXPECT_EQ(ledger.Available(now, account), 70 - counted);
  inherit(3, 200, 1);  // Arrives late.
  const bool has_reported = reporting.Key() == host.Key() && !sent.empty();
  EXPECT_EQ(ledger.Available(now, account),
            70 - counted - (has_reported ? 0 : 1));
  EXPECT_EQ(ledger.Available(now + milliseconds(6'000), account), 70u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    inherited_grants,
    testing::Values(inherited_case{"no_report", {"h", 1}, {}, 40},
                    inherited_case{"sent_all", {"h", 1}, {10, 30}, 40},
                    inherited_case{"unused_tokens", {"h", 1}, {8, 28}, 36},
                    inherited_case{"sent_alone", {"h", 1}, {20, 30}, 50},
                    inherited_case{"restarted", {"h", 2}, {3}, 43},
                    inherited_case{"other_host", {"g", 1}, {3}, 43}),
    [](const auto& info) { return info.param.name; });

// Guards against grants that the other stores do not hear of: all that changes
// a host's count is recorded, once.
TEST_F(allotment_ledger_test, RecordsWhatChangesAHostsCount) {
  const uint64_t host = host_start{"h", 1}.Key();
  using grants = std::vector<granted_tokens>;
  EXPECT_EQ(ledger_.TakeUnrecorded(), grants());
  Take({account_, 5, 0, 0, 2, {}});
  EXPECT_EQ(ledger_.TakeUnrecorded(), (grants{{account_, host, 7}}));
  Take({account_, 0, 0, 3, 0, {}});
  EXPECT_EQ(ledger_.TakeUnrecorded(), (grants{{account_, host, -3}}));
  Take({account_, 1, 0, 0, 0, {4, 4}});
  EXPECT_EQ(ledger_.TakeUnrecorded(), (grants{{account_, host, 9}}));
  EXPECT_EQ(ledger_.TakeUnrecorded(), grants());
}

// Guards against a report that is recorded as new though earlier records hold
// most of it.
TEST_F(allotment_ledger_test, RecordsOnlyWhatAReportAdds) {
  const uint64_t host = host_start{"h", 1}.Key();
  ledger_.Inherit(now_, {7, 1, 0, {{account_, host, 30}}});
  Take({account_, 0, 0, 0, 0, {32}});
  EXPECT_EQ(ledger_.TakeUnrecorded(),
            (std::vector<granted_tokens>{{account_, host, 2}}));
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

// Guards against an overflow by records that state any number.
TEST_F(allotment_ledger_test, HugeRecordsDoNotOverflow) {
  constexpr int32_t kMost = std::numeric_limits<int32_t>::max();
  constexpr int32_t kLeast = std::numeric_limits<int32_t>::min();
  for (const int32_t tokens : {kMost, kMost, kMost, kLeast, kLeast, kMost}) {
    ledger_.Inherit(now_, {7, 1, 0xFFFFFFFF, {{account_, 1, tokens}}});
    ledger_.Inherit(now_, {7, 1, 0, {{account_, 2, tokens}}});
  }
  EXPECT_EQ(ledger_.Available(now_, account_), 0u);
  now_ += milliseconds(6'000);
  EXPECT_EQ(ledger_.Available(now_, account_), kLimit);
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
