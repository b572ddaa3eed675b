#include <algorithm>
#include <utility>

#include "consensus/consensus_core.h"

namespace shallotport {

void consensus_core::RequestSnapshotChunk(steady_time now,
                                          const host_id& to,
                                          peer_progress& peer) {
  const bool is_new = peer.state != replication_state::kSnapshot ||
                      peer.snapshot_index < oldest_needed_snapshot_;
  if (is_new) {
    ++counters_.snapshots_sent;
    peer.StartProbe(peer.next_index);
    peer.state = replication_state::kSnapshot;
    peer.snapshot_index = snapshot_index_;
    peer.snapshot_offset = 0;
  } else if (now < peer.snapshot_sent_at + options_.election_timeout) {
    return;  // Still waiting for the reply to the last chunk.
  }
  peer.snapshot_sent_at = now;
  actions_.chunk_requests.push_back(
      {to, peer.snapshot_index, peer.snapshot_offset});
}

void consensus_core::SendChunk(const host_id& to, snapshot_chunk chunk) {
  const auto term = log_.TermAt(chunk.snapshot_index);
  if (role_ != member_role::kLeader || !peers_.contains(to) || !term) {
    return;
  }
  chunk.round = round_;
  chunk.snapshot_term = *term;
  SendEarly(to, std::move(chunk));
}

void consensus_core::OnSnapshotChunk(steady_time now,
                                     const consensus_message& message,
                                     const snapshot_chunk& chunk) {
  if (role_ == member_role::kLeader) {
    SetFault("two leaders in term " + std::to_string(state_.term));
    return;
  }
  RecordLeader(now, message.from);
  if (!NeedsSnapshot(chunk.snapshot_index, chunk.snapshot_term)) {
    commit_index_ = std::max(commit_index_, chunk.snapshot_index);
    Reply(message.from, message.from_incarnation,
          append_reply{chunk.round, true, chunk.snapshot_index});
    return;
  }
  actions_.received_chunks.push_back(
      {message.from, message.from_incarnation, chunk});
}

bool consensus_core::NeedsSnapshot(log_index index, uint64_t term) const {
  return index > commit_index_ && log_.TermAt(index) != term;
}

void consensus_core::ChunkStored(const received_chunk& chunk,
                                 uint64_t next_offset) {
  Reply(chunk.from, chunk.from_disk,
        snapshot_reply{chunk.chunk.round, chunk.chunk.snapshot_index,
                       next_offset});
}

void consensus_core::SnapshotInstalled(const received_chunk& last_chunk,
                                       const snapshot_point& point) {
  ++counters_.snapshots_installed;
  log_.Reset(point.index, point.term, point.leader_time);
  memberships_.clear();
  memberships_.emplace_back(point.index, point.membership);
  commit_index_ = point.index;
  persisted_index_ = point.index;
  snapshot_index_ = point.index;
  oldest_needed_snapshot_ = point.index;
  Reply(last_chunk.from, last_chunk.from_disk,
        append_reply{last_chunk.chunk.round, true, point.index});
}

void consensus_core::OnSnapshotReply(steady_time now,
                                     const consensus_message& message,
                                     const snapshot_reply& reply) {
  peer_progress* peer = RecordReply(now, message, reply.round);
  const bool is_wanted = peer != nullptr &&
                         peer->state == replication_state::kSnapshot &&
                         peer->snapshot_index == reply.snapshot_index &&
                         peer->snapshot_offset != reply.next_offset;
  if (!is_wanted) {
    return;
  }
  peer->snapshot_offset = reply.next_offset;
  peer->snapshot_sent_at = now;
  actions_.chunk_requests.push_back(
      {message.from, peer->snapshot_index, peer->snapshot_offset});
}

// Keeps the entries that are still in memory, for members that lag slightly,
// and the entries after a snapshot that is being sent.
void consensus_core::SnapshotTaken(steady_time now, log_index index) {
  snapshot_index_ = std::max(snapshot_index_, index);
  const log_index trailing =
      index > options_.trailing_entries ? index - options_.trailing_entries : 0;
  log_index compact_to = std::max(trailing, std::min(log_.evicted_to(), index));
  oldest_needed_snapshot_ = OldestSentSnapshot(now);
  compact_to = std::min(compact_to, oldest_needed_snapshot_);
  if (compact_to <= log_.base_index()) {
    return;
  }
  const group_membership kept = MembershipAt(compact_to);
  log_.CompactTo(compact_to);
  while (memberships_.size() > 1 && memberships_[1].first <= compact_to) {
    memberships_.pop_front();
  }
  if (memberships_.front().first <= compact_to) {
    memberships_.front() = {compact_to, kept};
  }
}

// The newest snapshot, or an older one that is still being sent to a member.
log_index consensus_core::OldestSentSnapshot(steady_time now) const {
  log_index oldest = snapshot_index_;
  for (const auto& [host, peer] : peers_) {
    const bool is_sending =
        peer.state == replication_state::kSnapshot &&
        now < peer.last_received_at + options_.election_timeout;
    oldest = is_sending ? std::min(oldest, peer.snapshot_index) : oldest;
  }
  return oldest;
}

}  // namespace shallotport
