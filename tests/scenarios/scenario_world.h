#ifndef SHALLOTPORT_SCENARIOS_SCENARIO_WORLD_H_
#define SHALLOTPORT_SCENARIOS_SCENARIO_WORLD_H_

#include <array>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "scenarios/step_arguments.h"

namespace shallotport {

// What a scenario plays in: some pure cores, with fakes where they meet the
// outside, in virtual time.
class scenario_world {
 public:
  virtual ~scenario_world() = default;
  // Builds the world from the scenario's `given`.
  virtual void Begin(step_arguments& given) = 0;
  // False for a verb that the world does not know.
  virtual bool Do(std::string_view verb, step_arguments& arguments) = 0;
  virtual bool Expect(std::string_view verb, step_arguments& arguments) = 0;
  virtual void Advance(duration time) = 0;
};

// One row of a world's table of verbs.
template <typename World>
struct scenario_verb {
  std::string_view name;
  void (World::*run)(step_arguments& arguments);
};

template <typename World, size_t Count>
bool RunVerb(World& world,
             const std::array<scenario_verb<World>, Count>& verbs,
             std::string_view name,
             step_arguments& arguments) {
  for (const scenario_verb<World>& verb : verbs) {
    if (verb.name == name) {
      (world.*verb.run)(arguments);
      return true;
    }
  }
  return false;
}

std::unique_ptr<scenario_world> MakeDomainWorld();
std::unique_ptr<scenario_world> MakeRequestWorld();
std::unique_ptr<scenario_world> MakeConfigurationWorld();
std::unique_ptr<scenario_world> MakeJobWorld();
std::unique_ptr<scenario_world> MakeGroupWorld();
std::unique_ptr<scenario_world> MakeClaimWorld();
std::unique_ptr<scenario_world> MakeRunnerWorld();
std::unique_ptr<scenario_world> MakeOrderWorld();

// Null for an unknown name.
std::unique_ptr<scenario_world> MakeScenarioWorld(std::string_view name);

}  // namespace shallotport

#endif  // SHALLOTPORT_SCENARIOS_SCENARIO_WORLD_H_
