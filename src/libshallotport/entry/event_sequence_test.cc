#include "entry/event_sequence.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace shallotport {

namespace {

constexpr event_place kFollows = event_place::kFollows;
constexpr event_place kNone = event_place::kNone;
constexpr event_place kOutOfOrder = event_place::kOutOfOrder;

event_fields Numbered(std::string_view id) {
  return {id, {}, true};
}

struct sequence_case {
  std::string name;
  std::string last_event;
  std::vector<event_fields> events;
  std::vector<event_place> places;
};

void PrintTo(const sequence_case& each, std::ostream* out) {
  *out << each.name;
}

class sequences : public testing::TestWithParam<sequence_case> {};

TEST_P(sequences, HoldOnlyEventsThatFollow) {
  event_sequence sequence(GetParam().last_event);
  std::vector<event_place> places;
  for (const event_fields& each : GetParam().events) {
    places.push_back(sequence.Place(each));
  }
  EXPECT_EQ(places, GetParam().places);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    sequences,
    testing::Values(
        sequence_case{"begins",
                      "",
                      {Numbered("1"), Numbered("2"), Numbered("3")},
                      {kFollows, kFollows, kFollows}},
        sequence_case{"goes_on",
                      "41",
                      {Numbered("42"), Numbered("43")},
                      {kFollows, kFollows}},
        sequence_case{"leading_zeros",
                      "08",
                      {Numbered("09"), Numbered("10")},
                      {kFollows, kFollows}},
        sequence_case{"goes_on_after_0", "0", {Numbered("1")}, {kFollows}},
        sequence_case{"begins_late", "", {Numbered("2")}, {kOutOfOrder}},
        sequence_case{"begins_at_0", "", {Numbered("0")}, {kOutOfOrder}},
        sequence_case{"begins_anew", "2", {Numbered("1")}, {kOutOfOrder}},
        sequence_case{"repeats", "2", {Numbered("2")}, {kOutOfOrder}},
        sequence_case{"leaves_out", "2", {Numbered("4")}, {kOutOfOrder}},
        sequence_case{"repeats_later",
                      "2",
                      {Numbered("3"), Numbered("3")},
                      {kFollows, kOutOfOrder}},
        sequence_case{"goes_on_after_a_fault",
                      "2",
                      {Numbered("4"), Numbered("3")},
                      {kOutOfOrder, kFollows}},
        sequence_case{"without_number",
                      "2",
                      {{std::nullopt, {}, true}},
                      {kOutOfOrder}},
        sequence_case{"empty_number", "2", {Numbered("")}, {kOutOfOrder}},
        sequence_case{"no_decimal",
                      "2",
                      {Numbered("3x"), Numbered("+3"), Numbered("-3"),
                       Numbered("0x3"), Numbered(" 3"), Numbered("3 ")},
                      std::vector<event_place>(6, kOutOfOrder)},
        sequence_case{"too_large",
                      "2",
                      {Numbered("18446744073709551619")},
                      {kOutOfOrder}},
        sequence_case{"nothing_follows_the_largest",
                      "18446744073709551615",
                      {Numbered("0"), Numbered("18446744073709551615")},
                      {kOutOfOrder, kOutOfOrder}},
        sequence_case{"last_event_without_number",
                      "a",
                      {Numbered("1"), Numbered("a")},
                      {kOutOfOrder, kOutOfOrder}},
        sequence_case{"error", "2", {{"3", "error", true}}, {kOutOfOrder}},
        sequence_case{"error_without_fields",
                      "2",
                      {{std::nullopt, "error", false}},
                      {kOutOfOrder}},
        sequence_case{"another_type", "2", {{"3", "delta", true}}, {kFollows}},
        sequence_case{"number_without_data",
                      "2",
                      {{"3", {}, false}, {"5", {}, false}},
                      {kFollows, kOutOfOrder}},
        sequence_case{"keep_alive",
                      "2",
                      {{}, Numbered("3"), {}, Numbered("4")},
                      {kNone, kFollows, kNone, kFollows}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
