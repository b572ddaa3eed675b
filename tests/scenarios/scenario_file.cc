#include "scenarios/scenario_file.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>
#include <sstream>

#include "scenarios/scenario_world.h"
#include "scenarios/step_arguments.h"

namespace shallotport {

namespace {

constexpr std::array<std::string_view, 5> kTopLevelKeys = {
    "name", "promise", "world", "given", "steps"};

struct world_row {
  std::string_view name;
  std::unique_ptr<scenario_world> (*make)();
};

constexpr std::array<world_row, 8> kWorlds = {
    {{"domain", &MakeDomainWorld},
     {"request", &MakeRequestWorld},
     {"configuration", &MakeConfigurationWorld},
     {"jobs", &MakeJobWorld},
     {"group", &MakeGroupWorld},
     {"claims", &MakeClaimWorld},
     {"runner", &MakeRunnerWorld},
     {"orders", &MakeOrderWorld}}};

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

status Problem(std::string_view file, int line, const std::string& text) {
  return MakeError(
      error_kind::kInvalidRequest,
      std::string(file) + ":" + std::to_string(line) + ": " + text);
}

std::string PlayStep(scenario_world& world, step_arguments& arguments) {
  if (arguments.Has("advance")) {
    world.Advance(arguments.Time("advance"));
  } else if (arguments.Has("do")) {
    const std::string verb = arguments.Text("do");
    if (!world.Do(verb, arguments)) {
      return "unknown action \"" + verb + "\"";
    }
  } else if (arguments.Has("expect")) {
    const std::string verb = arguments.Text("expect");
    if (!world.Expect(verb, arguments)) {
      return "unknown expectation \"" + verb + "\"";
    }
  } else {
    return "expected a step with do, advance or expect";
  }
  arguments.CheckAllUsed();
  return arguments.failure();
}

status CheckTopLevel(const YAML::Node& root, std::string_view file) {
  if (!root.IsMap()) {
    return Problem(file, 1, "expected name, promise, world, given and steps");
  }
  for (const auto& entry : root) {
    const auto key = entry.first.as<std::string>("");
    const bool is_known = std::find(kTopLevelKeys.begin(), kTopLevelKeys.end(),
                                    key) != kTopLevelKeys.end();
    if (!is_known) {
      return Problem(file, LineOf(entry.first), "unknown key \"" + key + "\"");
    }
  }
  for (const char* key : {"name", "promise", "world"}) {
    if (!root[key].IsDefined() || !root[key].IsScalar()) {
      return Problem(file, 1, std::string("missing ") + key);
    }
  }
  if (!root["steps"].IsDefined() || !root["steps"].IsSequence() ||
      root["steps"].size() == 0) {
    return Problem(file, 1, "steps: expected a list of steps");
  }
  return success{};
}

status PlaySteps(const YAML::Node& root, std::string_view file) {
  if (status checked = CheckTopLevel(root, file); !IsOk(checked)) {
    return checked;
  }
  const YAML::Node world_name = root["world"];
  const std::unique_ptr<scenario_world> world =
      MakeScenarioWorld(world_name.as<std::string>());
  if (world == nullptr) {
    return Problem(file, LineOf(world_name), "unknown world");
  }
  const YAML::Node given_node =
      root["given"].IsDefined() ? root["given"] : YAML::Node();
  step_arguments given(given_node, root["given"].IsDefined()
                                       ? LineOf(given_node)
                                       : LineOf(world_name));
  world->Begin(given);
  given.CheckAllUsed();
  if (given.HasFailed()) {
    return Problem(file, given.line(), given.failure());
  }
  for (const YAML::Node& step : root["steps"]) {
    step_arguments arguments(step, LineOf(step));
    const std::string problem = PlayStep(*world, arguments);
    if (!problem.empty()) {
      return Problem(file, LineOf(step), problem);
    }
  }
  return success{};
}

}  // namespace

std::unique_ptr<scenario_world> MakeScenarioWorld(std::string_view name) {
  for (const world_row& row : kWorlds) {
    if (row.name == name) {
      return row.make();
    }
  }
  return nullptr;
}

status PlayScenario(std::string_view text, std::string_view file) {
  try {
    return PlaySteps(YAML::Load(std::string(text)), file);
  } catch (const YAML::Exception& failure) {
    return Problem(file, failure.mark.line + 1, failure.msg);
  }
}

status PlayScenarioFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return MakeError(error_kind::kNotFound, "cannot read " + path);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return PlayScenario(text.str(), path);
}

}  // namespace shallotport
