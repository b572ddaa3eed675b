#include <getopt.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "command.h"
#include "control/configuration_parser.h"
#include "control_commands.h"
#include "operator_client.h"

namespace shallotport {

namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    std::cerr << "shallotctl: " << path << ": cannot be read\n";
    return std::nullopt;
  }
  text << in.rdbuf();
  return text.str();
}

std::string RandomChangeId() {
  std::random_device source;
  std::ostringstream id;
  id << std::hex << source() << source();
  return id.str();
}

// The revision in force, or nothing after the failure was reported.
std::optional<uint64_t> RevisionInForce(command_context& context,
                                        exit_code& failure) {
  const result<http_reply> reply =
      context.client.Send("GET", "/v1/configuration");
  if (!IsSuccess(reply)) {
    failure = ReportFailure(reply);
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  return body.value("revision", uint64_t{0});
}

struct apply_options {
  std::string path;
  std::string expected_revision;
  std::string change_id;
  std::string author;
  std::string note;
  bool has_to_wait = false;
  bool is_bad = false;
};

apply_options ParseApply(std::vector<std::string>& arguments) {
  const option options[] = {
      {"expected-revision", required_argument, nullptr, 'e'},
      {"change-id", required_argument, nullptr, 'c'},
      {"author", required_argument, nullptr, 'a'},
      {"note", required_argument, nullptr, 'n'},
      {"wait", no_argument, nullptr, 'w'},
      {nullptr, 0, nullptr, 0}};
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (std::string& word : arguments) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  apply_options parsed;
  optind = 0;
  int code = 0;
  while ((code = getopt_long(static_cast<int>(arguments.size()), words.data(),
                             "", options, nullptr)) != -1) {
    switch (code) {
      case 'e':
        parsed.expected_revision = optarg;
        break;
      case 'c':
        parsed.change_id = optarg;
        break;
      case 'a':
        parsed.author = optarg;
        break;
      case 'n':
        parsed.note = optarg;
        break;
      case 'w':
        parsed.has_to_wait = true;
        break;
      default:
        parsed.is_bad = true;
    }
  }
  if (optind + 1 == static_cast<int>(arguments.size())) {
    parsed.path = words[static_cast<size_t>(optind)];
  } else {
    parsed.is_bad = true;
  }
  return parsed;
}

exit_code Apply(command_context& context) {
  apply_options options = ParseApply(context.arguments);
  if (options.is_bad) {
    return exit_code::kUsage;
  }
  const std::optional<std::string> text = ReadFile(options.path);
  if (!text) {
    return exit_code::kFailed;
  }
  if (options.expected_revision.empty()) {
    exit_code failure = exit_code::kFailed;
    const std::optional<uint64_t> revision = RevisionInForce(context, failure);
    if (!revision) {
      return failure;
    }
    options.expected_revision = std::to_string(*revision);
  }
  if (options.change_id.empty()) {
    options.change_id = RandomChangeId();
  }
  const result<http_reply> reply =
      context.client.Send("POST", "/v1/configuration",
                          {{"expected_revision", options.expected_revision},
                           {"change_id", options.change_id},
                           {"author", options.author},
                           {"note", options.note}},
                          *text);
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  const uint64_t revision = body.value("revision", uint64_t{0});
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
  } else {
    std::cout << "revision " << revision << " is accepted (change "
              << options.change_id << ")\n";
  }
  return options.has_to_wait ? WaitUntilInForce(context, revision)
                             : exit_code::kOk;
}

exit_code Get(command_context& context) {
  const result<http_reply> reply =
      context.client.Send("GET", "/v1/configuration");
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  if (context.is_json) {
    std::cout << ValueOf(reply).body;
    return exit_code::kOk;
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  std::cout << "# revision " << body.value("revision", uint64_t{0}) << "\n"
            << body.value("text", "");
  return exit_code::kOk;
}

exit_code Check(command_context& context) {
  if (context.arguments.size() != 2) {
    return exit_code::kUsage;
  }
  const std::string& path = context.arguments[1];
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return exit_code::kFailed;
  }
  const result<configuration> parsed = ParseConfiguration(*text, path);
  if (!IsOk(parsed)) {
    std::cerr << ErrorOf(parsed).detail;
    return exit_code::kFailed;
  }
  std::cout << path << ": good, " << ValueOf(parsed).accounts.size()
            << " accounts, " << ValueOf(parsed).services.size()
            << " services\n";
  return exit_code::kOk;
}

constexpr command kCommands[] = {
    {"apply", "put a configuration into force",
     "usage: shallotctl apply [--expected-revision N] [--change-id ID]\n"
     "                        [--author NAME] [--note TEXT] [--wait] FILE\n\n"
     "FILE holds the YAML; - reads standard input. Without\n"
     "--expected-revision the revision now in force is expected. Repeat a "
     "call\n"
     "whose answer was lost with the same --change-id: it is applied once.\n"
     "--wait ends when all live hosts have it in force, or after 10 s names "
     "those\nbehind, with exit code 1.\n"
     "Exit code 4: another revision is in force, nothing was changed.\n",
     &Apply},
    {"get", "print the configuration in force",
     "usage: shallotctl get\n\nPrints the YAML as it was applied, with its "
     "revision.\n",
     &Get},
    {"config check", "check a configuration file",
     "usage: shallotctl config check FILE\n\nPrints every problem as "
     "FILE:LINE: KEY: problem; expected ...; no host is asked.\n",
     &Check},
};

}  // namespace

std::span<const command> ConfigurationCommands() {
  return kCommands;
}

}  // namespace shallotport
