#include <algorithm>
#include <vector>

#include "consensus/consensus_core.h"

namespace shallotport {

void consensus_core::RequestRead(steady_time, uint64_t read) {
  if (role_ != member_role::kLeader) {
    actions_.failed_reads.push_back(read);
    return;
  }
  pending_reads_.push_back({read, 0, 0});
}

// The latest round that a quorum has replied to.
uint64_t consensus_core::LastQuorumRound() const {
  std::vector<uint64_t> rounds;
  for (const group_member& member : membership().members) {
    if (!member.is_voter) {
      continue;
    }
    const auto peer = peers_.find(member.host);
    rounds.push_back(peer == peers_.end() ? round_
                                          : peer->second.last_replied_round);
  }
  const size_t quorum = membership().Quorum();
  if (quorum == 0 || rounds.size() < quorum) {
    return 0;
  }
  std::sort(rounds.rbegin(), rounds.rend());
  return rounds[quorum - 1];
}

bool consensus_core::HasCommittedInTerm() const {
  return commit_index_ >= first_index_of_term_;
}

steady_time consensus_core::LeaseEnd() const {
  if (role_ != member_role::kLeader || is_lease_revoked_ ||
      !HasCommittedInTerm()) {
    return steady_time::min();
  }
  const uint64_t confirmed_round = LastQuorumRound();
  for (auto at = sent_rounds_.rbegin(); at != sent_rounds_.rend(); ++at) {
    if (at->first <= confirmed_round) {
      return at->second + options_.lease_duration;
    }
  }
  return steady_time::min();
}

bool consensus_core::HasLease(steady_time now) const {
  return now < LeaseEnd();
}

void consensus_core::GrantReads(steady_time now) {
  const uint64_t confirmed_round = LastQuorumRound();
  // Only the last confirmed round and later ones can still extend the lease.
  while (sent_rounds_.size() > 1 && sent_rounds_[1].first <= confirmed_round) {
    sent_rounds_.pop_front();
  }
  if (pending_reads_.empty() || !HasCommittedInTerm()) {
    return;
  }
  const bool has_lease = HasLease(now);
  std::vector<pending_read> waiting;
  bool needs_round = false;
  for (const pending_read& each : pending_reads_) {
    const bool is_confirmed = each.round != 0 && each.round <= confirmed_round;
    if (has_lease || is_confirmed) {
      const log_index index = is_confirmed ? each.index : commit_index_;
      actions_.granted_reads.push_back({each.read, index});
      ++(has_lease ? counters_.lease_reads : counters_.index_reads);
      continue;
    }
    needs_round = needs_round || each.round == 0;
    waiting.push_back(each);
  }
  pending_reads_ = std::move(waiting);
  // One round at a time: reads that arrive during a round share the next one.
  if (!needs_round || read_round_ > confirmed_round) {
    return;
  }
  StartRound(now);
  read_round_ = round_;
  for (pending_read& each : pending_reads_) {
    if (each.round == 0) {
      each.round = round_;
      each.index = commit_index_;
    }
  }
  Broadcast(now, true);
}

}  // namespace shallotport
