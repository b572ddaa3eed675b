#include "jobstore/item_version_policy.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace shallotport {

namespace {

struct choice_case {
  std::string name;
  item_text_facts facts;
  version_choice choice;
};

void PrintTo(const choice_case& each, std::ostream* out) {
  *out << each.name;
}

class version_choices : public testing::TestWithParam<choice_case> {};

TEST_P(version_choices, KeepTextsWhileTheirVersionServes) {
  EXPECT_EQ(ChooseVersion(GetParam().facts), GetParam().choice);
}

// Facts: has_begun, is_origin_ready, can_be_in_time, is_committing.
INSTANTIATE_TEST_SUITE_P(
    table,
    version_choices,
    testing::Values(choice_case{"not_begun",
                                {false, false, true, false},
                                version_choice::kAnyVersion},
                    choice_case{"not_begun_late",
                                {false, false, false, false},
                                version_choice::kAnyVersion},
                    choice_case{"ready",
                                {true, true, true, false},
                                version_choice::kOwnVersion},
                    choice_case{"ready_late",
                                {true, true, false, false},
                                version_choice::kOwnVersionFirst},
                    choice_case{"ready_late_committing",
                                {true, true, false, true},
                                version_choice::kOwnVersion},
                    choice_case{"gone",
                                {true, false, true, false},
                                version_choice::kAnyVersion},
                    choice_case{"gone_late",
                                {true, false, false, false},
                                version_choice::kAnyVersion},
                    choice_case{"gone_committing",
                                {true, false, true, true},
                                version_choice::kNone}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
