#include <algorithm>
#include <vector>

#include "consensus/consensus_core.h"

namespace shallotport {

void consensus_core::ResetElectionTimer(steady_time now) {
  const auto spread =
      static_cast<uint64_t>(options_.election_timeout.count() / 2);
  election_deadline_ =
      now + options_.election_timeout +
      duration(UniformBelow(random_, std::max<uint64_t>(spread, 1)));
}

// A member whose removal is not known to be committed may still stand for
// election, without its own vote: it may be the only member with the entry that
// removes it.
bool consensus_core::IsEligible() const {
  return membership().IsVoter(options_.host, options_.disk) ||
         MembershipAt(commit_index_).IsVoter(options_.host, options_.disk);
}

void consensus_core::StartPreVote(steady_time now) {
  ResetElectionTimer(now);
  if (!IsEligible()) {
    return;
  }
  ++counters_.pre_votes;
  role_ = member_role::kPreCandidate;
  leader_ = host_id();
  votes_ = {{options_.host, options_.disk}};
  const vote_request request{true, false, log_.last_index(), log_.last_term()};
  for (const group_member& member : membership().members) {
    if (!member.is_voter || member.host == options_.host) {
      continue;
    }
    consensus_message message = Envelope(member.host, request);
    message.term = state_.term + 1;
    ++counters_.messages_sent;
    actions_.messages.push_back(std::move(message));
  }
  CountVotes(now);
}

void consensus_core::StartElection(steady_time now, bool is_transfer) {
  ++counters_.elections;
  state_ = {state_.term + 1, options_.host, options_.disk};
  role_ = member_role::kCandidate;
  leader_ = host_id();
  votes_ = {{options_.host, options_.disk}};
  ResetElectionTimer(now);
  const vote_request request{false, is_transfer, log_.last_index(),
                             log_.last_term()};
  for (const group_member& member : membership().members) {
    if (member.is_voter && member.host != options_.host) {
      Send(member.host, request);
    }
  }
  CountVotes(now);
}

// Counts only votes from disks that the member list names.
void consensus_core::CountVotes(steady_time now) {
  const auto granted = static_cast<size_t>(
      std::count_if(votes_.begin(), votes_.end(), [this](const auto& vote) {
        return membership().IsVoter(vote.first, vote.second);
      }));
  if (granted < membership().Quorum()) {
    return;
  }
  if (role_ == member_role::kPreCandidate) {
    StartElection(now, false);
  } else if (role_ == member_role::kCandidate) {
    BecomeLeader(now);
  }
}

void consensus_core::BecomeLeader(steady_time now) {
  ++counters_.terms_led;
  role_ = member_role::kLeader;
  leader_ = options_.host;
  sent_rounds_.clear();
  pending_reads_.clear();
  read_round_ = 0;
  uncommitted_bytes_ = 0;
  transfer_target_ = host_id();
  is_lease_revoked_ = false;
  peers_.clear();
  UpdatePeers();
  for (auto& [host, peer] : peers_) {
    peer.last_received_at = now;
    peer.StartProbe(log_.last_index() + 1);
  }
  first_index_of_term_ = log_.last_index() + 1;
  if (membership().IsFounding()) {
    // Founding needs the votes of all voters, so all their disks are known.
    group_membership founded = membership();
    for (group_member& member : founded.members) {
      member.disk = votes_[member.host];
    }
    proposal content;
    content.command = EncodeMembership(founded);
    AppendToLog(0, entry_kind::kMembership, std::move(content));
  } else {
    AppendToLog(0, entry_kind::kNoop, {});
  }
  votes_.clear();
  StartRound(now);
  Broadcast(now, true);
}

void consensus_core::OnVoteRequest(steady_time now,
                                   const consensus_message& message) {
  const auto& request = std::get<vote_request>(message.body);
  // While a leader may hold a lease that this member acknowledged, no other
  // member gets its vote. This also keeps a member that the leader cannot reach
  // from deposing it.
  const bool may_hold_lease =
      role_ == member_role::kLeader ||
      now < last_leader_contact_ + options_.election_timeout;
  const bool is_up_to_date = request.last_term > log_.last_term() ||
                             (request.last_term == log_.last_term() &&
                              request.last_index >= log_.last_index());
  if (request.is_pre_vote) {
    const bool is_granted =
        message.term > state_.term && is_up_to_date && !may_hold_lease;
    consensus_message reply =
        Envelope(message.from, vote_reply{true, is_granted});
    reply.to_incarnation = message.from_incarnation;
    reply.term = is_granted ? message.term : state_.term;
    ++counters_.messages_sent;
    actions_.messages.push_back(std::move(reply));
    return;
  }
  if (may_hold_lease && !request.is_transfer) {
    return;
  }
  if (message.term > state_.term) {
    BecomeFollower(now, message.term, host_id());
  }
  const bool is_vote_available =
      state_.vote.IsEmpty() || (state_.vote == message.from &&
                                state_.vote_disk == message.from_incarnation);
  const bool is_granted =
      message.term == state_.term && is_vote_available && is_up_to_date;
  if (is_granted) {
    state_.vote = message.from;
    state_.vote_disk = message.from_incarnation;
    ResetElectionTimer(now);
  }
  Reply(message.from, message.from_incarnation, vote_reply{false, is_granted});
}

void consensus_core::OnVoteReply(steady_time now,
                                 const consensus_message& message,
                                 const vote_reply& reply) {
  if (!reply.is_granted) {
    return;
  }
  const bool is_wanted_pre_vote = reply.is_pre_vote &&
                                  role_ == member_role::kPreCandidate &&
                                  message.term == state_.term + 1;
  const bool is_wanted_vote = !reply.is_pre_vote &&
                              role_ == member_role::kCandidate &&
                              message.term == state_.term;
  if (is_wanted_pre_vote || is_wanted_vote) {
    votes_[message.from] = message.from_incarnation;
    CountVotes(now);
  }
}

void consensus_core::OnTimeoutNow(steady_time now) {
  if (role_ == member_role::kFollower && IsEligible()) {
    StartElection(now, true);
  }
}

// The latest time by which a quorum had replied to this leader.
steady_time consensus_core::LastQuorumContact(steady_time now) const {
  std::vector<steady_time> contacts;
  for (const group_member& member : membership().members) {
    if (!member.is_voter) {
      continue;
    }
    const auto peer = peers_.find(member.host);
    contacts.push_back(peer == peers_.end() ? now
                                            : peer->second.last_received_at);
  }
  std::sort(contacts.rbegin(), contacts.rend());
  const size_t quorum = membership().Quorum();
  return contacts.size() < quorum || quorum == 0 ? now : contacts[quorum - 1];
}

status consensus_core::TransferLeadership(steady_time now,
                                          const host_id& target) {
  if (role_ != member_role::kLeader) {
    return MakeError(error_kind::kNotLeader, "not the leader");
  }
  host_id best;
  for (const auto& [host, peer] : peers_) {
    const group_member* member = membership().Find(host);
    const bool is_candidate = member != nullptr && member->is_voter &&
                              IsInContact(now, *member) &&
                              (target.IsEmpty() || target == host);
    if (is_candidate &&
        (best.IsEmpty() || peer.match_index > peers_.at(best).match_index)) {
      best = host;
    }
  }
  if (best.IsEmpty()) {
    return MakeError(error_kind::kConflict, "no voter in contact to lead");
  }
  transfer_target_ = best;
  is_timeout_now_sent_ = false;
  transfer_deadline_ = now + options_.election_timeout;
  return success{};
}

// Tells the successor to start an election once it has the whole log. It may
// win at any time from then on, so this leader stops using its lease.
void consensus_core::MaybeSendTimeoutNow(steady_time now) {
  const auto peer = peers_.find(transfer_target_);
  if (transfer_target_.IsEmpty() || peer == peers_.end() ||
      is_timeout_now_sent_ || peer->second.match_index < log_.last_index() ||
      now >= transfer_deadline_) {
    return;
  }
  is_lease_revoked_ = true;
  is_timeout_now_sent_ = true;
  Send(transfer_target_, timeout_now{});
}

}  // namespace shallotport
