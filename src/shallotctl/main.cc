#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "command.h"
#include "control_commands.h"
#include "operator_client.h"
#include "order_commands.h"

namespace shallotport {
namespace {

using command_list = std::span<const command> (*)();

constexpr command_list kCommandLists[] = {
    &StateCommands,   &ConfigurationCommands, &HostCommands,
    &ControlCommands, &OrderCommands,         &JobCommands};

struct global_options {
  std::string host;
  std::string token;
  bool is_json = false;
  std::vector<std::string> words;  // The command and what follows.
};

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

void PrintUsage(std::ostream& out) {
  out << "usage: shallotctl [--host IP:PORT] [--token TOKEN] [--json] COMMAND "
         "...\n\n"
         "--host is a host's operator address; SHALLOTPORT_HOST and\n"
         "SHALLOTPORT_TOKEN stand in for --host and --token.\n\n";
  for (const command_list list : kCommandLists) {
    for (const command& entry : list()) {
      std::string name(entry.name);
      name.resize(std::max<size_t>(name.size() + 1, 18), ' ');
      out << "  " << name << entry.summary << "\n";
    }
  }
  out << "\nshallotctl COMMAND --help tells more.\n";
}

// Global options may stand before the command only, so that commands have
// their own. Nothing when the command line is wrong.
std::optional<global_options> ParseGlobal(int argc, char** argv) {
  global_options options;
  options.host = FromEnvironment("SHALLOTPORT_HOST");
  options.token = FromEnvironment("SHALLOTPORT_TOKEN");
  int i = 1;
  for (; i < argc && argv[i][0] == '-'; ++i) {
    const std::string word = argv[i];
    const bool has_value = i + 1 < argc;
    if (word == "--json") {
      options.is_json = true;
    } else if (word == "--host" && has_value) {
      options.host = argv[++i];
    } else if (word == "--token" && has_value) {
      options.token = argv[++i];
    } else if (word == "--help") {
      options.words = {word};
      return options;
    } else {
      return std::nullopt;
    }
  }
  options.words.assign(argv + i, argv + argc);
  return options;
}

// Finds the command that the words begin with; `used` is its word count.
const command* FindCommand(const std::vector<std::string>& words,
                           size_t& used) {
  for (const command_list list : kCommandLists) {
    for (const command& entry : list()) {
      if (words[0] == entry.name) {
        used = 1;
        return &entry;
      }
      if (words.size() > 1 && words[0] + " " + words[1] == entry.name) {
        used = 2;
        return &entry;
      }
    }
  }
  return nullptr;
}

exit_code Run(int argc, char** argv) {
  std::optional<global_options> options = ParseGlobal(argc, argv);
  if (!options || options->words.empty()) {
    PrintUsage(std::cerr);
    return exit_code::kUsage;
  }
  if (options->words[0] == "--help" || options->words[0] == "help") {
    PrintUsage(std::cout);
    return exit_code::kOk;
  }
  size_t used = 0;
  const command* found = FindCommand(options->words, used);
  if (found == nullptr) {
    std::cerr << "shallotctl: unknown command " << options->words[0] << "\n";
    PrintUsage(std::cerr);
    return exit_code::kUsage;
  }
  const auto asks_help = [](const std::string& word) {
    return word == "--help";
  };
  if (std::any_of(options->words.begin(), options->words.end(), asks_help)) {
    std::cout << found->usage;
    return exit_code::kOk;
  }
  operator_client client(options->host, options->token);
  command_context context{client, options->is_json, {std::string(found->name)}};
  context.arguments.insert(
      context.arguments.end(),
      options->words.begin() + static_cast<std::ptrdiff_t>(used),
      options->words.end());
  const exit_code code = found->run(context);
  if (code == exit_code::kUsage) {
    std::cerr << found->usage;
  }
  return code;
}

}  // namespace
}  // namespace shallotport

int main(int argc, char** argv) {
  return static_cast<int>(shallotport::Run(argc, argv));
}
