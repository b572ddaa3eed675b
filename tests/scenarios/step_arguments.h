#ifndef SHALLOTPORT_SCENARIOS_STEP_ARGUMENTS_H_
#define SHALLOTPORT_SCENARIOS_STEP_ARGUMENTS_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// The arguments of one step of a scenario. The first problem is kept: a
// missing or malformed argument, one that no verb asked for, or an expectation
// that does not hold.
class step_arguments {
 public:
  step_arguments(const YAML::Node& node, int line);

  bool Has(std::string_view key) const;
  std::string Text(std::string_view key);
  std::string Text(std::string_view key, std::string_view fallback);
  int64_t Number(std::string_view key);
  int64_t Number(std::string_view key, int64_t fallback);
  double Share(std::string_view key, double fallback);
  bool Flag(std::string_view key, bool fallback);
  duration Time(std::string_view key);
  duration Time(std::string_view key, duration fallback);
  std::vector<std::string> Texts(std::string_view key);

  // Marks an argument as known without reading it.
  void Use(std::string_view key);

  void Fail(std::string_view text);
  // Fails unless `actual` equals `expected`.
  void Check(std::string_view what, int64_t actual, int64_t expected);
  void CheckText(std::string_view what,
                 std::string_view actual,
                 std::string_view expected);
  void CheckAllUsed();

  bool HasFailed() const { return !failure_.empty(); }
  const std::string& failure() const { return failure_; }
  int line() const { return line_; }

 private:
  YAML::Node Find(std::string_view key);
  template <typename T>
  T Read(std::string_view key, const char* expected, T fallback);

  YAML::Node node_;
  int line_;
  std::set<std::string, std::less<>> used_;
  std::string failure_;
};

// "250ms", "3s", "2min"; nothing for anything else.
std::optional<duration> ParseTime(std::string_view text);

}  // namespace shallotport

#endif  // SHALLOTPORT_SCENARIOS_STEP_ARGUMENTS_H_
