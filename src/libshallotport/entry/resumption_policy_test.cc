#include "entry/resumption_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

namespace shallotport {

namespace {

const service_id kService("llm");
const service_id kOtherService("other");
const stream_origin kOld{kService, "old"};
const stream_origin kNew{kService, "new"};

struct resumption_case {
  std::string name;
  std::vector<weighted_service> services;
  std::optional<stream_origin> origin;
  std::optional<std::string> sole_version;
  bool is_view_complete;
  std::vector<stream_origin> serving;
  resumption_result result;
  stream_origin resumed_at;
};

void PrintTo(const resumption_case& each, std::ostream* out) {
  *out << each.name;
}

class resumptions : public testing::TestWithParam<resumption_case> {};

TEST_P(resumptions, NeverGuessTheSoftwareVersion) {
  const resumption_case& each = GetParam();
  resumption_facts facts;
  facts.services = each.services;
  facts.origin = each.origin;
  facts.sole_version = each.sole_version;
  facts.is_view_complete = each.is_view_complete;
  facts.is_serving = [&](const stream_origin& origin) {
    return std::count(each.serving.begin(), each.serving.end(), origin) > 0;
  };
  const resumption_decision decision = DecideResumption(facts);
  EXPECT_EQ(decision.result, each.result);
  if (each.result == resumption_result::kResume) {
    EXPECT_EQ(decision.origin, each.resumed_at);
  }
}

const std::vector<weighted_service> kSole = {{kService, 1}};
const std::vector<weighted_service> kSplit = {{kService, 9},
                                              {kOtherService, 1}};
const std::vector<weighted_service> kMoved = {{kService, 0},
                                              {kOtherService, 1}};
const std::vector<stream_origin> kBoth = {kOld, kNew};
constexpr auto kResume = resumption_result::kResume;
constexpr auto kUnknown = resumption_result::kOriginUnknown;
constexpr auto kGone = resumption_result::kVersionGone;
constexpr auto kNotAllowed = resumption_result::kServiceNotAllowed;

INSTANTIATE_TEST_SUITE_P(
    table,
    resumptions,
    testing::Values(
        resumption_case{"known", kSole, kOld, {}, true, kBoth, kResume, kOld},
        resumption_case{"known_and_cut_off",
                        kSole,
                        kOld,
                        {},
                        false,
                        kBoth,
                        kResume,
                        kOld},
        resumption_case{"known_beside_a_sole_version", kSole, kOld, "new", true,
                        kBoth, kResume, kOld},
        resumption_case{"known_of_a_split",
                        kSplit,
                        kOld,
                        {},
                        true,
                        kBoth,
                        kResume,
                        kOld},
        resumption_case{"version_gone",
                        kSole,
                        kOld,
                        {},
                        true,
                        {kNew},
                        kGone,
                        {}},
        resumption_case{"service_moved",
                        kMoved,
                        kOld,
                        {},
                        true,
                        kBoth,
                        kNotAllowed,
                        {}},
        resumption_case{"unknown_of_one",
                        kSole,
                        {},
                        "new",
                        true,
                        {kNew},
                        kResume,
                        kNew},
        resumption_case{"unknown_of_two",
                        kSole,
                        {},
                        {},
                        true,
                        kBoth,
                        kUnknown,
                        {}},
        resumption_case{"unknown_and_cut_off",
                        kSole,
                        {},
                        "new",
                        false,
                        {kNew},
                        kUnknown,
                        {}},
        resumption_case{"unknown_of_a_split",
                        kSplit,
                        {},
                        "new",
                        true,
                        {kNew},
                        kUnknown,
                        {}},
        resumption_case{"unknown_and_none_ready",
                        kSole,
                        {},
                        "new",
                        true,
                        {},
                        kGone,
                        {}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
