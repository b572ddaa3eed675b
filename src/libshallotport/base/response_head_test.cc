#include "base/response_head.h"

#include <gtest/gtest.h>

#include <string>

#include "base/malformed_heads_test_util.h"

namespace shallotport {

namespace {

class malformed_status : public testing::TestWithParam<malformed_head> {};

TEST_P(malformed_status, IsFound) {
  const std::string& bytes = GetParam().bytes;
  EXPECT_NE(CheckResponseHead(bytes.substr(0, bytes.find("\r\n\r\n") + 4)),
            head_fault::kNone);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    malformed_status,
    testing::ValuesIn(HeadsWithMalformedStatus("A: b\r\n")),
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

}  // namespace

}  // namespace shallotport
