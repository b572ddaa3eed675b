#include <gtest/gtest.h>

#include "base/bounded_ring.h"
#include "base/codec.h"
#include "base/digest.h"
#include "base/duty_thread.h"
#include "base/error.h"
#include "base/ids.h"

namespace shallotport {
namespace {

TEST(ErrorTable, EveryCodeLeadsBackToItsKind) {
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    EXPECT_EQ(KindOfCode(Answer(kind).code), kind);
  }
  EXPECT_EQ(KindOfCode("no_such_code"), std::nullopt);
}

TEST(BoundedRing, RefusesWhenFullAndAfterClose) {
  bounded_ring<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.refused(), 1U);
  EXPECT_EQ(ring.TryPop(), 1);
  ring.Close();
  EXPECT_FALSE(ring.TryPush(4));
  EXPECT_EQ(ring.TryPop(), 2);
  EXPECT_EQ(ring.TryPop(), std::nullopt);
}

TEST(DutyThread, HandlesEverythingAcceptedBeforeStop) {
  const system_clock_source clock;
  int sum = 0;
  duty_thread<int> duty(
      clock, 64, [&](steady_time, int number) { sum += number; },
      [](steady_time now) { return now + std::chrono::hours(1); });
  duty.Start();
  for (int i = 1; i <= 10; ++i) {
    EXPECT_TRUE(duty.TryPush(int{i}));
  }
  duty.Stop();
  EXPECT_EQ(sum, 55);
}

struct sample_message {
  host_id host;
  std::vector<uint32_t> numbers;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, numbers);
  }
};

TEST(Codec, RoundTripsAndRejectsDamage) {
  const sample_message message{host_id("a1"), {1, 2, 3}};
  const std::string bytes = Encode(message);
  const auto decoded = Decode<sample_message>(bytes);
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).host, message.host);
  EXPECT_EQ(ValueOf(decoded).numbers, message.numbers);
  EXPECT_FALSE(IsOk(Decode<sample_message>(bytes + "x")));
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(IsOk(Decode<sample_message>(bytes.substr(0, cut)))) << cut;
  }
  std::string huge = bytes;
  huge[6] = '\x7f';
  EXPECT_FALSE(IsOk(Decode<sample_message>(huge)));
}

// Under the undefined-behaviour sanitizer this needs the guard for size 0.
TEST(Codec, ReadsEmptyContainersBack) {
  const auto decoded = Decode<sample_message>(Encode(sample_message{}));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_TRUE(ValueOf(decoded).numbers.empty());
}

TEST(Digest, MatchesThePublishedSha256OfAbc) {
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace shallotport
