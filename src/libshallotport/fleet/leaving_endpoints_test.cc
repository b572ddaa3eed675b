#include "fleet/leaving_endpoints.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using origin = leaving_endpoints::origin;

const endpoint_id kEndpoint("e");

struct start_case {
  const char* name;
  const char* endpoint;
  uint64_t start_time_ms;
  bool is_leaving;
};

class leaving_starts : public testing::TestWithParam<start_case> {};

TEST_P(leaving_starts, AreTheNamedOneAndEarlierOnes) {
  leaving_endpoints leaving;
  EXPECT_TRUE(leaving.Add({}, {kEndpoint, 5}, origin::kOwnResponse));
  EXPECT_FALSE(leaving.Add({}, {kEndpoint, 4}, origin::kOtherHost));
  EXPECT_EQ(leaving.IsLeaving(endpoint_id(GetParam().endpoint),
                              GetParam().start_time_ms),
            GetParam().is_leaving);
}

INSTANTIATE_TEST_SUITE_P(table,
                         leaving_starts,
                         testing::Values(start_case{"same", "e", 5, true},
                                         start_case{"earlier", "e", 4, true},
                                         start_case{"later", "e", 6, false},
                                         start_case{"other_id", "f", 5, false}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

TEST(leaving_endpoints_test, OtherHostsAreToldForAWhile) {
  leaving_endpoints leaving;
  leaving.Add({}, {kEndpoint, 1}, origin::kOwnResponse);
  const steady_time later{milliseconds(2'000)};
  leaving.Add(later, {endpoint_id("f"), 1}, origin::kOtherHost);
  EXPECT_EQ(leaving.Recent(later).size(), 2u);
  ASSERT_EQ(leaving.OwnRecent(later).size(), 1u);
  EXPECT_EQ(leaving.OwnRecent(later)[0].endpoint, kEndpoint);
  const steady_time much_later{milliseconds(4'000)};
  ASSERT_EQ(leaving.Recent(much_later).size(), 1u);
  EXPECT_TRUE(leaving.OwnRecent(much_later).empty());
  EXPECT_TRUE(leaving.IsLeaving(kEndpoint, 1));
}

TEST(leaving_endpoints_test, IsBounded) {
  leaving_endpoints leaving;
  const endpoint_id again("again");
  leaving.Add({}, {again, 1}, origin::kOwnResponse);
  leaving.Add({}, {again, 2}, origin::kOwnResponse);
  for (int i = 0; i < 4'095; ++i) {
    leaving.Add({}, {endpoint_id(std::to_string(i)), 1}, origin::kOwnResponse);
  }
  // The oldest entry is gone, but not the later start of its endpoint.
  EXPECT_TRUE(leaving.IsLeaving(again, 2));
  EXPECT_EQ(leaving.size(), 4'096u);
  leaving.Add({}, {endpoint_id("last"), 1}, origin::kOwnResponse);
  EXPECT_FALSE(leaving.IsLeaving(again, 1));
  EXPECT_LE(leaving.Recent({}).size(), 64u);
}

}  // namespace

}  // namespace shallotport
