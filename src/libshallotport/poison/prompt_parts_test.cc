#include "poison/prompt_parts.h"

#include <gtest/gtest.h>

#include "base/digest.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

struct parts_case {
  std::string name;
  std::vector<std::string> values;  // Of the header field.
  std::vector<std::string> expected;
};

class prompt_parts : public testing::TestWithParam<parts_case> {};

TEST_P(prompt_parts, SharedOnesAreAllButTheLast) {
  header_list headers;
  headers.Add("Other", "aa:1,bb:2");
  for (const std::string& value : GetParam().values) {
    headers.Add("x-parts", value);
  }
  std::vector<prompt_part> expected;
  expected.reserve(GetParam().expected.size());
  for (const std::string& id : GetParam().expected) {
    expected.push_back(HashOf(id));
  }
  EXPECT_EQ(SharedPromptParts(headers, "X-Parts"), expected);
}

std::string ManyParts(int count) {
  std::string value;
  for (int i = 0; i < count; ++i) {
    value += "p" + std::to_string(i) + ":1,";
  }
  return value;
}

std::vector<std::string> ManyIds(int count) {
  std::vector<std::string> ids;
  ids.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    ids.push_back("p" + std::to_string(i));
  }
  return ids;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    prompt_parts,
    testing::Values(
        parts_case{"three", {"5c1e:800,91bd:410,e440:250"}, {"5c1e", "91bd"}},
        parts_case{"only_its_own", {"e440:250"}, {}},
        parts_case{"no_field", {}, {}},
        parts_case{"empty", {""}, {}},
        parts_case{"only_commas", {",,:,"}, {}},
        parts_case{"spaces", {" 5c1e:800 , 91bd:1,e440:2"}, {"5c1e", "91bd"}},
        parts_case{"no_tokens", {"5c1e,91bd,e440"}, {"5c1e", "91bd"}},
        parts_case{"repeated", {"5c1e:8,5c1e:8,e440:2"}, {"5c1e"}},
        parts_case{"entry_without_id", {"5c1e:8,:7,e440:2"}, {"5c1e"}},
        parts_case{"two_fields", {"5c1e:8", "91bd:4,e440:2"}, {"5c1e", "91bd"}},
        parts_case{"too_many", {ManyParts(5'000)}, ManyIds(32)}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
