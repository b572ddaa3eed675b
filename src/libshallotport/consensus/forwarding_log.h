#ifndef SHALLOTPORT_CONSENSUS_FORWARDING_LOG_H_
#define SHALLOTPORT_CONSENSUS_FORWARDING_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "consensus/replicated_log.h"

namespace shallotport {

class replica;
enum class membership_step : uint8_t;

// How a host accesses the replicated log.
struct forwarding_options {
  host_id host;
  incarnation host_incarnation = 0;  // Rises at each start of the host.
  // Members to contact first; replies name the current members.
  std::vector<host_id> members;
  replica* local = nullptr;  // This host's member or null; outlives the log.
  uint64_t seed = 1;
  duration attempt_timeout = std::chrono::milliseconds(500);
  uint32_t lanes = 256;  // Concurrent proposals of this host.
};

// Access to the replicated log from any host. Sends calls to the leader,
// through the local member or over the peer channel kLogForwarding, and retries
// them until the deadline; a command is applied at most once. On a member it
// also serves the calls that other hosts forward. Thread-safe.
class forwarding_log final : public replicated_log {
 public:
  using send_function =
      std::function<void(const host_id& to, std::string bytes)>;

  // `send` is called from any thread, must not block and may lose messages.
  static result<std::unique_ptr<forwarding_log>> Create(
      forwarding_options options,
      const clock_source& clock,
      send_function send);
  ~forwarding_log() override;

  // A message of the peer channel kLogForwarding. Thread-safe.
  void OnPeerMessage(const host_id& from, std::string_view bytes);

  // kNotLeader: guaranteed not to be proposed anywhere. kNoQuorum: the command
  // may still commit. kOutcomeUnknown: a later proposal of its lane was applied
  // first.
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline) override;
  result<std::string> Query(replicated_slice slice,
                            std::string query,
                            steady_time deadline) override;

  // Has the leader apply one step of a membership change. kConflict with the
  // reason if it rejects the step.
  status ChangeMembership(membership_step step,
                          const host_id& host,
                          steady_time deadline);

  // Fails all waiting calls. Idempotent.
  void Stop();

  // The last known leader; empty if unknown.
  host_id leader() const;

  // The last known members.
  std::vector<host_id> members() const;

  void WriteState(nlohmann::json& out) const;

 private:
  class implementation;
  explicit forwarding_log(std::shared_ptr<implementation> implementation);

  std::shared_ptr<implementation> implementation_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_FORWARDING_LOG_H_
