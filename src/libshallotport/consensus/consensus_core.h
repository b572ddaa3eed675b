#ifndef SHALLOTPORT_CONSENSUS_CONSENSUS_CORE_H_
#define SHALLOTPORT_CONSENSUS_CONSENSUS_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"
#include "consensus/consensus_actions.h"
#include "consensus/consensus_message.h"
#include "consensus/group_membership.h"
#include "consensus/log_window.h"
#include "consensus/peer_progress.h"

namespace shallotport {

struct core_options {
  uint32_t group = 1;
  host_id host;
  incarnation disk = 0;  // Random; drawn when this member's files are created.
  std::vector<host_id> initial_members;
  duration heartbeat_interval = std::chrono::milliseconds(200);
  duration election_timeout = std::chrono::milliseconds(800);
  // Shorter than `election_timeout` by at least the largest drift between two
  // monotonic clocks during that time, so that a lease ends before another
  // member can be elected.
  duration lease_duration = std::chrono::milliseconds(600);
  uint64_t seed = 1;
  uint64_t log_memory_bytes = 16u << 20;
  uint64_t max_message_bytes = 512u << 10;  // Of entries in one message.
  uint64_t max_in_flight_bytes = 4u << 20;  // Unacknowledged, per member.
  // Above it, proposals are rejected.
  uint64_t max_uncommitted_bytes = 16u << 20;
  uint32_t trailing_entries = 5'000;  // Kept in the log before a snapshot.
};

// The last entry that a snapshot covers, with the leader time and the
// membership as of that entry.
struct snapshot_point {
  log_index index = 0;
  uint64_t term = 0;
  wall_milliseconds leader_time = 0;
  group_membership membership;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, leader_time, membership);
  }
};

enum class member_role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

// Ends of the error details for membership steps that are already in effect.
inline constexpr std::string_view kAlreadyMemberSuffix = " is a member already";
inline constexpr std::string_view kAlreadyVoterSuffix = " is a voter already";
inline constexpr std::string_view kNotMemberSuffix = " is no member";

// What the leader knows about one member of its group.
struct member_report {
  group_member member;
  bool is_self = false;
  bool is_in_contact = false;  // Replied within the election timeout.
  bool is_caught_up = false;   // Close enough to be promoted.
};

// One step of a membership change.
enum class membership_step : uint8_t { kAddLearner, kPromote, kRemove };

// The consensus state machine of one member of a group: Raft with pre-vote,
// check quorum, leader lease, read index, learners and membership changes of
// one member at a time. Does no I/O and is not thread-safe: the driver reports
// events through the functions below and then carries out what TakeActions()
// returns. Several events may be followed by a single TakeActions(); they then
// share one sync and one message per peer.
class consensus_core {
 public:
  // Starts as a follower whose snapshot ends at `point` (index 0: there is no
  // snapshot). The contents of the log files are then passed to the Restore
  // functions in the order in which they were stored. FinishRestore() must be
  // called before any other event.
  consensus_core(core_options options,
                 steady_time now,
                 const snapshot_point& point);

  void RestoreState(const hard_state& state);
  // Replaces all entries from its index on. The first entry may precede the
  // snapshot's point. kCorrupt if it does not follow the previous entry.
  status RestoreEntry(log_entry_pointer entry);
  // The log was reset to continue after a received snapshot.
  void RestoreReset(const snapshot_point& point);
  // False if the log does not contain the snapshot's last entry and was
  // therefore discarded; the driver then has to store a reset record.
  result<bool> FinishRestore(const snapshot_point& point);

  void Step(steady_time now, const consensus_message& message);
  void Tick(steady_time now);
  // When Tick() must be called next.
  steady_time NextTick() const;

  // Appends a command to the leader's log. After kNotLeader and kNoCapacity the
  // command is guaranteed not to be proposed.
  result<log_index> Propose(steady_time now,
                            wall_milliseconds wall,
                            proposal proposed);

