#include "fleet_program.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <vector>

namespace shallotport {

namespace {

constexpr std::string_view kProgram = "shallotport-fleet";
constexpr std::array<std::string_view, 3> kRoles = {"entry", "control",
                                                    "store"};

// Both are installed in one folder; in a build tree, the fleet's program is at
// the top.
std::vector<std::string> Candidates() {
  std::error_code failure;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", failure);
  std::vector<std::string> paths;
  for (auto folder = self.parent_path(); !failure && paths.size() < 3;
       folder = folder.parent_path()) {
    paths.push_back((folder / kProgram).string());
  }
  return paths;
}

}  // namespace

bool IsFleetRole(std::string_view word) {
  return std::find(kRoles.begin(), kRoles.end(), word) != kRoles.end();
}

bool HasFleetSettingsFormat(std::string_view text) {
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == '#') {
      continue;
    }
    // In YAML the colon after the key comes first.
    return line.find('=') < line.find(':');
  }
  return false;
}

error RunFleetProgram(std::span<const std::string> words) {
  std::vector<std::string> kept(words.begin(), words.end());
  kept.insert(kept.begin(), std::string(kProgram));
  std::vector<char*> arguments;
  arguments.reserve(kept.size() + 1);
  for (std::string& word : kept) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  for (const std::string& path : Candidates()) {
    execv(path.c_str(), arguments.data());
  }
  return MakeError(
      error_kind::kNotFound,
      std::string(kProgram) + " beside shallotportd: " + std::strerror(errno));
}

}  // namespace shallotport
