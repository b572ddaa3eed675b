#include "entry/load_header.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {
namespace {

struct header_case {
  std::string name;
  std::string text;
  bool is_read;
  uint32_t running = 0;
  uint32_t waiting = 0;
  std::optional<double> pace;
};

class load_header : public testing::TestWithParam<header_case> {};

// Guards against a malformed figure that is taken for a load, or that hides the
// other figures.
TEST_P(load_header, ReadsWhatIsWellFormed) {
  const header_case& each = GetParam();
  const auto figures = ParseLoadHeader(each.text);
  ASSERT_EQ(figures.has_value(), each.is_read);
  if (figures) {
    EXPECT_EQ(figures->running, each.running);
    EXPECT_EQ(figures->waiting, each.waiting);
    EXPECT_EQ(figures->pace, each.pace);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Headers,
    load_header,
    testing::Values(
        header_case{"ThreeFigures", "3,1,8", true, 3, 1, std::nullopt},
        header_case{"TwoFigures", "3,1", true, 3, 1, std::nullopt},
        header_case{"FourFigures", "3,0,8,250", true, 3, 0, 2.5},
        header_case{"WithSpaces", "3, 0, 8, 100", true, 3, 0, 1.0},
        header_case{"FiveFigures", "3,0,8,100,7", true, 3, 0, 1.0},
        header_case{"Fraction", "3,0,8,100.5", true, 3, 0, 1.005},
        header_case{"Negative", "3,0,8,-1", true, 3, 0, std::nullopt},
        header_case{"NotANumber", "3,0,8,nan", true, 3, 0, std::nullopt},
        header_case{"Infinite", "3,0,8,inf", true, 3, 0, std::nullopt},
        header_case{"Zero", "3,0,8,0", true, 3, 0, std::nullopt},
        header_case{"TooSlow", "3,0,8,1e9", true, 3, 0, 4.0},
        header_case{"TooFast", "3,0,8,1", true, 3, 0, 0.25},
        header_case{"EmptyFourth", "3,0,8,", true, 3, 0, std::nullopt},
        header_case{"Empty", "", false},
        header_case{"OneFigure", "3", false},
        header_case{"NegativeLoad", "-3,0,8", false},
        header_case{"Text", "a,b,c", false},
        header_case{"ThirdIsText", "3,0,x", false},
        header_case{"TooLarge", "99999999999,0,8", false},
        header_case{"TenKilobytes", std::string(10'000, '9'), false},
        header_case{"FourthOfTenKilobytes", "3,0,8," + std::string(10'000, '9'),
                    true, 3, 0, std::nullopt}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
