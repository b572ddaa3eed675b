#include "ratelimits/limit_notice.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "eventio/http_types.h"

namespace shallotport {

namespace {

using kind = limit_notice_kind;

struct notice_case {
  std::string name;
  std::vector<std::string> values;  // Of the header field.
  kind expected;
  double per_second = 0;
};

class limit_notices : public testing::TestWithParam<notice_case> {};

TEST_P(limit_notices, AreDecimalNumbers) {
  header_list headers;
  headers.Add("Other", "7");
  for (const std::string& value : GetParam().values) {
    headers.Add("limit", value);
  }
  const limit_notice notice = ReadLimitNotice(headers, "Limit");
  EXPECT_EQ(notice.kind, GetParam().expected);
  EXPECT_EQ(notice.per_second, GetParam().per_second);
  EXPECT_EQ(ReadLimitNotice(headers, "").kind, kind::kAbsent);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    limit_notices,
    testing::Values(
        notice_case{"absent", {}, kind::kAbsent},
        notice_case{"decimal", {"2.5"}, kind::kNamed, 2.5},
        notice_case{"whole", {"40"}, kind::kNamed, 40},
        notice_case{"zero", {"0"}, kind::kNamed, 0},
        notice_case{"zero_decimal", {"0.0"}, kind::kNamed, 0},
        notice_case{"negative", {"-1"}, kind::kMalformed},
        notice_case{"sign", {"+1"}, kind::kMalformed},
        notice_case{"exponent", {"1e999"}, kind::kMalformed},
        notice_case{"nan", {"nan"}, kind::kMalformed},
        notice_case{"infinite", {"inf"}, kind::kMalformed},
        notice_case{"comma", {"2,5"}, kind::kMalformed},
        notice_case{"two_points", {"1.2.3"}, kind::kMalformed},
        notice_case{"point", {"."}, kind::kMalformed},
        notice_case{"empty", {""}, kind::kMalformed},
        notice_case{"space", {"2 "}, kind::kMalformed},
        notice_case{"long", {std::string(5'000, '9')}, kind::kMalformed},
        notice_case{"repeated", {"2", "2"}, kind::kMalformed},
        notice_case{"repeated_thrice", {"2", "2", "3"}, kind::kMalformed}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
