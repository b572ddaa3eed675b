#include "poison/crash_messages.h"

#include <gtest/gtest.h>

#include <string>

#include "base/codec.h"

namespace shallotport {

namespace {

crash_evidence Evidence() {
  crash_evidence evidence;
  evidence.crashes.push_back(
      {1, 2, service_id("llm"), 30, 40, {5, 6}, 11, 12, domain_id("d"), 13});
  evidence.whole_answers.push_back({7, 80, true});
  evidence.service_answers.push_back({service_id("llm"), 9});
  return evidence;
}

TEST(crash_messages_test, RoundTrip) {
  const auto decoded = DecodeEvidence(EncodeEvidence(Evidence()));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).crashes, Evidence().crashes);
  EXPECT_EQ(ValueOf(decoded).whole_answers, Evidence().whole_answers);
  EXPECT_EQ(ValueOf(decoded).service_answers, Evidence().service_answers);
}

// As a later build may send it: a record and the message have more fields.
struct later_frame {
  std::vector<std::string> crashes;
  std::vector<std::string> whole_answers;
  std::vector<std::string> service_answers;
  std::string later_field = "later";

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(crashes, whole_answers, service_answers, later_field);
  }
};

TEST(crash_messages_test, FieldsOfLaterBuildsArePassedOver) {
  const crash_record record = Evidence().crashes[0];
  const std::string later = Encode(record) + "more fields";
  const auto decoded = DecodeEvidence(Encode(later_frame{{later}, {}, {}}));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).crashes, Evidence().crashes);
}

// Records as an earlier build sends them.
struct earlier_crash_record {
  uint64_t endpoint = 1;
  uint64_t request = 2;
  service_id service{"llm"};
  uint32_t age_ms = 30;
  uint32_t ran_ms = 40;
  std::vector<prompt_part> parts = {5, 6};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, request, service, age_ms, ran_ms, parts);
  }
};
struct earlier_answer_record {
  uint64_t part = 7;
  uint32_t age_ms = 80;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part, age_ms);
  }
};

TEST(crash_messages_test, FieldsThatEarlierBuildsDoNotSendHaveDefaults) {
  const auto decoded =
      DecodeEvidence(Encode(later_frame{{Encode(earlier_crash_record{})},
                                        {Encode(earlier_answer_record{})},
                                        {}}));
  ASSERT_TRUE(IsOk(decoded));
  crash_record record = Evidence().crashes[0];
  record.digest = 0;
  record.answered_before_ms = kNeverAnswered;
  record.domain = domain_id();
  record.output_ms = 0;
  EXPECT_EQ(ValueOf(decoded).crashes[0], record);
  EXPECT_EQ(ValueOf(decoded).whole_answers[0],
            (whole_answer_record{7, 80, false}));
}

TEST(crash_messages_test, EveryCutOffMessageIsAnError) {
  const std::string whole = EncodeEvidence(Evidence());
  for (size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeEvidence(whole.substr(0, size)))) << size;
  }
}

}  // namespace

}  // namespace shallotport
