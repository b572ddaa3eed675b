#include "fleet/document_acknowledgements.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "fleet/document_receipts.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr steady_time kStart{std::chrono::hours(1)};

// Version 7 is committed at 0 ms while hosts "a" and "b" have 6; "a" has 7 at
// 40 ms.
struct acknowledgement_case {
  std::string name;
  std::function<void(document_receipts&)> at_50_ms;
  milliseconds checked_at{50};
  bool is_acknowledged = true;
  uint64_t unconfirmed = 0;
};

std::ostream& operator<<(std::ostream& out, const acknowledgement_case& each) {
  return out << each.name;
}

class document_acknowledgement_cases
    : public testing::TestWithParam<acknowledgement_case> {};

TEST_P(document_acknowledgement_cases, WaitForLinkedHosts) {
  document_receipts receipts;
  document_acknowledgements acknowledgements;
  receipts.Publish(kStart, 6);
  receipts.Record(host_id("a"), 6);
  receipts.Record(host_id("b"), 6);
  int acknowledged = 0;
  acknowledgements.Add(kStart, 7, [&] { ++acknowledged; });
  acknowledgements.Advance(kStart, receipts);
  receipts.Publish(kStart, 7);
  receipts.Record(host_id("a"), 7);
  acknowledgements.Advance(kStart + milliseconds(40), receipts);
  EXPECT_EQ(acknowledged, 0);
  GetParam().at_50_ms(receipts);
  acknowledgements.Advance(kStart + GetParam().checked_at, receipts);
  EXPECT_EQ(acknowledged, GetParam().is_acknowledged ? 1 : 0);
  EXPECT_EQ(acknowledgements.unconfirmed(), GetParam().unconfirmed);
  acknowledgements.Advance(kStart + GetParam().checked_at, receipts);
  EXPECT_LE(acknowledged, 1);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    document_acknowledgement_cases,
    testing::Values(
        acknowledgement_case{"all_confirm",
                             [](document_receipts& receipts) {
                               receipts.Record(host_id("b"), 7);
                             }},
        acknowledgement_case{"a_newer_version_is_confirmed",
                             [](document_receipts& receipts) {
                               receipts.Publish(kStart, 8);
                               receipts.Record(host_id("a"), 8);
                               receipts.Record(host_id("b"), 8);
                             }},
        acknowledgement_case{
            "the_other_link_breaks",
            [](document_receipts& receipts) { receipts.Remove(host_id("b")); }},
        acknowledgement_case{"one_host_is_slow", [](document_receipts&) {},
                             milliseconds(600), false},
        acknowledgement_case{"one_host_stands_still", [](document_receipts&) {},
                             milliseconds(700), true, 1}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
