#include "accounts/grant_journal.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindow{5'000};

class grant_journal_test : public testing::Test {
 protected:
  static grant_record Record(uint64_t number,
                             uint32_t age_ms = 0,
                             uint64_t leader_start = 7) {
    return {leader_start, number, age_ms, {{1, 2, 3}}};
  }

  steady_time now_ = steady_time{} + std::chrono::hours(1);
  grant_journal journal_{kWindow};
};

// Guards against grants that count twice after two stores have passed on the
// same record, and against records of two leaders that are taken for one.
TEST_F(grant_journal_test, KeepsEachRecordOnce) {
  EXPECT_TRUE(journal_.Add(now_, Record(1)));
  EXPECT_FALSE(journal_.Add(now_, Record(1)));
  EXPECT_FALSE(journal_.Add(now_ + milliseconds(900), Record(1, 900)));
  EXPECT_TRUE(journal_.Add(now_, Record(1, 0, 8)));
  EXPECT_EQ(journal_.record_count(), 2u);
}

TEST_F(grant_journal_test, RecordsAgeAndExpire) {
  journal_.Add(now_, Record(1, 1'000));
  now_ += milliseconds(2'000);
  EXPECT_EQ(journal_.RecordsBeyond(now_, {}),
            std::vector<grant_record>{Record(1, 3'000)});
  now_ += milliseconds(2'001);
  EXPECT_TRUE(journal_.RecordsBeyond(now_, {}).empty());
  EXPECT_FALSE(journal_.Add(now_, Record(2, 5'001)));
  EXPECT_FALSE(journal_.Add(now_, Record(2, 0xFFFFFFFF)));
}

// Guards against memory that messages without end take.
TEST_F(grant_journal_test, IsBounded) {
  grant_record record = Record(0);
  record.grants.resize(1'000);
  for (record.number = 0; record.number < 1'000; ++record.number) {
    journal_.Add(now_, record);
  }
  EXPECT_LE(journal_.record_count(), 100u);
  now_ += 2 * kWindow;
  EXPECT_TRUE(journal_.Add(now_, Record(1)));
  EXPECT_EQ(journal_.record_count(), 1u);
}

// Guards against stores that know different grants after they have exchanged
// their journals: whichever of them leads next counts all that any one knew.
TEST(grant_journals, AgreeAfterAnExchange) {
  rc::check([](const std::vector<std::vector<uint8_t>>& received) {
    const steady_time now = steady_time{} + std::chrono::hours(1);
    std::vector<grant_journal> journals(received.size() + 1,
                                        grant_journal(kWindow));
    std::map<uint64_t, bool> all;
    for (size_t i = 0; i < received.size(); ++i) {
      for (const uint8_t number : received[i]) {
        journals[i].Add(now, {7, number, 0, {{1, 2, number}}});
        all[number] = true;
      }
    }
    grant_journal& leader = journals.back();
    for (size_t i = 0; i < received.size(); ++i) {
      for (const grant_record& each :
           journals[i].RecordsBeyond(now, leader.Headers(now))) {
        RC_ASSERT(leader.Add(now, each));
        RC_ASSERT(each.grants[0].tokens == static_cast<int>(each.number));
      }
    }
    RC_ASSERT(leader.record_count() == all.size());
  });
}

// Guards against the reply of a build that does not know the call.
TEST(grant_records, OtherMessagesAreNoRecords) {
  const std::vector<grant_record> records = {{1, 2, 3, {{4, 5, -6}}}};
  const std::string bytes = EncodeGrantRecords(records);
  EXPECT_EQ(ValueOf(DecodeGrantRecords(bytes)), records);
  EXPECT_EQ(ValueOf(DecodeGrantRecords(bytes + "later field")), records);
  EXPECT_FALSE(IsOk(DecodeGrantRecords(EncodeBusyAccounts({1, 2}))));
  EXPECT_FALSE(IsOk(DecodeGrantRecords("")));
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeGrantRecords(bytes.substr(0, size)))) << size;
  }
}

}  // namespace
}  // namespace shallotport
