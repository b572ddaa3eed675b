#include "entry/takeover_policy.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

struct silence_case {
  std::string name;
  attempt_silence state;
  bool expected;
};

// A repeatable request with an objective of 300 ms that may be executed twice.
attempt_silence SilentFor(milliseconds time, bool has_response_begun) {
  attempt_silence state;
  state.is_repeatable = true;
  state.has_response_begun = has_response_begun;
  state.max_executions = 2;
  state.silent_for = time;
  state.objective = milliseconds(300);
  return state;
}

template <typename T>
attempt_silence With(T attempt_silence::*member, T value) {
  attempt_silence state = SilentFor(milliseconds(2'000), false);
  state.*member = value;
  return state;
}

attempt_silence WithReturn(attempt_silence state) {
  state.may_return = true;
  return state;
}

attempt_silence WithoutOverlap(milliseconds silent_for) {
  attempt_silence state = SilentFor(silent_for, true);
  state.max_overlap = duration(0);
  return state;
}

class takeover_policy : public testing::TestWithParam<silence_case> {};

TEST_P(takeover_policy, BeginsASecondAttempt) {
  EXPECT_EQ(NeedsSecondAttempt(GetParam().state), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    takeover_policy,
    testing::Values(
        silence_case{"no_byte_yet", SilentFor(milliseconds(170), false), false},
        silence_case{"no_byte_for_long", SilentFor(milliseconds(190), false),
                     true},
        silence_case{"gap", SilentFor(milliseconds(1'190), true), false},
        silence_case{"long_gap", SilentFor(milliseconds(1'210), true), true},
        silence_case{"not_repeatable",
                     With(&attempt_silence::is_repeatable, false), false},
        silence_case{"under_way",
                     With(&attempt_silence::has_second_attempt, true), false},
        silence_case{"executed_before",
                     With(&attempt_silence::executions, uint32_t{2}), false},
        silence_case{
            "executed_before_and_returns",
            WithReturn(With(&attempt_silence::executions, uint32_t{2})), true},
        silence_case{"has_to_end_the_first_one_that_may_go_on",
                     WithoutOverlap(milliseconds(1'490)), false},
        silence_case{"ends_the_first_one", WithoutOverlap(milliseconds(1'510)),
                     true},
        silence_case{"no_objective",
                     With(&attempt_silence::objective, duration(0)), false}),
    [](const auto& info) { return info.param.name; });

class overlaps_within_streams : public testing::TestWithParam<milliseconds> {};

// The second attempt was given up and begun once more: the first one had not
// been silent for quite long enough when the overlap was over.
TEST_P(overlaps_within_streams, EndTheFirstAttempt) {
  const duration max_overlap = MaxOverlap(GetParam());
  attempt_silence state = SilentFor(milliseconds(0), true);
  state.max_overlap = max_overlap;
  while (!NeedsSecondAttempt(state)) {
    state.silent_for += milliseconds(1);
  }
  EXPECT_EQ(
      DecideOverlap(max_overlap, max_overlap, state.silent_for + max_overlap),
      overlap_decision::kEndFirst);
}

INSTANTIATE_TEST_SUITE_P(hold_ups,
                         overlaps_within_streams,
                         testing::Values(milliseconds(0),
                                         milliseconds(4),
                                         milliseconds(100),
                                         milliseconds(200),
                                         milliseconds(210)));

struct overlap_case {
  std::string name;
  milliseconds overlap;
  milliseconds first_silent_for;
  overlap_decision expected;
  milliseconds hold_up{0};
};

class overlapping_attempts : public testing::TestWithParam<overlap_case> {};

TEST_P(overlapping_attempts, EndInTime) {
  EXPECT_EQ(DecideOverlap(GetParam().overlap, MaxOverlap(GetParam().hold_up),
                          GetParam().first_silent_for),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    overlapping_attempts,
    testing::Values(
        overlap_case{"short", milliseconds(290), milliseconds(5'000),
                     overlap_decision::kKeepBoth},
        overlap_case{"leaves_time_for_a_host_that_is_held_up",
                     milliseconds(300), milliseconds(1'400),
                     overlap_decision::kEndSecond},
        overlap_case{"first_may_go_on", milliseconds(370), milliseconds(1'400),
                     overlap_decision::kEndSecond},
        overlap_case{"first_is_lost", milliseconds(370), milliseconds(1'600),
                     overlap_decision::kEndFirst},
        overlap_case{"host_was_held_up_for_a_moment", milliseconds(230),
                     milliseconds(1'400), overlap_decision::kKeepBoth,
                     milliseconds(60)},
        overlap_case{"host_was_held_up", milliseconds(240), milliseconds(1'400),
                     overlap_decision::kEndSecond, milliseconds(60)},
        overlap_case{"host_was_held_up_for_long", milliseconds(0),
                     milliseconds(1'510), overlap_decision::kEndFirst,
                     milliseconds(210)}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
