#include "deploy/configuration_builder.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "control/configuration_parser.h"

namespace shallotport {
namespace {

constexpr std::string_view kSource = "built";

// Puts the id behind the list index of a key: "accounts[1]" becomes
// "accounts[1] (acme)".
template <typename Item>
void NameItems(std::string& line,
               const std::string& list,
               const std::vector<Item>& items) {
  for (size_t i = 0; i < items.size(); ++i) {
    const std::string index = list + "[" + std::to_string(i) + "]";
    if (line.rfind(index, 0) == 0) {
      line.insert(index.size(), " (" + items[i].id.text() + ")");
      return;
    }
  }
}

// The lines of the parser, without the place in a file that nobody wrote.
std::string Explain(const std::string& detail, const configuration& config) {
  std::istringstream lines(detail);
  std::string explained;
  std::string line;
  while (std::getline(lines, line)) {
    const size_t key = line.find(": ");
    line.erase(0, key == std::string::npos ? 0 : key + 2);
    NameItems(line, "accounts", config.accounts);
    NameItems(line, "services", config.services);
    explained += line + "\n";
  }
  return explained;
}

}  // namespace

configuration_builder& configuration_builder::Add(
    const account_builder& account) {
  config_.accounts.push_back(account.account());
  return *this;
}

configuration_builder& configuration_builder::Add(
    const service_builder& service) {
  config_.services.push_back(service.service());
  return *this;
}

result<configuration> configuration_builder::Build() const {
  auto parsed = ParseConfiguration(PrintConfiguration(config_), kSource);
  if (!IsOk(parsed)) {
    return MakeError(error_kind::kInvalidRequest,
                     Explain(ErrorOf(parsed).detail, config_));
  }
  return parsed;
}

int PrintOrExplain(const result<configuration>& built) {
  if (!IsOk(built)) {
    std::cerr << ErrorOf(built).detail;
    return EXIT_FAILURE;
  }
  std::cout << PrintConfiguration(ValueOf(built));
  return EXIT_SUCCESS;
}

}  // namespace shallotport
