#include "control_commands.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "operator_client.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitLimit{10'000};
constexpr milliseconds kWaitStep{100};

nlohmann::json BodyOf(const result<http_reply>& reply) {
  return nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
}

void PrintHosts(std::string_view what, const nlohmann::json& hosts) {
  if (hosts.empty()) {
    return;
  }
  std::cout << what;
  for (const auto& host : hosts) {
    std::cout << " " << host.get<std::string>();
  }
  std::cout << "\n";
}

exit_code History(command_context& context) {
  const std::string limit =
      context.arguments.size() > 1 ? context.arguments[1] : "20";
  const result<http_reply> reply = context.client.Send(
      "GET", "/v1/configuration/history", {{"limit", limit}});
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
    return exit_code::kOk;
  }
  const nlohmann::json body = BodyOf(reply);
  for (const auto& change : body["changes"]) {
    std::cout << change["revision"] << "  after " << change["previous_revision"]
              << "  " << change["change_id"].get<std::string>() << "  "
              << change["author"].get<std::string>() << "  "
              << change["note"].get<std::string>() << "\n";
  }
  return exit_code::kOk;
}

std::optional<std::vector<std::string>> LinesOf(command_context& context,
                                                const std::string& revision,
                                                exit_code& failure) {
  const result<http_reply> reply = context.client.Send(
      "GET", "/v1/configuration/text", {{"revision", revision}});
  if (!IsSuccess(reply)) {
    failure = ReportFailure(reply);
    return std::nullopt;
  }
  std::istringstream text(BodyOf(reply)["text"].get<std::string>());
  std::vector<std::string> lines;
  for (std::string line; std::getline(text, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Prints the lines between what both texts have in common at either end.
void PrintDifference(const std::vector<std::string>& older,
                     const std::vector<std::string>& newer) {
  size_t first = 0;
  while (first < older.size() && first < newer.size() &&
         older[first] == newer[first]) {
    ++first;
  }
  size_t old_end = older.size();
  size_t new_end = newer.size();
  while (old_end > first && new_end > first &&
         older[old_end - 1] == newer[new_end - 1]) {
    --old_end;
    --new_end;
  }
  std::cout << "@@ line " << first + 1 << " @@\n";
  for (size_t i = first; i < old_end; ++i) {
    std::cout << "-" << older[i] << "\n";
  }
  for (size_t i = first; i < new_end; ++i) {
    std::cout << "+" << newer[i] << "\n";
  }
}

exit_code Diff(command_context& context) {
  if (context.arguments.size() != 3) {
    return exit_code::kUsage;
  }
  exit_code failure = exit_code::kFailed;
  const auto older = LinesOf(context, context.arguments[1], failure);
  const auto newer =
      older ? LinesOf(context, context.arguments[2], failure) : std::nullopt;
  if (!newer) {
    return failure;
  }
  if (*older != *newer) {
    PrintDifference(*older, *newer);
  }
  return exit_code::kOk;
}

constexpr command kCommands[] = {
    {"history", "print the last accepted changes",
     "usage: shallotctl history [COUNT]\n\nPrints the newest COUNT changes "
     "(20), newest first: revision, the one\nbefore it, change id, author, "
     "note.\n",
     &History},
    {"diff", "compare the texts of two revisions",
     "usage: shallotctl diff OLDER NEWER\n\nPrints the lines from the first to "
     "the last difference.\n",
     &Diff},
};

}  // namespace

std::span<const command> ControlCommands() {
  return kCommands;
}

exit_code WaitUntilInForce(command_context& context, uint64_t revision) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (true) {
    const result<http_reply> reply =
        context.client.Send("GET", "/v1/configuration/progress",
                            {{"revision", std::to_string(revision)}});
    const bool is_over = std::chrono::steady_clock::now() >= end;
    if (!IsSuccess(reply) && is_over) {
      return ReportFailure(reply);
    }
    if (IsSuccess(reply)) {
      const nlohmann::json body = BodyOf(reply);
      const bool is_done = body["behind"].empty();
      if (is_done || is_over) {
        std::cout << "revision " << revision
                  << (is_done ? " is in force on all live hosts\n"
                              : " is not in force everywhere\n");
        PrintHosts("behind:", body["behind"]);
        PrintHosts("not heard of:", body["silent"]);
        return is_done ? exit_code::kOk : exit_code::kFailed;
      }
    }
    std::this_thread::sleep_for(kWaitStep);
  }
}

}  // namespace shallotport
