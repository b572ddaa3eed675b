#ifndef SHALLOTPORT_SERVING_STATE_REGISTRY_H_
#define SHALLOTPORT_SERVING_STATE_REGISTRY_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shallotport {

// The duties of this process that can show their state. Filled before the
// operators' interface listens.
class state_registry {
 public:
  // Writes a duty's state; thread-safe. Numbers below "counters" are exported
  // as metrics.
  using writer = std::function<void(nlohmann::json& out)>;

  void Add(std::string duty, writer write) {
    writers_.push_back({std::move(duty), std::move(write)});
  }

  // One member for each duty.
  nlohmann::json Dump() const;

 private:
  struct entry {
    std::string duty;
    writer write;
  };
  std::vector<entry> writers_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_STATE_REGISTRY_H_
