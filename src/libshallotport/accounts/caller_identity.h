#ifndef SHALLOTPORT_ACCOUNTS_CALLER_IDENTITY_H_
#define SHALLOTPORT_ACCOUNTS_CALLER_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotport {

class account_table;
class header_list;

// The account on whose behalf a request is served, as it was when the request
// arrived. Copied into the request, which may outlive the configuration.
struct caller_account {
  std::string name;
  uint64_t digest = 0;  // AccountDigest() of the name.
  std::optional<uint32_t> priority;
};

enum class caller_identity_kind : uint8_t {
  kAnonymous,  // It has no key, or the configuration has no accounts.
  kAccount,
  kUnknownKey,  // No account of the configuration in force has its key.
};

struct caller_identity {
  caller_identity_kind kind = caller_identity_kind::kAnonymous;
  caller_account account;  // Of kAccount.
};

// Reads the key from the header field `credentials` ("Bearer KEY"). A field
// that is repeated or has another form counts as an unknown key.
caller_identity IdentifyCaller(const account_table& accounts,
                               const header_list& headers,
                               std::string_view credentials);

// Names a job, or the limit of waiting tokens of a route, within an account.
// Equal names of two accounts have different scoped names. Unchanged if the
// account is empty.
std::string ScopeToAccount(std::string_view name, std::string_view account);

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_CALLER_IDENTITY_H_
