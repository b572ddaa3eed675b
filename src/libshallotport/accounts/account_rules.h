#ifndef SHALLOTPORT_ACCOUNTS_ACCOUNT_RULES_H_
#define SHALLOTPORT_ACCOUNTS_ACCOUNT_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotport {

// What the configuration says of one client account. Part of
// route_configuration.
struct account_rules {
  std::string name;
  // SHA-256 of each API key, in hexadecimal: the keys themselves are not kept.
  std::vector<std::string> key_digests;
  // Replaces the priority of the request's route.
  std::optional<uint32_t> priority;
  // Over all entry hosts together; 0: no limit.
  double requests_per_second = 0;
  double burst = 0;  // Requests beyond the rate that may come at once.

  bool IsLimited() const { return requests_per_second > 0; }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ACCOUNT_RULES_H_
