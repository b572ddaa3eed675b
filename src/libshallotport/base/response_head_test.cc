#include "base/response_head.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "base/malformed_heads_test_util.h"

namespace shallotport {

namespace {

class malformed_head_test : public testing::TestWithParam<malformed_head> {};

TEST_P(malformed_head_test, IsFound) {
  const std::string& bytes = GetParam().bytes;
  EXPECT_NE(CheckResponseHead(bytes.substr(0, bytes.find("\r\n\r\n") + 4)),
            head_fault::kNone);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    malformed_head_test,
    testing::ValuesIn(HeadsWithMalformedStatus("A: b\r\n")),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    fields,
    malformed_head_test,
    testing::ValuesIn(HeadsWithMalformedFields("A: b\r\n")),
    [](const auto& info) { return info.param.name; });

TEST(response_head_test, EveryStatusFromInterimToServerErrorIsKnown) {
  for (int status = 0; status < 1'000; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    const head_fault fault =
        CheckResponseHead("HTTP/1.1 " + digits + " Any\r\n\r\n");
    const bool is_known = status >= 100 && status < 600 && status != 101;
    EXPECT_EQ(fault, is_known ? head_fault::kNone : head_fault::kStatus)
        << status;
  }
}

struct sound_head {
  const char* name;
  const char* fields;
};

void PrintTo(const sound_head& each, std::ostream* out) {
  *out << each.name;
}

class sound_head_test : public testing::TestWithParam<sound_head> {};

TEST_P(sound_head_test, HasNoFault) {
  EXPECT_EQ(CheckResponseHead("HTTP/1.1 200 OK\r\n" +
                              std::string(GetParam().fields) + "\r\n"),
            head_fault::kNone);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    sound_head_test,
    testing::Values(sound_head{"no_fields", ""},
                    sound_head{"marks_in_name", "!#$%&'*+-.^_`|~1aZ: v\r\n"},
                    sound_head{"blanks_in_value", "A: \t b \tc \r\n"},
                    sound_head{"empty_value", "A:\r\n"},
                    sound_head{"colons_in_value", "A: b:c\r\n"},
                    sound_head{"bytes_over_127", "A: \xc3\xa9\xff\r\n"},
                    sound_head{"length", "content-length:005\r\n"},
                    sound_head{"same_length_twice",
                               "Content-Length: 5\r\nContent-Length: 5\r\n"},
                    sound_head{"chunks", "TRANSFER-ENCODING: Chunked \r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(response_head_test, HeadWithoutItsEndHasAFault) {
  EXPECT_EQ(CheckResponseHead("HTTP/1.1 200 OK\r\nA: b\r\n"),
            head_fault::kField);
  EXPECT_EQ(CheckResponseHead("HTTP/1.1 200 OK\r\n"), head_fault::kField);
  EXPECT_EQ(CheckResponseHead(""), head_fault::kStatusLine);
}

}  // namespace

}  // namespace shallotport
