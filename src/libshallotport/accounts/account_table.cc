#include "accounts/account_table.h"

#include <set>
#include <utility>

#include "base/digest.h"

namespace shallotport {

status CheckAccounts(std::span<const account_rules> accounts) {
  std::set<std::string_view> names;
  std::unordered_map<std::string_view, std::string_view> owners;
  for (const account_rules& each : accounts) {
    if (each.name.empty()) {
      return MakeError(error_kind::kInvalidRequest, "an account has no name");
    }
    if (!names.insert(each.name).second) {
      return MakeError(error_kind::kInvalidRequest,
                       "account " + each.name + ": another one has its name");
    }
    for (const std::string& digest : each.key_digests) {
      const auto [owner, is_new] = owners.emplace(digest, each.name);
      if (!is_new && owner->second != each.name) {
        return MakeError(error_kind::kInvalidRequest,
                         "account " + each.name + ": shares a key with " +
                             std::string(owner->second));
      }
    }
  }
  return success{};
}

uint64_t AccountDigest(std::string_view name) {
  return HashOf(name);
}

account_table::account_table(std::vector<account_rules> accounts)
    : needs_keys_(true), accounts_(std::move(accounts)) {
  for (size_t i = 0; i < accounts_.size(); ++i) {
    by_digest_.emplace(AccountDigest(accounts_[i].name), i);
    for (const std::string& digest : accounts_[i].key_digests) {
      by_key_digest_.emplace(digest, i);
    }
  }
}

const account_rules* account_table::FindByKey(std::string_view key) const {
  const auto found = by_key_digest_.find(Sha256Hex(key));
  return found == by_key_digest_.end() ? nullptr : &accounts_[found->second];
}

const account_rules* account_table::FindByDigest(uint64_t digest) const {
  const auto found = by_digest_.find(digest);
  return found == by_digest_.end() ? nullptr : &accounts_[found->second];
}

}  // namespace shallotport
