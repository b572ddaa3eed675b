#include "settings/host_settings.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

constexpr std::string_view kGood = R"(host: a1
domain: a
data_folder: /tmp/a1
peer_address: 127.0.0.1:7101
operator_token: op
endpoint_token: ep
caller_lane: {address: "127.0.0.1:8101"}
endpoint_lane: {address: "127.0.0.1:8201"}
operator_lane: {address: "127.0.0.1:8301"}
peers:
  - {host: a1, domain: a, address: "127.0.0.1:7101", control: true}
  - {host: b1, domain: b, address: "127.0.0.1:7102"}
)";

std::string Replaced(std::string_view from, std::string_view to) {
  std::string text(kGood);
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(HostSettings, ReadsEveryKeyAndDefaults) {
  const auto settings = ParseHostSettings(kGood, "a1.yaml");
  ASSERT_TRUE(IsOk(settings)) << ErrorOf(settings).detail;
  EXPECT_EQ(ValueOf(settings).host, host_id("a1"));
  EXPECT_EQ(ValueOf(settings).peers.size(), 2U);
  EXPECT_TRUE(ValueOf(settings).peers[0].is_control_member);
  EXPECT_EQ(ValueOf(settings).drain_timeout, std::chrono::seconds(30));
  EXPECT_EQ(ValueOf(settings).caller_lane.max_connections, 256U);
}

struct bad_settings_case {
  const char* name;
  const char* from;
  const char* to;
  const char* expected_part;
};

class bad_host_settings : public ::testing::TestWithParam<bad_settings_case> {};

TEST_P(bad_host_settings, NamesFileLineKeyAndExpectation) {
  const bad_settings_case& bad = GetParam();
  const auto settings =
      ParseHostSettings(Replaced(bad.from, bad.to), "a1.yaml");
  ASSERT_FALSE(IsOk(settings));
  EXPECT_NE(ErrorOf(settings).detail.find(bad.expected_part), std::string::npos)
      << ErrorOf(settings).detail;
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    bad_host_settings,
    ::testing::Values(
        bad_settings_case{"UnknownKey", "domain: a\n", "domain: a\ndomian: a\n",
                          "a1.yaml:3: domian: unknown key"},
        bad_settings_case{"Missing", "domain: a\n", "",
                          "domain: the key is missing; expected a text"},
        bad_settings_case{"WrongType", "operator_token: op",
                          "operator_token: [op]",
                          "a1.yaml:5: operator_token: not a text"},
        bad_settings_case{"BadAddress", "127.0.0.1:8101", "localhost:8101",
                          "caller_lane.address: not an address"},
        bad_settings_case{"BadPort", "127.0.0.1:8101", "127.0.0.1:0",
                          "caller_lane.address: not an address"},
        bad_settings_case{"OutOfRange", "endpoint_token: ep\n",
                          "endpoint_token: ep\nonline_calls: 0\n",
                          "a1.yaml:7: online_calls: out of range: 0; expected "
                          "a whole number from 1 to 4096"},
        bad_settings_case{"Negative", "endpoint_token: ep\n",
                          "endpoint_token: ep\nonline_calls: -3\n",
                          "online_calls: not a whole number"},
        bad_settings_case{"DuplicateKey", "domain: a\n",
                          "domain: a\ndomain: b\n",
                          "a1.yaml:3: domain: the key stands twice"},
        bad_settings_case{"DuplicateHost", "host: b1, domain: b",
                          "host: a1, domain: b", "peers[1].host: named twice"},
        bad_settings_case{"DuplicateAddress", "address: \"127.0.0.1:7102\"",
                          "address: \"127.0.0.1:7101\"",
                          "peers[1].address: used twice"},
        bad_settings_case{"NotAmongPeers", "host: a1\n", "host: c1\n",
                          "host: not among peers: c1"},
        bad_settings_case{"MemberWithoutFolder", "data_folder: /tmp/a1\n", "",
                          "data_folder: missing on a control member"},
        bad_settings_case{"BrokenYaml", "peers:\n", "peers: [\n",
                          "well-formed YAML"},
        bad_settings_case{"ShortElection", "endpoint_token: ep\n",
                          "endpoint_token: ep\nelection_timeout_ms: 200\n",
                          "election_timeout_ms: too short"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(HostSettings, ReportsAllProblemsAtOnce) {
  std::string text = Replaced("127.0.0.1:8101", "nowhere");
  text += "first_extra: 1\nsecond_extra: 2\n";
  const auto settings = ParseHostSettings(text, "a1.yaml");
  ASSERT_FALSE(IsOk(settings));
  const std::string& detail = ErrorOf(settings).detail;
  EXPECT_NE(detail.find("caller_lane.address"), std::string::npos);
  EXPECT_NE(detail.find("first_extra"), std::string::npos);
  EXPECT_NE(detail.find("second_extra"), std::string::npos);
}

}  // namespace
}  // namespace shallotport
