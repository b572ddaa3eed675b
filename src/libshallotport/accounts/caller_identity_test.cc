#include "accounts/caller_identity.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "accounts/account_table.h"
#include "base/digest.h"
#include "eventio/http_types.h"

namespace shallotport {
namespace {

account_rules Account(std::string name, const std::vector<std::string>& keys) {
  account_rules account;
  account.name = std::move(name);
  for (const std::string& each : keys) {
    account.key_digests.push_back(Sha256Hex(each));
  }
  return account;
}

struct identity_case {
  std::string name;
  std::vector<std::string> credentials;
  caller_identity_kind kind;
  std::string account;
};

class caller_identity_test : public testing::TestWithParam<identity_case> {};

// Guards against requests that are served for another account, or for none.
TEST_P(caller_identity_test, FindsTheAccountOfTheKey) {
  const account_table accounts({Account("north", {"key-1", "key-2"}),
                                Account("south", {"key-3"}),
                                Account("east", {})});
  header_list headers;
  for (const std::string& each : GetParam().credentials) {
    headers.Add("authorization", each);
  }
  const caller_identity identity =
      IdentifyCaller(accounts, headers, "Authorization");
  EXPECT_EQ(identity.kind, GetParam().kind);
  EXPECT_EQ(identity.account.name, GetParam().account);
}

constexpr auto kUnknown = caller_identity_kind::kUnknownKey;
INSTANTIATE_TEST_SUITE_P(
    Credentials,
    caller_identity_test,
    testing::Values(
        identity_case{"FirstKey",
                      {"Bearer key-1"},
                      caller_identity_kind::kAccount,
                      "north"},
        identity_case{"SecondKey",
                      {"Bearer key-2"},
                      caller_identity_kind::kAccount,
                      "north"},
        identity_case{"SchemeInOtherCase",
                      {"bearer  key-3 "},
                      caller_identity_kind::kAccount,
                      "south"},
        identity_case{"NoKey", {}, caller_identity_kind::kAnonymous, ""},
        identity_case{"UnknownKey", {"Bearer key-4"}, kUnknown, ""},
        identity_case{"PrefixOfAKey", {"Bearer key-"}, kUnknown, ""},
        identity_case{"OtherCase", {"Bearer KEY-1"}, kUnknown, ""},
        identity_case{"EmptyKey", {"Bearer "}, kUnknown, ""},
        identity_case{"NoScheme", {"key-1"}, kUnknown, ""},
        identity_case{"OtherScheme", {"Basic key-1"}, kUnknown, ""},
        identity_case{"TwoFields",
                      {"Bearer key-1", "Bearer key-1"},
                      kUnknown,
                      ""}),
    [](const auto& info) { return info.param.name; });

TEST(caller_identity_test, WithoutAccountsEveryCallerIsAnonymous) {
  header_list headers;
  headers.Add("Authorization", "Bearer key-1");
  EXPECT_EQ(IdentifyCaller(account_table(), headers, "Authorization").kind,
            caller_identity_kind::kAnonymous);
}

// Guards against jobs of one account that another one can address.
TEST(caller_identity_test, ScopedNamesOfTwoAccountsDiffer) {
  EXPECT_EQ(ScopeToAccount("job", ""), "job");
  EXPECT_NE(ScopeToAccount("job", "north"), ScopeToAccount("job", "south"));
  EXPECT_NE(ScopeToAccount("bjob", "a"), ScopeToAccount("job", "ab"));
}

// Guards against a list of accounts that has become empty and lets every caller
// in, as a configuration without one does.
TEST(account_table, AnEmptyListOfAccountsNeedsKeys) {
  header_list headers;
  headers.Add("Authorization", "Bearer key-1");
  const account_table none;
  EXPECT_FALSE(none.NeedsKeys());
  EXPECT_EQ(IdentifyCaller(none, headers, "Authorization").kind,
            caller_identity_kind::kAnonymous);
  const account_table empty(std::vector<account_rules>{});
  EXPECT_TRUE(empty.NeedsKeys());
  EXPECT_EQ(IdentifyCaller(empty, headers, "Authorization").kind,
            caller_identity_kind::kUnknownKey);
}

struct accounts_case {
  std::string name;
  std::vector<account_rules> accounts;
  bool is_valid;
  std::string text;
};

class account_table_test : public testing::TestWithParam<accounts_case> {};

// Guards against configurations under which a key would not name one account,
// and against keys in error texts.
TEST_P(account_table_test, ChecksNamesAndKeys) {
  const status checked = CheckAccounts(GetParam().accounts);
  ASSERT_EQ(IsOk(checked), GetParam().is_valid);
  if (!IsOk(checked)) {
    EXPECT_NE(ErrorOf(checked).detail.find(GetParam().text), std::string::npos);
    EXPECT_EQ(ErrorOf(checked).detail.find(Sha256Hex("k")), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Accounts,
    account_table_test,
    testing::Values(
        accounts_case{"None", {}, true, ""},
        accounts_case{"TwoKeysOfOne", {Account("a", {"k", "l"})}, true, ""},
        accounts_case{"OneKeyTwice", {Account("a", {"k", "k"})}, true, ""},
        accounts_case{"NoKeys", {Account("a", {}), Account("b", {})}, true, ""},
        accounts_case{"SharedKey",
                      {Account("a", {"k"}), Account("b", {"l", "k"})},
                      false,
                      "account b: shares a key with a"},
        accounts_case{"SameName",
                      {Account("a", {"k"}), Account("a", {"l"})},
                      false,
                      "account a"},
        accounts_case{"NoName", {Account("", {"k"})}, false, "no name"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
