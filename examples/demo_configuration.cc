// Prints the configuration of util/demo.sh.

#include <iostream>

#include "base/digest.h"
#include "control/configuration_parser.h"

int main() {
  using namespace shallotport;
  configuration config;
  account_configuration lysberg;
  lysberg.id = account_id("lysberg");
  lysberg.token_sha256 = Sha256Hex("lysberg-token");
  config.accounts.push_back(lysberg);
  service_configuration assistant;
  assistant.id = service_id("assistant");
  config.services.push_back(assistant);
  service_configuration unlock;
  unlock.id = service_id("unlock");
  unlock.kind = service_kind::kPlain;
  unlock.is_idempotent = false;
  config.services.push_back(unlock);
  SortById(config);
  std::cout << PrintConfiguration(config);
  return 0;
}
