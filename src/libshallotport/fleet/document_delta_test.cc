#include "fleet/document_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <ostream>
#include <string>

namespace shallotport {

namespace {

constexpr int kRoutes = 1'400;

std::string Route(int number) {
  return R"({"name":"route-)" + std::to_string(number * 7'919) +
         R"(","host":"h.example","prefix":"/p)" + std::to_string(number) +
         R"(/","kind":"safe","timeoutMs":2000,"service":"svc","attempts":2},)";
}

std::string Document(const std::string& version) {
  std::string text = R"({"version":)" + version + R"(,"routes":[)";
  for (int i = 0; i < kRoutes; ++i) {
    text += Route(i);
  }
  return text + "]}";
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

struct delta_case {
  std::string name;
  std::function<std::string(const std::string& base)> change;
  size_t max_size = 0;
};

std::ostream& operator<<(std::ostream& out, const delta_case& each) {
  return out << each.name;
}

class document_deltas : public testing::TestWithParam<delta_case> {};

TEST_P(document_deltas, GrowWithTheChange) {
  const std::string base = Document("41");
  const std::string target = GetParam().change(base);
  const document_delta delta = MakeDelta(base, target);
  const auto applied = ApplyDelta(base, delta, target.size());
  ASSERT_TRUE(IsOk(applied));
  EXPECT_EQ(ValueOf(applied), target);
  EXPECT_LE(EncodedSize(delta), GetParam().max_size);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    document_deltas,
    testing::Values(
        delta_case{"same", [](const std::string& base) { return base; }, 100},
        delta_case{"version",
                   [](const std::string& base) {
                     return Replaced(base, ":41,", ":1042,");
                   },
                   300},
        delta_case{"version_and_last_route",
                   [](const std::string& base) {
                     const std::string route = Route(kRoutes - 1);
                     return Replaced(Replaced(base, ":41,", ":42,"), route,
                                     Replaced(route, "safe", "unsafe"));
                   },
                   600},
        delta_case{"removed_route",
                   [](const std::string& base) {
                     return Replaced(base, Route(700), "");
                   },
                   300},
        delta_case{"added_and_moved",
                   [](const std::string& base) {
                     return Replaced(Replaced(base, Route(10), Route(5'000)),
                                     Route(1'300), Route(1'300) + Route(10));
                   },
                   900},
        delta_case{"cut_short",
                   [](const std::string& base) { return base.substr(0, 999); },
                   100},
        delta_case{"empty", [](const std::string&) { return std::string(); },
                   0}),
    [](const auto& info) { return info.param.name; });

TEST(document_delta_test, FromNothingHoldsTheWholeText) {
  const std::string target = Document("1");
  const auto applied = ApplyDelta({}, MakeDelta({}, target), target.size());
  ASSERT_TRUE(IsOk(applied));
  EXPECT_EQ(ValueOf(applied), target);
}

TEST(document_delta_test, AppliedToItsBaseGivesTheTarget) {
  EXPECT_TRUE(rc::check([](const std::string& shared, const std::string& a,
                           const std::string& b) {
    std::string repeated;
    for (int i = 0; i < 20; ++i) {
      repeated += shared + std::to_string(i);
    }
    const std::string base = a + repeated + b;
    const std::string target = b + repeated + a + repeated;
    const auto applied =
        ApplyDelta(base, MakeDelta(base, target), target.size());
    RC_ASSERT(IsOk(applied));
    RC_ASSERT(ValueOf(applied) == target);
  }));
}

struct malformed_delta {
  std::string name;
  document_delta delta;
  size_t target_size = 4;
};

std::ostream& operator<<(std::ostream& out, const malformed_delta& each) {
  return out << each.name;
}

class malformed_deltas : public testing::TestWithParam<malformed_delta> {};

TEST_P(malformed_deltas, AreRefused) {
  EXPECT_FALSE(
      IsOk(ApplyDelta("base", GetParam().delta, GetParam().target_size)));
}

INSTANTIATE_TEST_SUITE_P(
    all,
    malformed_deltas,
    testing::Values(malformed_delta{"beyond_the_base", {{2, 3, {}}}},
                    malformed_delta{"offset_beyond_the_base", {{9, 1, {}}}},
                    malformed_delta{"wraps_around", {{1, UINT32_MAX, {}}}},
                    malformed_delta{"too_short", {{0, 3, {}}}},
                    malformed_delta{"too_long", {{0, 4, {}}, {0, 0, "x"}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
