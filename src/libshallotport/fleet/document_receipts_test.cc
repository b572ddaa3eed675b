#include "fleet/document_receipts.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr steady_time kStart{std::chrono::hours(1)};

struct receipt {
  std::string host;
  uint64_t version = 0;
};

// Versions 5, 6 and 9 are published at 0, 100 and 200 ms.
struct receipts_case {
  std::string name;
  std::vector<receipt> receipts;
  size_t behind_count = 0;
  milliseconds longest{0};  // At 300 ms.
  bool is_confirmed = true;
};

std::ostream& operator<<(std::ostream& out, const receipts_case& each) {
  return out << each.name;
}

class document_receipt_cases : public testing::TestWithParam<receipts_case> {};

TEST_P(document_receipt_cases, TellHowFarHostsAreBehind) {
  document_receipts receipts;
  for (const receipt& each : GetParam().receipts) {
    receipts.Record(host_id(each.host), 0);
  }
  receipts.Publish(kStart, 5);
  receipts.Publish(kStart + milliseconds(100), 6);
  receipts.Publish(kStart + milliseconds(200), 9);
  for (const receipt& each : GetParam().receipts) {
    receipts.Record(host_id(each.host), each.version);
  }
  const steady_time now = kStart + milliseconds(300);
  EXPECT_EQ(receipts.BehindCount(), GetParam().behind_count);
  EXPECT_EQ(receipts.LongestBehind(now), duration(GetParam().longest));
  EXPECT_EQ(receipts.IsConfirmed(9), GetParam().is_confirmed);
  EXPECT_EQ(receipts.BehindFor(now, milliseconds(150)).size(),
            GetParam().longest >= milliseconds(150) ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    document_receipt_cases,
    testing::Values(
        receipts_case{"no_hosts", {}, 0, milliseconds(0), true},
        receipts_case{"all_current", {{"a", 9}, {"b", 9}}, 0, milliseconds(0)},
        receipts_case{"newer", {{"a", 12}}, 0, milliseconds(0)},
        receipts_case{"one_version",
                      {{"a", 9}, {"b", 6}},
                      1,
                      milliseconds(100),
                      false},
        receipts_case{"between_versions",
                      {{"a", 7}},
                      1,
                      milliseconds(100),
                      false},
        receipts_case{"two_versions",
                      {{"a", 5}, {"b", 6}},
                      2,
                      milliseconds(200),
                      false},
        receipts_case{"no_document", {{"a", 0}}, 1, milliseconds(300), false}),
    [](const auto& info) { return info.param.name; });

TEST(document_receipts_test, AHostWhoseLinkIsGoneIsNotWaitedFor) {
  document_receipts receipts;
  receipts.Record(host_id("a"), 1);
  receipts.Record(host_id("b"), 2);
  receipts.Publish(kStart, 2);
  EXPECT_FALSE(receipts.IsConfirmed(2));
  receipts.Remove(host_id("a"));
  EXPECT_TRUE(receipts.IsConfirmed(2));
  EXPECT_EQ(receipts.LongestBehind(kStart + milliseconds(50)), duration{});
}

TEST(document_receipts_test, OlderVersionsAreNotPublishedAgain) {
  document_receipts receipts;
  receipts.Publish(kStart, 4);
  receipts.Publish(kStart, 3);
  EXPECT_EQ(receipts.newest(), 4u);
}

}  // namespace

}  // namespace shallotport
