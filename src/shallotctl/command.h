#ifndef SHALLOTPORT_SHALLOTCTL_COMMAND_H_
#define SHALLOTPORT_SHALLOTCTL_COMMAND_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotport {

class operator_client;

// Exit codes of shallotctl, documented in docs/operators/shallotctl.md.
enum class exit_code : int {
  kOk = 0,
  kFailed = 1,       // The host refused, or something is not in force in time.
  kUsage = 2,        // The command line is wrong.
  kUnreachable = 3,  // No host answered.
  kConflict = 4,     // Another revision is in force; nothing was changed.
};

// What every command gets.
struct command_context {
  operator_client& client;
  bool is_json = false;  // Print JSON instead of text.
  // The words after the command's name, options included; the first one is
  // the command's name, as getopt_long expects.
  std::vector<std::string> arguments;
};

// One command of shallotctl. Each lives in a file of its own and stands in the
// table of main.cc.
struct command {
  std::string_view name;     // One or two words, e.g. "config check".
  std::string_view summary;  // One line for --help.
  std::string_view usage;    // All that `shallotctl NAME --help` prints.
  exit_code (*run)(command_context& context);
};

// The commands of each file.
std::span<const command> StateCommands();
std::span<const command> ConfigurationCommands();
std::span<const command> HostCommands();
std::span<const command> JobCommands();

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTCTL_COMMAND_H_
