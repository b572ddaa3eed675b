#include "serving/jsonl_items.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

struct jsonl_case {
  const char* name;
  std::string body;
  size_t items;
  const char* problem;  // Empty: good.
};

class jsonl_items_test : public ::testing::TestWithParam<jsonl_case> {};

TEST_P(jsonl_items_test, CutsOrNamesTheLine) {
  const jsonl_case& given = GetParam();
  const auto items = CutItems(given.body);
  const bool is_bad = *given.problem != '\0';
  ASSERT_EQ(IsOk(items), !is_bad);
  if (is_bad) {
    EXPECT_EQ(ErrorOf(items).detail, given.problem);
  } else {
    EXPECT_EQ(ValueOf(items).size(), given.items);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    jsonl_items_test,
    ::testing::Values(
        jsonl_case{"Empty", "", 0, ""},
        jsonl_case{"NoLastNewline", "{}\n{\"a\":1}", 2, ""},
        jsonl_case{"BlankLinesAndSpaces", "\n  {} \r\n\n{}\n", 2, ""},
        jsonl_case{"Array", "{}\n[1]\n", 0, "line 2: no JSON object in UTF-8"},
        jsonl_case{"CutOff", "{\"a\":", 0, "line 1: no JSON object in UTF-8"},
        jsonl_case{"BadUtf8", "{\"a\":\"\xff\"}\n", 0,
                   "line 1: no JSON object in UTF-8"},
        jsonl_case{"TwoOnALine", "{}{}", 0, "line 1: no JSON object in UTF-8"},
        jsonl_case{"TooLong", "{\"a\":\"" + std::string(300'000, 'x') + "\"}",
                   0, "line 1: longer than 262144 bytes"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace shallotport
