#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include "base/log.h"
#include "daemon.h"
#include "fleet_program.h"
#include "settings/host_settings.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
    "usage: shallotportd --settings FILE\n"
    "       shallotportd --check FILE\n"
    "       shallotportd entry|control|store [OPTION]...\n"
    "\n"
    "  --settings FILE  run a host with these settings until SIGTERM\n"
    "  --check FILE     check the settings and exit: 0 good, another bad;\n"
    "                   also settings of a fleet, lines KEY=VALUE\n"
    "  entry, control, store  run this role of a fleet; its options:\n"
    "                   shallotportd entry --help\n"
    "  --help           this text\n"
    "  --version        the version\n";

struct command_line {
  std::string settings_path;
  bool is_check_only = false;
  bool is_bad = false;
  bool is_help = false;
  bool is_version = false;
};

command_line ParseCommandLine(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", required_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
  command_line parsed;
  int code = 0;
  while ((code = getopt_long(argc, argv, "s:c:hv", options, nullptr)) != -1) {
    switch (code) {
      case 'c':
        parsed.is_check_only = true;
        [[fallthrough]];
      case 's':
        parsed.settings_path = optarg;
        break;
      case 'h':
        parsed.is_help = true;
        break;
      case 'v':
        parsed.is_version = true;
        break;
      default:
        parsed.is_bad = true;
    }
  }
  parsed.is_bad |= optind < argc || (parsed.settings_path.empty() &&
                                     !parsed.is_help && !parsed.is_version);
  return parsed;
}

int HandOver(std::span<const std::string> words) {
  const shallotport::error failure = shallotport::RunFleetProgram(words);
  std::cerr << "shallotportd: " << failure.detail << "\n";
  return kExitFailed;
}

bool IsFleetSettingsFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return shallotport::HasFleetSettingsFormat(text.str());
}

int RunUntilSignal(const shallotport::host_settings& settings) {
  // Blocked before any thread starts, so that only sigwait() sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  shallotport::StartLog(settings.host.text());
  auto host = shallotport::daemon::Create(settings);
  if (!shallotport::IsOk(host)) {
    std::cerr << "shallotportd: " << shallotport::ErrorOf(host).detail << "\n";
    return kExitFailed;
  }
  const shallotport::status started = shallotport::ValueOf(host)->Start();
  if (!shallotport::IsOk(started)) {
    std::cerr << "shallotportd: " << shallotport::ErrorOf(started).detail
              << "\n";
    return kExitFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  shallotport::ValueOf(host)->Stop();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && shallotport::IsFleetRole(argv[1])) {
    // The role goes last there.
    std::vector<std::string> words(argv + 2, argv + argc);
    words.emplace_back(argv[1]);
    return HandOver(words);
  }
  const command_line parsed = ParseCommandLine(argc, argv);
  if (parsed.is_bad) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  if (parsed.is_help) {
    std::cout << kUsage;
    return kExitOk;
  }
  if (parsed.is_version) {
    std::cout << "shallotportd 0.1.0\n";
    return kExitOk;
  }
  if (parsed.is_check_only && IsFleetSettingsFile(parsed.settings_path)) {
    return HandOver(std::vector<std::string>{"--settings", parsed.settings_path,
                                             "--check", "entry"});
  }
  const auto settings = shallotport::LoadHostSettings(parsed.settings_path);
  if (!shallotport::IsOk(settings)) {
    std::cerr << shallotport::ErrorOf(settings).detail << "\n";
    return kExitFailed;
  }
  if (parsed.is_check_only) {
    std::cout << parsed.settings_path << ": good\n";
    return kExitOk;
  }
  return RunUntilSignal(shallotport::ValueOf(settings));
}
