#include "control/configuration_parser.h"

#include <gtest/gtest.h>

#include <string>

#include "base/digest.h"

namespace shallotport {
namespace {

std::string ValidText() {
  return "accounts:\n"      // 1
         "  - id: north\n"  // 2
         "    token_sha256: " +
         Sha256Hex("a") +
         "\n"               // 3
         "  - id: south\n"  // 4
         "    token_sha256: " +
         Sha256Hex("b") +
         "\n"                        // 5
         "    services: [unlock]\n"  // 6
         "services:\n"               // 7
         "  - id: unlock\n"          // 8
         "    kind: plain\n"         // 9
         "    idempotent: false\n"   // 10
         "    accounts: [south]\n"   // 11
         "  - id: assistant\n"       // 12
         "    kind: model\n";        // 13
}

struct damage_case {
  const char* name;
  const char* original;
  std::string replacement;
  const char* expected;  // Start of the one line reported.
};

class configuration_damage : public testing::TestWithParam<damage_case> {};

TEST_P(configuration_damage, IsReportedWithLineAndKey) {
  std::string text = ValidText();
  const size_t at = text.find(GetParam().original);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, std::string(GetParam().original).size(),
               GetParam().replacement);
  const auto parsed = ParseConfiguration(text, "c.yaml");
  ASSERT_FALSE(IsOk(parsed));
  const std::string& detail = ErrorOf(parsed).detail;
  EXPECT_EQ(detail.rfind(GetParam().expected, 0), 0U) << detail;
  EXPECT_NE(detail.find("; expected "), std::string::npos) << detail;
  EXPECT_EQ(std::count(detail.begin(), detail.end(), '\n'), 1) << detail;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    configuration_damage,
    testing::Values(
        damage_case{"UnknownKey", "kind: model", "kind: model\n    colour: red",
                    "c.yaml:14: services[1].colour: unknown key"},
        damage_case{"UnknownTopKey", "services:\n  - id: unlock",
                    "extra: 1\nservices:\n  - id: unlock",
                    "c.yaml:7: extra: unknown key"},
        damage_case{"WrongType", "idempotent: false", "idempotent: never",
                    "c.yaml:10: services[0].idempotent: neither true"},
        damage_case{"OutOfRange", "kind: model",
                    "kind: model\n    batch_max_attempts: 0",
                    "c.yaml:14: services[1].batch_max_attempts: out of range"},
        damage_case{"UnknownName", "kind: model", "kind: modal",
                    "c.yaml:13: services[1].kind: unknown name"},
        damage_case{"DuplicateAccount", "id: north", "id: south",
                    "c.yaml:4: accounts[1].id: already used at line 2"},
        damage_case{"DuplicateService", "id: assistant", "id: unlock",
                    "c.yaml:12: services[1].id: already used at line 8"},
        damage_case{"SharedToken",
                    "3e23e8160039594a33894f6564e1b134"
                    "8bbd7a0088d42c4acb73eeaed59c009d",
                    Sha256Hex("a"),
                    "c.yaml:5: accounts[1].token_sha256: already used"},
        damage_case{"DanglingService", "[unlock]", "[unlock, opener]",
                    "c.yaml:6: accounts[1].services: no such id: opener"},
        damage_case{"DanglingAccount", "[south]", "[south, west]",
                    "c.yaml:11: services[0].accounts: no such id: west"},
        damage_case{"TooManyAttempts", "idempotent: false",
                    "idempotent: false\n    max_attempts: 99",
                    "c.yaml:11: services[0].max_attempts: out of range"},
        damage_case{"HedgedUnlock", "idempotent: false",
                    "idempotent: false\n    hedge_after_ms: 5",
                    "c.yaml:11: services[0].hedge_after_ms"},
        damage_case{"MissingKind", "    kind: model\n", "",
                    "c.yaml:12: services[1].kind: the key is missing"},
        damage_case{"BadId", "id: assistant", "id: a/b",
                    "c.yaml:12: services[1].id: not an id"},
        damage_case{"NotYaml", "accounts:\n", "accounts: [\n", "c.yaml:"}),
    [](const auto& info) { return info.param.name; });

TEST(ConfigurationParser, ReportsAllProblemsInTheOrderOfLines) {
  const auto parsed = ParseConfiguration(
      "accounts:\n  - id: a\n    token_sha256: x\n    weight: 1\n"
      "services:\n  - id: s\n    kind: none\n    accounts: [b]\n",
      "c.yaml");
  ASSERT_FALSE(IsOk(parsed));
  const std::string& detail = ErrorOf(parsed).detail;
  EXPECT_EQ(std::count(detail.begin(), detail.end(), '\n'), 4) << detail;
  EXPECT_LT(detail.find("c.yaml:3:"), detail.find("c.yaml:4:"));
  EXPECT_LT(detail.find("c.yaml:7:"), detail.find("c.yaml:8:"));
}

TEST(ConfigurationParser, PrintsWhatItReadsBackEqual) {
  const auto parsed = ParseConfiguration(ValidText(), "c.yaml");
  ASSERT_TRUE(IsOk(parsed)) << ErrorOf(parsed).detail;
  const configuration& config = ValueOf(parsed);
  EXPECT_EQ(FindService(config, service_id("unlock"))->max_attempts, 3U);
  const std::string printed = PrintConfiguration(config);
  const auto again = ParseConfiguration(printed, "printed.yaml");
  ASSERT_TRUE(IsOk(again)) << ErrorOf(again).detail;
  EXPECT_EQ(ValueOf(again), config);
  EXPECT_EQ(PrintConfiguration(ValueOf(again)), printed);
}

TEST(ConfigurationParser, AdmitsOnlyPairsThatNameEachOther) {
  const auto parsed = ParseConfiguration(ValidText(), "c.yaml");
  ASSERT_TRUE(IsOk(parsed));
  const configuration& config = ValueOf(parsed);
  const auto may_call = [&](const char* account, const char* service) {
    return MayCall(*FindAccount(config, account_id(account)),
                   *FindService(config, service_id(service)));
  };
  EXPECT_TRUE(may_call("south", "unlock"));
  EXPECT_FALSE(may_call("north", "unlock"));
  EXPECT_TRUE(may_call("north", "assistant"));
  EXPECT_FALSE(may_call("south", "assistant"));
}

}  // namespace
}  // namespace shallotport
