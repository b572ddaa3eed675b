#include "entry/leave_notice.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "entry/wire_profile.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

struct notice_case {
  const char* name;
  std::vector<header_list::field> fields;
  leave_notice expected;
};

class leave_notice_test : public testing::TestWithParam<notice_case> {};

TEST_P(leave_notice_test, OnlyOneWellFormedFieldCounts) {
  wire_profile wire;
  wire.leaving = "X-Leaving";
  header_list headers;
  headers.Add("X-Leaving-Soon", "1");
  for (const auto& [name, value] : GetParam().fields) {
    headers.Add(name, value);
  }
  EXPECT_EQ(ReadLeaveNotice(headers, wire), GetParam().expected);
  EXPECT_EQ(ReadLeaveNotice(headers, {}), leave_notice::kAbsent);
}

INSTANTIATE_TEST_SUITE_P(
    fields,
    leave_notice_test,
    testing::Values(
        notice_case{"none", {}, leave_notice::kAbsent},
        notice_case{"one", {{"X-Leaving", "1"}}, leave_notice::kLeaving},
        notice_case{"other_case", {{"x-leaving", "1"}}, leave_notice::kLeaving},
        notice_case{"zero", {{"X-Leaving", "0"}}, leave_notice::kMalformed},
        notice_case{"empty", {{"X-Leaving", ""}}, leave_notice::kMalformed},
        notice_case{"longer", {{"X-Leaving", "10"}}, leave_notice::kMalformed},
        notice_case{"twice",
                    {{"X-Leaving", "1"}, {"X-Leaving", "1"}},
                    leave_notice::kMalformed}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace

}  // namespace shallotport
