#include <algorithm>
#include <utility>

#include "consensus/consensus_core.h"

namespace shallotport {

namespace {

uint64_t BytesOf(const log_entry& entry) {
  return sizeof(log_entry) + entry.content.command.size();
}

}  // namespace

result<log_index> consensus_core::Propose(steady_time,
                                          wall_milliseconds wall,
                                          proposal proposed) {
  if (role_ != member_role::kLeader || !transfer_target_.IsEmpty()) {
    ++counters_.proposals_refused;
    return MakeError(error_kind::kNotLeader, "not proposed");
  }
  if (uncommitted_bytes_ > options_.max_uncommitted_bytes) {
    ++counters_.proposals_refused;
    return MakeError(error_kind::kNoCapacity, "too much is not committed yet");
  }
  ++counters_.proposals;
  AppendToLog(wall, entry_kind::kCommand, std::move(proposed));
  return log_.last_index();
}

void consensus_core::AppendToLog(wall_milliseconds wall,
                                 entry_kind kind,
                                 proposal content) {
  auto entry = std::make_shared<log_entry>();
  entry->index = log_.last_index() + 1;
  entry->term = state_.term;
  entry->kind = kind;
  entry->leader_time = std::max(wall, log_.last_time());
  entry->content = std::move(content);
  uncommitted_bytes_ += BytesOf(*entry);
  StoreEntry(std::move(entry));
}

void consensus_core::StoreEntry(log_entry_pointer entry) {
  if (entry->kind == entry_kind::kMembership) {
    auto decoded = DecodeMembership(entry->content.command);
    if (!IsOk(decoded)) {
      SetFault("member list of entry " + std::to_string(entry->index) +
               " cannot be read");
      return;
    }
    if (entry->index > memberships_.front().first) {
      UseMembership(entry->index, std::move(ValueOf(decoded)));
    }
  }
  actions_.entries.push_back(entry);
  log_.Append(std::move(entry));
}

void consensus_core::StartRound(steady_time now) {
  ++round_;
  sent_rounds_.emplace_back(round_, now);
  next_heartbeat_at_ = now + options_.heartbeat_interval;
}

void consensus_core::Broadcast(steady_time now, bool is_heartbeat) {
  for (const auto& [host, peer] : peers_) {
    ReplicateTo(now, host, is_heartbeat);
  }
}

// Sends the entries that the member lacks, up to the limit for in-flight bytes.
// A heartbeat sends at least an empty message.
void consensus_core::ReplicateTo(steady_time now,
                                 const host_id& to,
                                 bool is_heartbeat) {
  peer_progress& peer = peers_.at(to);
  if (is_heartbeat) {
    peer.is_probe_sent = false;
    peer.is_loading = false;
  }
  if (peer.next_index <= log_.base_index()) {
    RequestSnapshotChunk(now, to, peer);
  }
  bool has_sent = false;
  while (peer.state != replication_state::kSnapshot && !peer.is_loading &&
         peer.next_index <= log_.last_index() && !peer.is_probe_sent &&
         peer.in_flight_bytes < options_.max_in_flight_bytes) {
    std::vector<log_entry_pointer> entries;
    uint64_t bytes = 0;
    for (log_index at = peer.next_index;
         at <= log_.last_index() && bytes < options_.max_message_bytes; ++at) {
      log_entry_pointer entry = log_.EntryAt(at);
      if (entry == nullptr) {
        break;
      }
      bytes += BytesOf(*entry);
      entries.push_back(std::move(entry));
    }
    if (entries.empty()) {
      peer.is_loading = true;
      actions_.load_requests.push_back(
          {to, peer.next_index, options_.max_message_bytes});
      break;
    }
    SendEntries(to, peer, std::move(entries));
    has_sent = true;
  }
  if (is_heartbeat && !has_sent) {
    SendHeartbeat(to, peer);
  }
}

void consensus_core::SendEntries(const host_id& to,
                                 peer_progress& peer,
                                 std::vector<log_entry_pointer> entries) {
  append_request request;
  request.round = round_;
  request.previous_index = peer.next_index - 1;
  request.previous_term = log_.TermAt(peer.next_index - 1).value_or(0);
  request.commit_index = commit_index_;
  uint64_t bytes = 0;
  for (const log_entry_pointer& entry : entries) {
    bytes += BytesOf(*entry);
  }
  const log_index last = entries.back()->index;
  request.entries = std::move(entries);
  SendEarly(to, std::move(request));
  if (peer.state == replication_state::kProbe) {
    peer.is_probe_sent = true;
    return;
  }
  peer.in_flight.push_back({last, bytes});
  peer.in_flight_bytes += bytes;
  peer.next_index = last + 1;
}

void consensus_core::SendHeartbeat(const host_id& to,
                                   const peer_progress& peer) {
  append_request request;
  request.round = round_;
  // Index 0 matches every log.
  const bool is_known = peer.state != replication_state::kSnapshot &&
                        log_.TermAt(peer.next_index - 1);
  request.previous_index = is_known ? peer.next_index - 1 : 0;
  request.previous_term = is_known ? *log_.TermAt(peer.next_index - 1) : 0;
  request.commit_index = std::min(commit_index_, request.previous_index);
  SendEarly(to, std::move(request));
}

void consensus_core::EntriesLoaded(const host_id& to,
                                   std::vector<log_entry_pointer> entries) {
  const auto found = peers_.find(to);
  const bool is_sender = role_ == member_role::kLeader && found != peers_.end();
  if (!is_sender || entries.empty()) {
    return;  // Retried with the next heartbeat.
  }
  peer_progress& peer = found->second;
  const bool is_wanted = peer.is_loading &&
                         entries.front()->index == peer.next_index &&
                         log_.TermAt(peer.next_index) == entries.front()->term;
  peer.is_loading = false;
  if (is_wanted && peer.state != replication_state::kSnapshot &&
      !peer.is_probe_sent) {
    SendEntries(to, peer, std::move(entries));
  }
}

void consensus_core::OnAppendRequest(steady_time now,
                                     const consensus_message& message,
                                     const append_request& request) {
  if (role_ == member_role::kLeader) {
    SetFault("two leaders in term " + std::to_string(state_.term));
    return;
  }
  RecordLeader(now, message.from);
  const auto term = log_.TermAt(request.previous_index);
  // Entries before the base are committed and therefore match.
  const bool is_equal = request.previous_index < log_.base_index() ||
                        (term && *term == request.previous_term);
  if (!is_equal) {
    Reply(message.from, message.from_incarnation,
          append_reply{request.round, false, RetryPoint(request)});
    return;
  }
  if (!StoreEntries(request)) {
    return;
  }
  const log_index last = request.previous_index + request.entries.size();
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, last));
  Reply(message.from, message.from_incarnation,
        append_reply{request.round, true, last});
}

