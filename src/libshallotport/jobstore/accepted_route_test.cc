#include "jobstore/accepted_route.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

struct field_case {
  std::string name;
  std::string field;
  accepted_route read;
};

class accepted_route_field : public testing::TestWithParam<field_case> {};

TEST_P(accepted_route_field, IsReadAsItWasWritten) {
  const accepted_route read = ParseAcceptedRoute(GetParam().field);
  EXPECT_EQ(read, GetParam().read);
  EXPECT_EQ(FormatAcceptedRoute(read), GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    accepted_route_field,
    testing::Values(
        field_case{"with_a_version", "/notes/@17", {"/notes/", 17}},
        field_case{"version_0", "/@0", {"/", 0}},
        field_case{"of_an_earlier_build", "/notes/", {"/notes/", std::nullopt}},
        field_case{"mark_in_the_prefix", "/a/@7/", {"/a/@7/", std::nullopt}},
        field_case{"mark_in_the_prefix_and_version", "/@7/@8", {"/@7/", 8}},
        field_case{"no_number", "/a/@x", {"/a/@x", std::nullopt}},
        field_case{"more_than_a_number", "/a/@1x", {"/a/@1x", std::nullopt}},
        field_case{"mark_alone", "/a/@", {"/a/@", std::nullopt}},
        field_case{"empty", "", {"", std::nullopt}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
