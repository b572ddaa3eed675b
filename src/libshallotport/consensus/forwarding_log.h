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

// How a host reaches the replicated log.
struct forwarding_options {
  host_id host;
  incarnation host_incarnation = 0;  // Higher at each start of this host.
  // Where to look for the leader at first; the answers name later members.
  std::vector<host_id> members;
  replica* local = nullptr;  // This host's own member; outlives the log.
  uint64_t seed = 1;
  duration attempt_timeout = std::chrono::milliseconds(500);
  uint32_t lanes = 256;  // Proposals of this host under way at once.
};

// The replicated log as every host sees it. Calls go to the leader, through
// the local member or over the peer channel kLogForwarding; they are resent
// until the deadline and applied once. On a member it also answers the
// requests that other hosts forward.
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

  // kNotLeader: surely not proposed anywhere. kNoQuorum: it may still commit.
  // kOutcomeUnknown: a later proposal of its lane overtook it.
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline) override;
  result<std::string> Query(replicated_slice slice,
                            std::string query,
                            steady_time deadline) override;

  // One step of a membership change, taken by the leader. kConflict with the
  // reason when it is refused.
  status ChangeMembership(membership_step step,
                          const host_id& host,
                          steady_time deadline);

  // Ends all waiting calls. Idempotent.
  void Stop();

  // The member that last led, as far as known here.
  host_id leader() const;

  // The members as far as known here.
  std::vector<host_id> members() const;

  void WriteState(nlohmann::json& out) const;

 private:
  class implementation;
  explicit forwarding_log(std::shared_ptr<implementation> implementation);

  std::shared_ptr<implementation> implementation_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_FORWARDING_LOG_H_
