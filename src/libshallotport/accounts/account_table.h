#ifndef SHALLOTPORT_ACCOUNTS_ACCOUNT_TABLE_H_
#define SHALLOTPORT_ACCOUNTS_ACCOUNT_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "accounts/account_rules.h"
#include "base/result.h"

namespace shallotport {

// Returns kInvalidRequest, naming the accounts but no key, if an account has no
// name or the name of another one, or if two accounts share a key.
status CheckAccounts(std::span<const account_rules> accounts);

// Identifies an account in messages between hosts.
uint64_t AccountDigest(std::string_view name);

// The client accounts of the configuration in force. Owned by route_table; a
// new configuration brings a new table.
class account_table {
 public:
  // Of a configuration without accounts: callers need no key.
  account_table() = default;
  explicit account_table(std::vector<account_rules> accounts);

  // A configuration that has accounts lists the keys that callers may use, even
  // if it lists none.
  bool NeedsKeys() const { return needs_keys_; }
  // Null if no account has this key. The time that it takes does not depend on
  // how much of a key is right: keys are compared by their SHA-256.
  const account_rules* FindByKey(std::string_view key) const;
  // Null if no account has this AccountDigest().
  const account_rules* FindByDigest(uint64_t digest) const;
  std::span<const account_rules> accounts() const { return accounts_; }

 private:
  bool needs_keys_ = false;
  std::vector<account_rules> accounts_;
  std::unordered_map<std::string, size_t> by_key_digest_;
  std::unordered_map<uint64_t, size_t> by_digest_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ACCOUNT_TABLE_H_