  // Requests a linearizable read; a later TakeActions() grants or fails it.
  void RequestRead(steady_time now, uint64_t read);

  // kConflict with the reason if the step is not allowed now.
  result<log_index> ChangeMembership(steady_time now,
                                     wall_milliseconds wall,
                                     membership_step step,
                                     const host_id& host);

  // Transfers leadership to `target`, or if it is empty to the voter in contact
  // with the longest log.
  status TransferLeadership(steady_time now, const host_id& target);

  // Becomes a follower without choosing a successor.
  void StepDown(steady_time now);

  consensus_actions TakeActions(steady_time now);

  // The entries of the last actions up to `index` are synced.
  void Persisted(log_index index);
  // Entries up to `index` are applied and may be evicted from memory.
  void Applied(log_index index);
  void EntriesLoaded(const host_id& to, std::vector<log_entry_pointer> entries);
  // This member's snapshot file at `index` is published; compacts the log.
  void SnapshotTaken(steady_time now, log_index index);
  // Sends a chunk of this member's snapshot file, read for a chunk request.
  void SendChunk(const host_id& to, snapshot_chunk chunk);
  // A received chunk is stored; the next one must start at `next_offset`.
  void ChunkStored(const received_chunk& chunk, uint64_t next_offset);
  // A received snapshot is published and loaded; the log continues after it.
  void SnapshotInstalled(const received_chunk& last_chunk,
                         const snapshot_point& point);

  const core_options& options() const { return options_; }
  member_role role() const { return role_; }
  uint64_t term() const { return state_.term; }
  const host_id& leader() const { return leader_; }
  log_index commit_index() const { return commit_index_; }
  log_index snapshot_index() const { return snapshot_index_; }
  const log_window& log() const { return log_; }
  // Snapshot files below this index are no longer needed.
  log_index oldest_needed_snapshot() const { return oldest_needed_snapshot_; }
  const group_membership& membership() const;
  bool IsMembershipCommitted() const {
    return memberships_.back().first <= commit_index_;
  }
  group_membership MembershipAt(log_index index) const;

  // What this leader knows about each member; empty unless this member leads.
  std::vector<member_report> MemberReports(steady_time now) const;

  // When the lease expires; in the past if there is no lease.
  steady_time LeaseEnd() const;
  bool HasLease(steady_time now) const;
  // True if a snapshot at this point covers entries that the log lacks.
  bool NeedsSnapshot(log_index index, uint64_t term) const;

  void WriteState(nlohmann::json& out) const;

 private:
  struct counters {
    uint64_t pre_votes = 0;
    uint64_t elections = 0;
    uint64_t terms_led = 0;
    uint64_t quorum_losses = 0;
    uint64_t proposals = 0;
    uint64_t proposals_refused = 0;
    uint64_t messages_received = 0;
    uint64_t messages_misaddressed = 0;
    uint64_t foreign_disk_messages = 0;
    uint64_t messages_sent = 0;
    uint64_t entries_received = 0;
    uint64_t log_conflicts = 0;
    uint64_t snapshots_sent = 0;
    uint64_t snapshots_installed = 0;
    uint64_t lease_reads = 0;
    uint64_t index_reads = 0;
  };

  struct pending_read {
    uint64_t read = 0;
    uint64_t round = 0;  // 0: not assigned to a round yet.
    log_index index = 0;
  };

  // consensus_core.cc
  consensus_message Envelope(const host_id& to, consensus_body body) const;
  void Send(const host_id& to, consensus_body body);
  void Reply(const host_id& to, incarnation disk, consensus_body body);
  void SendEarly(const host_id& to, consensus_body body);
  void BecomeFollower(steady_time now, uint64_t term, const host_id& leader);
  void RecordLeader(steady_time now, const host_id& leader);
  bool IsFromStaleTerm(steady_time now, const consensus_message& message);
  void FailReads();
  void SetFault(std::string text);

