#include "accounts/caller_identity.h"

#include <algorithm>

#include "accounts/account_table.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

// Stands in no header field value and no path, so that callers cannot write
// scoped names themselves.
constexpr char kScopeSeparator = '\x1f';
constexpr std::string_view kScheme = "Bearer";

// "Bearer KEY" -> KEY; empty if the value has another form.
std::string_view KeyOf(std::string_view value) {
  const bool has_scheme =
      value.size() > kScheme.size() &&
      EqualsIgnoringCase(value.substr(0, kScheme.size()), kScheme) &&
      value[kScheme.size()] == ' ';
  if (!has_scheme) {
    return {};
  }
  value.remove_prefix(kScheme.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value.substr(0, value.find_last_not_of(' ') + 1);
}

}  // namespace

caller_identity IdentifyCaller(const account_table& accounts,
                               const header_list& headers,
                               std::string_view credentials) {
  caller_identity identity;
  const auto is_credentials = [&](const header_list::field& each) {
    return EqualsIgnoringCase(each.first, credentials);
  };
  const auto count = std::count_if(headers.fields().begin(),
                                   headers.fields().end(), is_credentials);
  if (!accounts.NeedsKeys() || count == 0) {
    return identity;
  }
  identity.kind = caller_identity_kind::kUnknownKey;
  const std::string_view key = KeyOf(headers.Value(credentials));
  const account_rules* account =
      count == 1 && !key.empty() ? accounts.FindByKey(key) : nullptr;
  if (account != nullptr) {
    identity.kind = caller_identity_kind::kAccount;
    identity.account = {account->name, AccountDigest(account->name),
                        account->priority};
  }
  return identity;
}

std::string ScopeToAccount(std::string_view name, std::string_view account) {
  std::string scoped(account);
  if (!account.empty()) {
    scoped += kScopeSeparator;
  }
  return scoped.append(name);
}

}  // namespace shallotport
