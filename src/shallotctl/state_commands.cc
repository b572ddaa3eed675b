#include <iostream>
#include <nlohmann/json.hpp>

#include "command.h"
#include "operator_client.h"

namespace shallotport {

namespace {

exit_code PrintBody(command_context& context, std::string_view path) {
  const result<http_reply> reply = context.client.Send("GET", path);
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  std::cout << ValueOf(reply).body;
  return exit_code::kOk;
}

exit_code Dump(command_context& context) {
  return PrintBody(context, "/debug/state");
}

exit_code Ready(command_context& context) {
  return PrintBody(context, "/readyz");
}

exit_code Metrics(command_context& context) {
  return PrintBody(context, "/metrics");
}

exit_code Endpoints(command_context& context) {
  const result<http_reply> reply = context.client.Send("GET", "/debug/state");
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  const auto state = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  if (!state.is_object() || !state.contains("membership")) {
    std::cerr << "shallotctl: the host shows no membership\n";
    return exit_code::kFailed;
  }
  std::cout << state["membership"].dump(2) << "\n";
  return exit_code::kOk;
}

constexpr command kCommands[] = {
    {"dump", "print the state of every duty of the host",
     "usage: shallotctl dump\n\nPrints one JSON object with a member for each "
     "duty of the host.\n",
     &Dump},
    {"ready", "tell whether the host is ready",
     "usage: shallotctl ready\n\nExit code 0 when the host is ready; 1 and "
     "the reason when it is not.\n",
     &Ready},
    {"metrics", "print the host's metrics",
     "usage: shallotctl metrics\n\nPrints the metrics as Prometheus text.\n",
     &Metrics},
    {"endpoints", "print the hosts and endpoints that the host knows",
     "usage: shallotctl endpoints\n\nPrints the membership of the host's "
     "failure domain and its endpoints as JSON.\n",
     &Endpoints},
};

}  // namespace

std::span<const command> StateCommands() {
  return kCommands;
}

}  // namespace shallotport
