#ifndef SHALLOTPORT_SETTINGS_CHECKED_YAML_H_
#define SHALLOTPORT_SETTINGS_CHECKED_YAML_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace YAML {
class Node;
}

namespace shallotport {

// One thing that is wrong in a YAML file.
struct yaml_problem {
  std::string file;
  int line = 0;  // Counted from 1; 0 when the file has no such place.
  std::string key;
  std::string problem;
  std::string expected;
};

// "FILE:LINE: KEY: problem; expected ..."
std::string Describe(const yaml_problem& problem);
std::string Describe(std::span<const yaml_problem> problems);

// A mapping of a YAML document that is read key by key. Each read checks
// presence, type and range and adds what is wrong to one shared list; the
// reads then go on with the default, so that all problems are found at once.
class checked_yaml {
 public:
  using problem_list = std::vector<yaml_problem>;

  // Parses `text`, whose top must be a mapping. Problems, also those of later
  // reads, are added to `problems`, which must outlive the reader.
  static checked_yaml Parse(std::string_view text,
                            std::string_view file,
                            problem_list& problems);

  bool Has(std::string_view key) const;
  int line() const;

  // Required unless a default is given. An empty text is a problem.
  std::string Text(std::string_view key,
                   const std::optional<std::string>& fallback = std::nullopt);
  uint64_t Integer(std::string_view key,
                   std::optional<uint64_t> fallback,
                   uint64_t lowest,
                   uint64_t highest);
  double Number(std::string_view key,
                std::optional<double> fallback,
                double lowest,
                double highest);
  bool Flag(std::string_view key, std::optional<bool> fallback);
  // A whole number of milliseconds.
  std::chrono::milliseconds Milliseconds(
      std::string_view key,
      std::optional<std::chrono::milliseconds> fallback,
      std::chrono::milliseconds lowest,
      std::chrono::milliseconds highest);
  // Index into `names`; a missing key gives `fallback`.
  size_t Choice(std::string_view key,
                std::optional<size_t> fallback,
                std::span<const std::string_view> names);
  // "A.B.C.D:port".
  std::string Address(
      std::string_view key,
      const std::optional<std::string>& fallback = std::nullopt);

  // Sub-mappings and lists; missing ones are empty unless required.
  checked_yaml Mapping(std::string_view key, bool is_required = false);
  std::vector<checked_yaml> Mappings(std::string_view key,
                                     bool is_required = false);
  std::vector<std::string> Texts(std::string_view key);

  // Adds a problem at `key` (or at the mapping when it has no such key).
  void AddProblem(std::string_view key,
                  std::string problem,
                  std::string expected);

  // Reports every key that was never read.
  void Finish();

 private:
  checked_yaml(std::shared_ptr<YAML::Node> node,
               std::string file,
               std::string path,
               problem_list& problems);

  // The value at `key`, marked as read; null when there is none.
  std::unique_ptr<YAML::Node> Find(std::string_view key);
  void ReportMissing(std::string_view key, std::string_view expected);
  std::string PathOf(std::string_view key) const;

  std::shared_ptr<YAML::Node> node_;
  std::string file_;
  std::string path_;
  problem_list* problems_;
  std::set<std::string, std::less<>> read_keys_;
};

// Checks the form "A.B.C.D:port" with a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace shallotport

#endif  // SHALLOTPORT_SETTINGS_CHECKED_YAML_H_
