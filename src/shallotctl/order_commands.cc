#include "order_commands.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

#include "operator_client.h"

namespace shallotport {

namespace {

void PrintOrder(const nlohmann::json& order) {
  std::cout << order.value("status", "") << "  " << order.value("id", "")
            << "  " << order.value("endpoint", "") << "  "
            << order.value("kind", "");
  for (const char* key : {"model", "adapter", "version", "role", "detail"}) {
    const std::string value = order.value(key, "");
    if (!value.empty()) {
      std::cout << "  " << key << "=" << value;
    }
  }
  std::cout << "\n";
}

exit_code Orders(command_context& context) {
  const result<http_reply> reply = context.client.Send("GET", "/v1/orders");
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
    return exit_code::kOk;
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  std::cout << "epoch " << body["epoch"] << ", leader "
            << body["leader"].get<std::string>() << "\n";
  for (const auto& order : body["queued"]) {
    PrintOrder(order);
  }
  for (const auto& order : body["settled"]) {
    PrintOrder(order);
  }
  return exit_code::kOk;
}

// The words after the kind are KEY=VALUE.
exit_code Order(command_context& context) {
  constexpr std::array<std::string_view, 6> kKeys{
      "id", "endpoint", "model", "adapter", "version", "role"};
  if (context.arguments.size() < 2) {
    return exit_code::kUsage;
  }
  nlohmann::json order = {{"kind", context.arguments[1]}};
  for (size_t i = 2; i < context.arguments.size(); ++i) {
    const std::string& word = context.arguments[i];
    const size_t equals = word.find('=');
    const std::string key = word.substr(0, equals);
    if (equals == std::string::npos ||
        std::find(kKeys.begin(), kKeys.end(), key) == kKeys.end()) {
      return exit_code::kUsage;
    }
    order[key] = word.substr(equals + 1);
  }
  const result<http_reply> reply =
      context.client.Send("POST", "/v1/orders", {}, order.dump());
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  std::cout << (context.is_json ? ValueOf(reply).body : "accepted\n");
  return exit_code::kOk;
}

constexpr command kCommands[] = {
    {"orders", "print the orders to endpoints",
     "usage: shallotctl orders\n\nPrints queued orders, then settled ones, "
     "oldest first.\n",
     &Orders},
    {"order", "give an order to an endpoint",
     "usage: shallotctl order KIND id=ID endpoint=NAME [model=NAME]\n"
     "                        [adapter=NAME] [version=NAME] [role=NAME]\n\n"
     "KIND is load_model, load_adapter, load_version or set_role. Ask a host "
     "of\nthe endpoint's failure domain. Repeat a call whose answer was lost "
     "with\nthe same id: it is one order.\n",
     &Order},
};

}  // namespace

std::span<const command> OrderCommands() {
  return kCommands;
}

}  // namespace shallotport
