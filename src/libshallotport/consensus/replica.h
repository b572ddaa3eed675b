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

// How one member of a consensus group runs.
struct replica_options {
  uint32_t group = 1;
  host_id host;        // This member.
  std::string folder;  // Holds this group's files only.
  // The same list on every member. Read only while the group is founded, for
  // which all of them have to be up once.
  std::vector<host_id> initial_members;
  duration heartbeat_interval = std::chrono::milliseconds(200);
  duration election_timeout = std::chrono::milliseconds(800);  // Least timeout.
  duration lease_duration =
      std::chrono::milliseconds(600);  // Less than `election`.
  uint64_t seed = 1;
  uint64_t snapshot_after_bytes = 64u << 20;
  uint32_t snapshot_after_entries = 20'000;
  uint32_t trailing_entries = 5'000;      // Kept in the log behind a snapshot.
  uint32_t segment_bytes = 16u << 20;     // Of the log's files.
  uint64_t log_memory_bytes = 16u << 20;  // Of the log, held in memory.
  uint64_t max_in_flight_bytes = 4u << 20;  // Unanswered entries per member.
  file_system* files = nullptr;             // Null: the operating system's.
};

// One member of a consensus group: a duty thread that owns the consensus core,
// the group's files and the slices' states. Register the states, then Start().
class replica final : public replicated_log {
 public:
  using send_function =
      std::function<void(const host_id& to, std::string bytes)>;
  using reply_function = std::function<void(result<std::string> reply)>;

  // `send` gives bytes to the peer channel kConsensus; it is called from the
  // duty thread, must not block and may lose messages.
  static result<std::unique_ptr<replica>> Create(replica_options options,
                                                 const clock_source& clock,
                                                 send_function send);
  ~replica() override;

  // Before Start(); `state` must outlive the replica.
  void Register(replicated_slice slice, replicated_state* state);

  // Recovers snapshot and log into the states and starts the thread. Fails
  // with kCorrupt, naming file and offset, when the files are damaged.
  status Start();

  // Hands leadership to another member, then ends the thread. Idempotent.
  void Stop();

  // A message of the peer channel kConsensus. Thread-safe.
  void OnPeerMessage(const host_id& from, std::string bytes);

  // As in replicated_log, on this member only: kNotLeader on a follower.
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline) override;
  result<std::string> Query(replicated_slice slice,
                            std::string query,
                            steady_time deadline) override;

  // Without waiting: `reply` runs once, on the duty thread or on the caller's
  // when the ring is full, and must not block.
  void SubmitProposal(proposal submitted, reply_function reply);
  void SubmitQuery(replicated_slice slice,
                   std::string query,
                   reply_function reply);

  // The leader as this member knows it; empty when unknown. Thread-safe.
  host_id leader() const;

  // The group's members as this one knows them. Thread-safe.
  std::vector<host_id> members() const;

  // True while this member leads and holds the lease. Thread-safe.
  bool is_leader() const;

  // Number of the leader's term; rises with every new leader. Thread-safe.
  uint64_t term() const;

  // Steps of a membership change; the leader only, one at a time. Each returns
  // when the step is committed, or refuses it with the reason (kConflict) when
  // it would lose the quorum or an earlier step is not done.
  status AddLearner(const host_id& host, steady_time deadline);
  status Promote(const host_id& host, steady_time deadline);
  status Remove(const host_id& host, steady_time deadline);
  // One step, as the three above.
  status ChangeMembership(membership_step step,
                          const host_id& host,
                          steady_time deadline);
  // All steps to put `added` in the place of `removed`; they may be the same
  // host when it lost its disk.
  status ReplaceMember(const host_id& removed,
                       const host_id& added,
                       steady_time deadline);

  // Without waiting, as above.
  void SubmitStep(membership_step step,
                  const host_id& host,
                  reply_function reply);

  // Dumps the state, asked from the duty thread. Thread-safe.
  void WriteState(nlohmann::json& out) const;

 private:
  explicit replica(std::unique_ptr<replica_driver> driver);

  std::unique_ptr<replica_driver> driver_;
  bool is_started_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICA_H_
