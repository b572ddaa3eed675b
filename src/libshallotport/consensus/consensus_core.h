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
  incarnation disk = 0;  // Drawn when this member's files were created.
  std::vector<host_id> initial_members;
  duration heartbeat_interval = std::chrono::milliseconds(200);
  duration election_timeout = std::chrono::milliseconds(800);
  // Shorter than `election` by the largest drift between two monotonic clocks
  // during that time.
  duration lease_duration = std::chrono::milliseconds(600);
  uint64_t seed = 1;
  uint64_t log_memory_bytes = 16u << 20;
  uint64_t max_message_bytes = 512u << 10;  // Entries in one message.
  uint64_t max_in_flight_bytes = 4u << 20;  // Unanswered entries per member.
  uint64_t max_uncommitted_bytes = 16u
                                   << 20;  // Beyond it proposals are refused.
  uint32_t trailing_entries = 5'000;       // Kept behind a snapshot.
};

// The end of a snapshot: where the log goes on.
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

// How the refusals of steps that were taken already end.
inline constexpr std::string_view kAlreadyMemberSuffix = " is a member already";
inline constexpr std::string_view kAlreadyVoterSuffix = " is a voter already";
inline constexpr std::string_view kNotMemberSuffix = " is no member";

// What the leader knows of one member of its group.
struct member_report {
  group_member member;
  bool is_self = false;
  bool is_in_contact = false;  // It answered within the election timeout.
  bool is_caught_up = false;   // It may be promoted.
};

// One step of a membership change.
enum class membership_step : uint8_t { kAddLearner, kPromote, kRemove };

// The decisions of one member of a consensus group (Raft with pre-vote, check
// quorum, leader lease, read index, learners and one-at-a-time membership
// change). Pure: the driver calls the events below and then does what
// TakeActions() says; several events may share one TakeActions(), which makes
// them share one sync and one message per peer.
class consensus_core {
 public:
  // Begins as a follower whose snapshot ends at `point` (index 0: it has
  // none). What the log files hold follows through the Restore functions, in
  // the order in which it was stored; FinishRestore() comes before all else.
  consensus_core(core_options options,
                 steady_time now,
                 const snapshot_point& point);

  void RestoreState(const hard_state& state);
  // Replaces all entries from its index on. The first one may lie before the
  // snapshot's point. kCorrupt when it does not follow those before.
  status RestoreEntry(log_entry_pointer entry);
  // The log was emptied to go on after a received snapshot.
  void RestoreReset(const snapshot_point& point);
  // False when the log does not contain the snapshot's last entry and was
  // therefore dropped; the files then need a reset record, too.
  result<bool> FinishRestore(const snapshot_point& point);

  void Step(steady_time now, const consensus_message& message);
  void Tick(steady_time now);
  // The time at which to call Tick() next.
  steady_time NextTick() const;

  // Appends a command to the leader's log. kNotLeader and kNoCapacity promise
  // that it was not proposed.
  result<log_index> Propose(steady_time now,
                            wall_milliseconds wall,
                            proposal proposed);

  // Asks for a linearizable read; granted or failed in later actions.
  void RequestRead(steady_time now, uint64_t read);

  // kConflict with the reason when the step must not be taken now.
  result<log_index> ChangeMembership(steady_time now,
                                     wall_milliseconds wall,
                                     membership_step step,
                                     const host_id& host);

  // Hands leadership to `target`, or to the most advanced member when empty.
  status TransferLeadership(steady_time now, const host_id& target);

  // Gives leadership up without a successor.
  void StepDown(steady_time now);

  consensus_actions TakeActions(steady_time now);

  // Everything of the last actions up to `index` is synced.
  void Persisted(log_index index);
  // Entries up to `index` are applied and may leave memory.
  void Applied(log_index index);
  void EntriesLoaded(const host_id& to, std::vector<log_entry_pointer> entries);
  // The own snapshot file at `index` is published; compacts the log.
  void SnapshotTaken(steady_time now, log_index index);
  // Sends a part of the own snapshot file, read for a chunk request.
  void SendChunk(const host_id& to, snapshot_chunk chunk);
  // A received chunk is stored, `next_offset` is wanted next.
  void ChunkStored(const received_chunk& chunk, uint64_t next_offset);
  // A received snapshot is published and loaded; the log begins after it.
  void SnapshotInstalled(const received_chunk& last_chunk,
                         const snapshot_point& point);

  const core_options& options() const { return options_; }
  member_role role() const { return role_; }
  uint64_t term() const { return state_.term; }
  const host_id& leader() const { return leader_; }
  log_index commit_index() const { return commit_index_; }
  log_index snapshot_index() const { return snapshot_index_; }
  const log_window& log() const { return log_; }
  // Snapshot files below this index are needed no more.
  log_index oldest_needed_snapshot() const { return oldest_needed_snapshot_; }
  const group_membership& membership() const;
  bool IsMembershipCommitted() const {
    return memberships_.back().first <= commit_index_;
  }
  group_membership MembershipAt(log_index index) const;

  // What this leader knows of each member; empty on other members.
  std::vector<member_report> MemberReports(steady_time now) const;

  // End of the lease; in the past when there is none.
  steady_time LeaseEnd() const;
  bool HasLease(steady_time now) const;
  // True when the snapshot would bring entries that the log lacks.
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
    uint64_t round = 0;  // 0: waits for a round to begin.
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
  // Each from the index of its entry on; the last one is in force.
  std::deque<std::pair<log_index, group_membership>> memberships_;

  steady_time last_leader_contact_{};
  steady_time election_deadline_{};
  std::map<host_id, incarnation> votes_;

  // Leader only.
  std::map<host_id, peer_progress> peers_;
  steady_time next_heartbeat_at_{};
  uint64_t round_ = 0;
  std::deque<std::pair<uint64_t, steady_time>> sent_rounds_;  // Round, sent.
  log_index first_index_of_term_ = 0;
  uint64_t uncommitted_bytes_ = 0;
  std::vector<pending_read> pending_reads_;
  uint64_t read_round_ = 0;
  host_id transfer_target_;
  steady_time transfer_deadline_{};
  bool is_timeout_now_sent_ = false;  // For the transfer under way.
  bool is_lease_revoked_ = false;     // Ends the lease for this term.

  consensus_actions actions_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_CONSENSUS_CORE_H_
