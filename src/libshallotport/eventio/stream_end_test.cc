#include "eventio/stream_end.h"

#include <gtest/gtest.h>

#include <ostream>

namespace shallotport {

namespace {

struct end_case {
  const char* name;
  stream_end_facts facts;
  stream_end expected;
};

void PrintTo(const end_case& each, std::ostream* out) {
  *out << each.name;
}

class stream_end_table : public testing::TestWithParam<end_case> {};

TEST_P(stream_end_table, Judges) {
  EXPECT_EQ(JudgeStreamEnd(GetParam().facts), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    stream_end_table,
    testing::Values(
        end_case{"all_received", {false, true, 0}, stream_end::kOrderly},
        end_case{"all_received_and_failed",
                 {true, true, 0},
                 stream_end::kBroken},
        end_case{"upload_under_way", {false, false, 0}, stream_end::kUndecided},
        end_case{"upload_under_way_and_failed",
                 {true, false, 0},
                 stream_end::kBroken},
        end_case{"no_reset_yet", {false, false, 9}, stream_end::kUndecided},
        end_case{"no_reset", {false, false, 10}, stream_end::kOrderly},
        end_case{"late_reset", {true, false, 10}, stream_end::kBroken}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace

}  // namespace shallotport
