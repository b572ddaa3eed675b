#include "consensus/consensus_core.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shallotport {

consensus_core::consensus_core(core_options options,
                               steady_time now,
                               const snapshot_point& point)
    : options_(std::move(options)),
      random_(options_.seed),
      log_(options_.log_memory_bytes),
      commit_index_(point.index),
      persisted_index_(point.index),
      snapshot_index_(point.index),
      oldest_needed_snapshot_(point.index) {
  log_.Reset(point.index, point.term, point.leader_time);
  const bool has_snapshot = point.index > 0;
  memberships_.emplace_back(
      point.index, has_snapshot ? point.membership
                                : FoundingMembership(options_.initial_members));
  // Before the restart this member may have acknowledged a leader's lease, so
  // it withholds its vote as if it had just heard from a leader.
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

void consensus_core::RestoreState(const hard_state& state) {
  state_ = state;
  stored_state_ = state;
}

status consensus_core::RestoreEntry(log_entry_pointer entry) {
  if (entry->index <= log_.base_index()) {
    // The previous entry's term is not known, so this entry becomes the base.
    log_.Reset(entry->index, entry->term, entry->leader_time);
    RemoveMembershipsFrom(snapshot_index_ + 1);
    return success{};
  }
  if (entry->index <= log_.last_index()) {
    log_.TruncateFrom(entry->index);
    RemoveMembershipsFrom(entry->index);
  }
  const bool follows =
      entry->index == log_.last_index() + 1 && entry->term >= log_.last_term();
  if (!follows) {
    return MakeError(error_kind::kCorrupt,
                     "entry " + std::to_string(entry->index) +
                         " does not follow entry " +
                         std::to_string(log_.last_index()));
  }
  StoreEntry(std::move(entry));
  actions_.entries.clear();
  log_.Evict(log_.last_index());
  return success{};
}

void consensus_core::RestoreReset(const snapshot_point& point) {
  log_.Reset(point.index, point.term, point.leader_time);
  RemoveMembershipsFrom(snapshot_index_ + 1);
}

result<bool> consensus_core::FinishRestore(const snapshot_point& point) {
  if (!actions_.fault.empty()) {
    return MakeError(error_kind::kCorrupt, actions_.fault);
  }
  if (log_.base_index() > point.index) {
    return MakeError(error_kind::kCorrupt,
                     "the log begins after entry " +
                         std::to_string(log_.base_index()) +
                         ", but the snapshot with it is missing");
  }
  const bool is_contained = log_.TermAt(point.index) == point.term;
  if (!is_contained) {
    log_.Reset(point.index, point.term, point.leader_time);
    RemoveMembershipsFrom(point.index + 1);
  }
  persisted_index_ = log_.last_index();
  return is_contained;
}

const group_membership& consensus_core::membership() const {
  return memberships_.back().second;
}

group_membership consensus_core::MembershipAt(log_index index) const {
  group_membership found = memberships_.front().second;
  for (const auto& [from, membership] : memberships_) {
    if (from <= index) {
      found = membership;
    }
  }
  return found;
}

consensus_message consensus_core::Envelope(const host_id& to,
                                           consensus_body body) const {
  const group_member* member = membership().Find(to);
  consensus_message message;
  message.group = options_.group;
  message.from = options_.host;
  message.from_incarnation = options_.disk;
  message.to = to;
  message.to_incarnation = member == nullptr ? 0 : member->disk;
  message.term = state_.term;
  message.body = std::move(body);
  return message;
}

void consensus_core::Send(const host_id& to, consensus_body body) {
  ++counters_.messages_sent;
  actions_.messages.push_back(Envelope(to, std::move(body)));
}

// Addresses the reply to the disk that sent the request: this member's list may
// still name another disk for that host.
void consensus_core::Reply(const host_id& to,
                           incarnation disk,
                           consensus_body body) {
  ++counters_.messages_sent;
  consensus_message message = Envelope(to, std::move(body));
  message.to_incarnation = disk;
  actions_.messages.push_back(std::move(message));
}

void consensus_core::SendEarly(const host_id& to, consensus_body body) {
  ++counters_.messages_sent;
  actions_.early_messages.push_back(Envelope(to, std::move(body)));
}

void consensus_core::SetFault(std::string text) {
  if (actions_.fault.empty()) {
    actions_.fault = std::move(text);
  }
}

void consensus_core::BecomeFollower(steady_time now,
                                    uint64_t term,
                                    const host_id& leader) {
  if (term > state_.term) {
    state_ = {term, host_id(), 0};
  }
  if (role_ == member_role::kLeader) {
    FailReads();
    peers_.clear();
    sent_rounds_.clear();
    transfer_target_ = host_id();
  }
  role_ = member_role::kFollower;
  leader_ = leader;
  votes_.clear();
  ResetElectionTimer(now);
}

void consensus_core::StepDown(steady_time now) {
  BecomeFollower(now, state_.term, host_id());
}

void consensus_core::RecordLeader(steady_time now, const host_id& leader) {
  if (role_ != member_role::kFollower) {
    BecomeFollower(now, state_.term, leader);
  }
  leader_ = leader;
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

void consensus_core::FailReads() {
  for (const pending_read& each : pending_reads_) {
    actions_.failed_reads.push_back(each.read);
  }
  pending_reads_.clear();
}

void consensus_core::Step(steady_time now, const consensus_message& message) {
  ++counters_.messages_received;
  const bool is_for_me =
      message.group == options_.group && message.to == options_.host &&
      message.from != options_.host &&
      (message.to_incarnation == 0 || message.to_incarnation == options_.disk);
  if (!is_for_me) {
    ++counters_.messages_misaddressed;
    return;
  }
  if (std::holds_alternative<vote_request>(message.body)) {
    OnVoteRequest(now, message);
    return;
  }
  if (IsFromStaleTerm(now, message)) {
    return;
  }
  if (const auto* reply = std::get_if<vote_reply>(&message.body)) {
    OnVoteReply(now, message, *reply);
  } else if (const auto* append = std::get_if<append_request>(&message.body)) {
    OnAppendRequest(now, message, *append);
  } else if (const auto* append_result =
                 std::get_if<append_reply>(&message.body)) {
    OnAppendReply(now, message, *append_result);
  } else if (const auto* chunk = std::get_if<snapshot_chunk>(&message.body)) {
    OnSnapshotChunk(now, message, *chunk);
  } else if (const auto* snapshot_result =
                 std::get_if<snapshot_reply>(&message.body)) {
    OnSnapshotReply(now, message, *snapshot_result);
  } else {
    OnTimeoutNow(now);
  }
}

// Adopts the message's term if it is newer. True if the message is from an
// older term; it then needs no further handling.
bool consensus_core::IsFromStaleTerm(steady_time now,
                                     const consensus_message& message) {
  const auto* vote = std::get_if<vote_reply>(&message.body);
  const bool is_pre_vote_grant =
      vote != nullptr && vote->is_pre_vote && vote->is_granted;
  if (is_pre_vote_grant) {
    return false;  // Its term is that of an election which has not started.
  }
  if (message.term > state_.term) {
    BecomeFollower(now, message.term, host_id());
    return false;
  }
  if (message.term == state_.term) {
    return false;
  }
  const bool is_from_leader =
      std::holds_alternative<append_request>(message.body) ||
      std::holds_alternative<snapshot_chunk>(message.body);
  if (is_from_leader) {
    // The newer term in the reply makes the old leader step down.
    Reply(message.from, message.from_incarnation,
          append_reply{0, false, commit_index_});
  }
  return true;
}

void consensus_core::Tick(steady_time now) {
  if (role_ != member_role::kLeader) {
    if (now >= election_deadline_) {
      StartPreVote(now);
    }
    return;
  }
  if (LastQuorumContact(now) + options_.election_timeout <= now) {
    ++counters_.quorum_losses;
    StepDown(now);
    return;
  }
  if (!transfer_target_.IsEmpty() && now >= transfer_deadline_) {
    transfer_target_ = host_id();
    if (is_timeout_now_sent_) {
      // timeout_now may still arrive, so the lease cannot be used again in this
      // term. Stepping down leads to a new term.
      StepDown(now);
      return;
    }
  }
  if (now >= next_heartbeat_at_) {
    StartRound(now);
    Broadcast(now, true);
  }
}

steady_time consensus_core::NextTick() const {
  return role_ == member_role::kLeader ? next_heartbeat_at_
                                       : election_deadline_;
}

consensus_actions consensus_core::TakeActions(steady_time now) {
  if (role_ == member_role::kLeader) {
    GrantReads(now);
    Broadcast(now, false);
    MaybeSendTimeoutNow(now);
    StepDownWhenRemoved(now);
  }
  if (state_ != stored_state_) {
    actions_.state = state_;
    stored_state_ = state_;
    // No message of a term may be sent before the term is durable.
    actions_.messages.insert(
        actions_.messages.begin(),
        std::make_move_iterator(actions_.early_messages.begin()),
        std::make_move_iterator(actions_.early_messages.end()));
    actions_.early_messages.clear();
  }
  return std::exchange(actions_, {});
}

void consensus_core::Persisted(log_index index) {
  persisted_index_ =
      std::min(std::max(persisted_index_, index), log_.last_index());
  AdvanceCommit();
}

void consensus_core::Applied(log_index index) {
  log_.Evict(std::min(index, persisted_index_));
}

}  // namespace shallotport