// Skips all entries of the conflicting term.
log_index consensus_core::RetryPoint(const append_request& request) const {
  if (request.previous_index > log_.last_index()) {
    return log_.last_index();
  }
  const auto term = log_.TermAt(request.previous_index);
  log_index at = request.previous_index - 1;
  while (at > commit_index_ && log_.TermAt(at) == term) {
    --at;
  }
  return at;
}

bool consensus_core::StoreEntries(const append_request& request) {
  for (const log_entry_pointer& entry : request.entries) {
    const auto held = log_.TermAt(entry->index);
    if (entry->index <= log_.base_index() || held == entry->term) {
      continue;
    }
    if (held && entry->index <= commit_index_) {
      SetFault("committed entry " + std::to_string(entry->index) +
               " differs from the leader's");
      return false;
    }
    if (held) {
      ++counters_.log_conflicts;
      log_.TruncateFrom(entry->index);
      RemoveMembershipsFrom(entry->index);
      persisted_index_ = std::min(persisted_index_, log_.last_index());
      while (!actions_.entries.empty() &&
             actions_.entries.back()->index >= entry->index) {
        actions_.entries.pop_back();
      }
    }
    ++counters_.entries_received;
    StoreEntry(entry);
  }
  return true;
}

// Records that a member replied. Null if the sender is not a member of this
// leader's group or has another disk than the member list names.
peer_progress* consensus_core::RecordReply(steady_time now,
                                           const consensus_message& message,
                                           uint64_t round) {
  const auto found = peers_.find(message.from);
  const group_member* member = membership().Find(message.from);
  if (role_ != member_role::kLeader || found == peers_.end() ||
      member == nullptr) {
    return nullptr;
  }
  peer_progress& peer = found->second;
  const bool is_other_disk = peer.last_seen_disk != 0 &&
                             peer.last_seen_disk != message.from_incarnation;
  peer.last_seen_disk = message.from_incarnation;
  if (member->disk != 0 && member->disk != message.from_incarnation) {
    ++counters_.foreign_disk_messages;
    return nullptr;
  }
  if (is_other_disk && member->disk == 0) {
    peer.match_index = 0;
    peer.StartProbe(log_.last_index() + 1);
  }
  peer.last_received_at = now;
  peer.last_replied_round =
      std::max(peer.last_replied_round, std::min(round, round_));
  return &peer;
}

void consensus_core::OnAppendReply(steady_time now,
                                   const consensus_message& message,
                                   const append_reply& reply) {
  peer_progress* peer = RecordReply(now, message, reply.round);
  if (peer == nullptr || reply.last_index > log_.last_index()) {
    return;
  }
  if (!reply.is_accepted) {
    if (peer->state != replication_state::kSnapshot) {
      peer->StartProbe(std::max(peer->match_index, reply.last_index) + 1);
      ReplicateTo(now, message.from, false);
    }
    return;
  }
  peer->match_index = std::max(peer->match_index, reply.last_index);
  peer->AcknowledgeUpTo(reply.last_index);
  const bool needs_snapshot = peer->state == replication_state::kSnapshot &&
                              peer->match_index < log_.base_index();
  if (needs_snapshot) {
    return;
  }
  peer->next_index = std::max(peer->next_index, peer->match_index + 1);
  if (peer->state != replication_state::kReplicate &&
      reply.last_index + 1 >= peer->next_index) {
    peer->StartProbe(peer->match_index + 1);
    peer->state = replication_state::kReplicate;
  }
  AdvanceCommit();
}

void consensus_core::AdvanceCommit() {
  if (role_ != member_role::kLeader) {
    return;
  }
  std::vector<log_index> stored;
  for (const group_member& member : membership().members) {
    if (!member.is_voter) {
      continue;
    }
    const auto peer = peers_.find(member.host);
    stored.push_back(peer == peers_.end() ? persisted_index_
                                          : peer->second.match_index);
  }
  const size_t quorum = membership().Quorum();
  if (quorum == 0 || stored.size() < quorum) {
    return;
  }
  std::sort(stored.rbegin(), stored.rend());
  const log_index reached = stored[quorum - 1];
  if (reached <= commit_index_ || log_.TermAt(reached) != state_.term) {
    return;
  }
  for (log_index at = commit_index_ + 1; at <= reached; ++at) {
    const log_entry_pointer entry = log_.EntryAt(at);
    const uint64_t bytes = entry == nullptr ? 0 : BytesOf(*entry);
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, bytes);
  }
  commit_index_ = reached;
}

}  // namespace shallotport