  // consensus_election.cc
  void ResetElectionTimer(steady_time now);
  bool IsEligible() const;
  void StartPreVote(steady_time now);
  void StartElection(steady_time now, bool is_transfer);
  void CountVotes(steady_time now);
  void BecomeLeader(steady_time now);
  void OnVoteRequest(steady_time now, const consensus_message& message);
  void OnVoteReply(steady_time now,
                   const consensus_message& message,
                   const vote_reply& reply);
  void OnTimeoutNow(steady_time now);
  steady_time LastQuorumContact(steady_time now) const;
  void MaybeSendTimeoutNow(steady_time now);

  // consensus_replication.cc
  void AppendToLog(wall_milliseconds wall, entry_kind kind, proposal content);
  void StoreEntry(log_entry_pointer entry);
  void StartRound(steady_time now);
  void Broadcast(steady_time now, bool is_heartbeat);
  void ReplicateTo(steady_time now, const host_id& to, bool is_heartbeat);
  void SendEntries(const host_id& to,
                   peer_progress& peer,
                   std::vector<log_entry_pointer> entries);
  void SendHeartbeat(const host_id& to, const peer_progress& peer);
  void OnAppendRequest(steady_time now,
                       const consensus_message& message,
                       const append_request& request);
  log_index RetryPoint(const append_request& request) const;
  bool StoreEntries(const append_request& request);
  void OnAppendReply(steady_time now,
                     const consensus_message& message,
                     const append_reply& reply);
  peer_progress* RecordReply(steady_time now,
                             const consensus_message& message,
                             uint64_t round);
  void AdvanceCommit();

  // consensus_snapshot.cc
  void RequestSnapshotChunk(steady_time now,
                            const host_id& to,
                            peer_progress& peer);
  log_index OldestSentSnapshot(steady_time now) const;
  void OnSnapshotChunk(steady_time now,
                       const consensus_message& message,
                       const snapshot_chunk& chunk);
  void OnSnapshotReply(steady_time now,
                       const consensus_message& message,
                       const snapshot_reply& reply);

  // consensus_reads.cc
  uint64_t LastQuorumRound() const;
  bool HasCommittedInTerm() const;
  void GrantReads(steady_time now);

  // consensus_membership.cc
  void StepDownWhenRemoved(steady_time now);
  void UseMembership(log_index index, group_membership membership);
  void RemoveMembershipsFrom(log_index index);
  void UpdatePeers();
  status CheckMembershipStep(steady_time now,
                             membership_step step,
                             const host_id& host) const;
  status CheckQuorumKept(steady_time now,
                         const group_membership& changed) const;
  group_membership MembershipAfter(membership_step step,
                                   const host_id& host) const;
  bool IsInContact(steady_time now, const group_member& member) const;

  const core_options options_;
  random_source random_;
  log_window log_;
  hard_state state_;
  hard_state stored_state_;
  member_role role_ = member_role::kFollower;
  host_id leader_;
  log_index commit_index_ = 0;
  log_index persisted_index_ = 0;
  log_index snapshot_index_ = 0;
  log_index oldest_needed_snapshot_ = 0;
  // Each membership with the index of its entry; the last one is in effect.
  std::deque<std::pair<log_index, group_membership>> memberships_;

  steady_time last_leader_contact_{};
  steady_time election_deadline_{};
  std::map<host_id, incarnation> votes_;

  // Leader only.
  std::map<host_id, peer_progress> peers_;
  steady_time next_heartbeat_at_{};
  uint64_t round_ = 0;
  // Number and send time of each round that can still extend the lease.
  std::deque<std::pair<uint64_t, steady_time>> sent_rounds_;
  log_index first_index_of_term_ = 0;
  uint64_t uncommitted_bytes_ = 0;
  std::vector<pending_read> pending_reads_;
  uint64_t read_round_ = 0;
  host_id transfer_target_;
  steady_time transfer_deadline_{};
  bool is_timeout_now_sent_ = false;  // For the current transfer.
  bool is_lease_revoked_ = false;     // Until the next term.

  consensus_actions actions_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_CONSENSUS_CORE_H_
