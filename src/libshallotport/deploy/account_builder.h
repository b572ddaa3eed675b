#ifndef SHALLOTPORT_DEPLOY_ACCOUNT_BUILDER_H_
#define SHALLOTPORT_DEPLOY_ACCOUNT_BUILDER_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "control/configuration.h"

namespace shallotport {

// Describes one account for configuration_builder. Nothing is checked before
// configuration_builder::Build().
class account_builder {
 public:
  explicit account_builder(std::string_view id);

  // The bearer token in clear; only its SHA-256 goes into the configuration.
  account_builder& WithToken(std::string_view token);
  account_builder& WithTokenSha256(std::string_view lower_case_hex);
  // Limits over all hosts together.
  account_builder& WithLimits(uint32_t requests_per_second,
                              uint32_t concurrent_requests);
  // Share among the accounts that have batch jobs.
  account_builder& WithBatchWeight(uint32_t weight);
  // The only services that the account may call; without it, all that admit it.
  account_builder& OnlyCalls(std::initializer_list<std::string_view> services);

  const account_configuration& account() const { return account_; }

 private:
  account_configuration account_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_DEPLOY_ACCOUNT_BUILDER_H_
