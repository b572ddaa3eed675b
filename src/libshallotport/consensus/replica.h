#ifndef SHALLOTPORT_CONSENSUS_REPLICA_H_
#define SHALLOTPORT_CONSENSUS_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "consensus/log_entry.h"
#include "consensus/replicated_log.h"
#include "consensus/replicated_state.h"

namespace shallotport {

class file_system;
class replica_driver;
enum class membership_step : uint8_t;

// Settings of one member of a consensus group.
struct replica_options {
  uint32_t group = 1;
  host_id host;        // This member.
  std::string folder;  // For this group's files only.
  // The same list on every member. Used only to found the group, for which all
  // of them must be running at the same time.
  std::vector<host_id> initial_members;
  duration heartbeat_interval = std::chrono::milliseconds(200);
  // Minimum; the actual timeout is random, up to 1.5 times as long.
  duration election_timeout = std::chrono::milliseconds(800);
  // Less than `election_timeout`.
  duration lease_duration = std::chrono::milliseconds(600);
  uint64_t seed = 1;
  uint64_t snapshot_after_bytes = 64u << 20;
  uint32_t snapshot_after_entries = 20'000;
  uint32_t trailing_entries = 5'000;      // Kept in the log before a snapshot.
  uint32_t segment_bytes = 16u << 20;     // Size of a log file.
  uint64_t log_memory_bytes = 16u << 20;  // Of entries held in memory.
  uint64_t max_in_flight_bytes = 4u << 20;  // Unacknowledged, per member.
  file_system* files = nullptr;             // Null: the operating system's.
};

// One member of a consensus group. Its duty thread owns the consensus core, the
// group's files and the slices' states. Call Register() for each state, then
// Start().
class replica final : public replicated_log {
 public:
  using send_function =
      std::function<void(const host_id& to, std::string bytes)>;
  using reply_function = std::function<void(result<std::string> reply)>;

  // `send` passes bytes to the peer channel kConsensus. It is called on the
  // duty thread, must not block and may lose messages.
  static result<std::unique_ptr<replica>> Create(replica_options options,
                                                 const clock_source& clock,
                                                 send_function send);
  ~replica() override;

  // Before Start(); `state` must outlive the replica.
  void Register(replicated_slice slice, replicated_state* state);

  // Recovers the states from snapshot and log and starts the thread. kCorrupt,
  // with file and offset in the detail, if the files are damaged.
  status Start();

  // Transfers leadership to another member, then ends the thread. Idempotent.
  void Stop();

  // A message of the peer channel kConsensus. Thread-safe.
  void OnPeerMessage(const host_id& from, std::string bytes);

  // As in replicated_log, but without forwarding: kNotLeader on a follower.
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline) override;
  result<std::string> Query(replicated_slice slice,
                            std::string query,
                            steady_time deadline) override;

  // Non-blocking. `reply` is called once and must not block. It runs on the
  // duty thread, or on the calling thread if the ring is full.
  void SubmitProposal(proposal submitted, reply_function reply);
  void SubmitQuery(replicated_slice slice,
                   std::string query,
                   reply_function reply);

  // The leader that this member knows; empty if unknown. Thread-safe.
  host_id leader() const;

  // The group's members that this member knows. Thread-safe.
  std::vector<host_id> members() const;

  // True while this member leads and holds the lease. Thread-safe.
  bool is_leader() const;

  // The current term; rises with every new leader. Thread-safe.
  uint64_t term() const;

  // Steps of a membership change, on the leader only and one at a time. Each
  // returns when the step is committed. kConflict with the reason if the group
  // would lose its quorum or an earlier step is not committed yet.
  status AddLearner(const host_id& host, steady_time deadline);
  status Promote(const host_id& host, steady_time deadline);
  status Remove(const host_id& host, steady_time deadline);
  // Any of the three steps above.
  status ChangeMembership(membership_step step,
                          const host_id& host,
                          steady_time deadline);
  // All steps to replace `removed` by `added`; both are the same host if it was
  // wiped.
  status ReplaceMember(const host_id& removed,
                       const host_id& added,
                       steady_time deadline);

  // Non-blocking, like SubmitProposal().
  void SubmitStep(membership_step step,
                  const host_id& host,
                  reply_function reply);

  // Dumps the state; the duty thread collects it. Thread-safe.
  void WriteState(nlohmann::json& out) const;

 private:
  explicit replica(std::unique_ptr<replica_driver> driver);

  std::unique_ptr<replica_driver> driver_;
  bool is_started_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICA_H_
