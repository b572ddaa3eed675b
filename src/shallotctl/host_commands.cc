#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command.h"
#include "operator_client.h"

namespace shallotport {

namespace {

constexpr std::chrono::seconds kChangeTimeout{90};

exit_code Change(command_context& context,
                 std::string_view path,
                 const std::vector<http_field>& query) {
  context.client.SetTimeout(kChangeTimeout);
  const result<http_reply> reply = context.client.Send("POST", path, query);
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
  } else {
    std::cout << "done\n";
  }
  return exit_code::kOk;
}

exit_code List(command_context& context) {
  const result<http_reply> reply = context.client.Send("GET", "/v1/hosts");
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
    return exit_code::kOk;
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  const std::string leader = body.value("leader", "");
  for (const auto& member : body.value("members", nlohmann::json::array())) {
    const std::string host = member.get<std::string>();
    std::cout << host << (host == leader ? " leads" : "") << "\n";
  }
  return exit_code::kOk;
}

exit_code Add(command_context& context) {
  if (context.arguments.size() != 2) {
    return exit_code::kUsage;
  }
  return Change(context, "/v1/hosts/add", {{"host", context.arguments[1]}});
}

exit_code Remove(command_context& context) {
  if (context.arguments.size() != 2) {
    return exit_code::kUsage;
  }
  return Change(context, "/v1/hosts/remove", {{"host", context.arguments[1]}});
}

exit_code Replace(command_context& context) {
  if (context.arguments.size() != 3) {
    return exit_code::kUsage;
  }
  return Change(context, "/v1/hosts/replace",
                {{"host", context.arguments[1]}, {"by", context.arguments[2]}});
}

constexpr command kCommands[] = {
    {"hosts list", "print the hosts that hold the system's state",
     "usage: shallotctl hosts list\n\nPrints the members of the replicated log "
     "and which of them leads.\n",
     &List},
    {"hosts add", "let a host hold the system's state",
     "usage: shallotctl hosts add HOST\n\nHOST runs with an empty data folder. "
     "It becomes a learner, catches up, and\nthen votes. Safe to repeat.\n",
     &Add},
    {"hosts remove", "take a host out of those that hold the state",
     "usage: shallotctl hosts remove HOST\n\nExit code 4 with the reason when "
     "the rest would have no quorum that answers.\n",
     &Remove},
    {"hosts replace", "put a host in the place of another",
     "usage: shallotctl hosts replace HOST NEW_HOST\n\nAdds NEW_HOST, then "
     "removes HOST. Name the same host twice when it came back\nwith an empty "
     "data folder. Safe to repeat.\n",
     &Replace},
};

}  // namespace

std::span<const command> HostCommands() {
  return kCommands;
}

}  // namespace shallotport
