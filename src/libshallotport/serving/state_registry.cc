#include "serving/state_registry.h"

#include <nlohmann/json.hpp>

namespace shallotport {

nlohmann::json state_registry::Dump() const {
  nlohmann::json state = nlohmann::json::object();
  for (const entry& duty : writers_) {
    nlohmann::json part = nlohmann::json::object();
    duty.write(part);
    state[duty.duty] = std::move(part);
  }
  return state;
}

}  // namespace shallotport
