#include <algorithm>
#include <nlohmann/json.hpp>

#include "consensus/consensus_core.h"

namespace shallotport {

namespace {

// A learner within this distance of the end of the log may be promoted: as a
// voter it can acknowledge new entries almost immediately.
constexpr log_index kMaxPromotionLag = 1'000;

error ConflictError(std::string reason) {
  return MakeError(error_kind::kConflict, std::move(reason));
}

}  // namespace

void consensus_core::UseMembership(log_index index,
                                   group_membership membership) {
  memberships_.emplace_back(index, std::move(membership));
  UpdatePeers();
}

void consensus_core::RemoveMembershipsFrom(log_index index) {
  while (memberships_.size() > 1 && memberships_.back().first >= index) {
    memberships_.pop_back();
  }
}

// Keeps one progress record for each other member of the list.
void consensus_core::UpdatePeers() {
  if (role_ != member_role::kLeader) {
    return;
  }
  for (const group_member& member : membership().members) {
    if (member.host == options_.host || peers_.contains(member.host)) {
      continue;
    }
    peers_[member.host].StartProbe(log_.last_index() + 1);
  }
  std::erase_if(peers_, [this](const auto& each) {
    return membership().Find(each.first) == nullptr;
  });
}

// A removed leader keeps leading until its removal is committed. The last round
// tells the other members about the commit.
void consensus_core::StepDownWhenRemoved(steady_time now) {
  if (!IsEligible() && memberships_.back().first <= commit_index_) {
    StartRound(now);
    Broadcast(now, true);
    StepDown(now);
  }
}

bool consensus_core::IsInContact(steady_time now,
                                 const group_member& member) const {
  if (member.host == options_.host) {
    return true;
  }
  const auto peer = peers_.find(member.host);
  return peer != peers_.end() && peer->second.last_replied_round > 0 &&
         now < peer->second.last_received_at + options_.election_timeout;
}

result<log_index> consensus_core::ChangeMembership(steady_time now,
                                                   wall_milliseconds wall,
                                                   membership_step step,
                                                   const host_id& host) {
  if (role_ != member_role::kLeader || !transfer_target_.IsEmpty()) {
    return MakeError(error_kind::kNotLeader, "not the leader");
  }
  if (status checked = CheckMembershipStep(now, step, host); !IsOk(checked)) {
    return ErrorOf(checked);
  }
  proposal content;
  content.command = EncodeMembership(MembershipAfter(step, host));
  AppendToLog(wall, entry_kind::kMembership, std::move(content));
  return log_.last_index();
}

status consensus_core::CheckMembershipStep(steady_time now,
                                           membership_step step,
                                           const host_id& host) const {
  if (!HasCommittedInTerm()) {
    return ConflictError(
        "the leader has not committed an entry of its term yet");
  }
  if (memberships_.back().first > commit_index_) {
    return ConflictError(
        "the membership change before this is not committed yet");
  }
  const group_member* member = membership().Find(host);
  if (step == membership_step::kAddLearner) {
    if (member != nullptr) {
      return ConflictError(host.text() + std::string(kAlreadyMemberSuffix));
    }
    if (membership().members.size() >= kMaxGroupMembers) {
      return ConflictError("the group has " + std::to_string(kMaxGroupMembers) +
                           " members already");
    }
    return success{};
  }
  if (member == nullptr) {
    return ConflictError(host.text() + std::string(kNotMemberSuffix));
  }
  if (step == membership_step::kPromote) {
    if (member->is_voter) {
      return ConflictError(host.text() + std::string(kAlreadyVoterSuffix));
    }
    const peer_progress& peer = peers_.at(host);
    if (!IsInContact(now, *member) || peer.last_seen_disk == 0) {
      return ConflictError(host.text() + " does not answer");
    }
    if (peer.state != replication_state::kReplicate ||
        peer.match_index + kMaxPromotionLag < log_.last_index()) {
      return ConflictError(host.text() + " is not caught up: it has entry " +
                           std::to_string(peer.match_index) + " of " +
                           std::to_string(log_.last_index()));
    }
  }
  return CheckQuorumKept(now, MembershipAfter(step, host));
}

// The changed list must have a quorum among the members in contact now.
status consensus_core::CheckQuorumKept(steady_time now,
                                       const group_membership& changed) const {
  size_t in_contact = 0;
  std::string unresponsive;
  for (const group_member& member : changed.members) {
    if (!member.is_voter) {
      continue;
    }
    if (IsInContact(now, member)) {
      ++in_contact;
    } else {
      unresponsive += " " + member.host.text();
    }
  }
  if (in_contact > 0 && in_contact >= changed.Quorum()) {
    return success{};
  }
  return ConflictError(
      "it would lose the quorum: " + std::to_string(in_contact) + " of " +
      std::to_string(changed.VoterCount()) +
      " voters would be left that answer, " + std::to_string(changed.Quorum()) +
      " are needed; silent:" + unresponsive);
}

group_membership consensus_core::MembershipAfter(membership_step step,
                                                 const host_id& host) const {
  group_membership changed = membership();
  const auto at = std::find_if(
      changed.members.begin(), changed.members.end(),
      [&](const group_member& member) { return member.host == host; });
  if (step == membership_step::kAddLearner) {
    changed.members.push_back({host, 0, false});
  } else if (step == membership_step::kPromote) {
    at->is_voter = true;
    at->disk = peers_.at(host).last_seen_disk;
  } else {
    changed.members.erase(at);
  }
  return changed;
}

std::vector<member_report> consensus_core::MemberReports(
    steady_time now) const {
  std::vector<member_report> reports;
  if (role_ != member_role::kLeader) {
    return reports;
  }
  for (const group_member& member : membership().members) {
    member_report report;
    report.member = member;
    report.is_self = member.host == options_.host;
    report.is_in_contact = IsInContact(now, member);
    const auto peer = peers_.find(member.host);
    report.is_caught_up =
        report.is_self ||
        (peer != peers_.end() && report.is_in_contact &&
         peer->second.state == replication_state::kReplicate &&
         peer->second.match_index + kMaxPromotionLag >= log_.last_index());
    reports.push_back(std::move(report));
  }
  return reports;
}

void consensus_core::WriteState(nlohmann::json& out) const {
  constexpr const char* kRoles[] = {"follower", "pre_candidate", "candidate",
                                    "leader"};
  out["group"] = options_.group;
  out["host"] = options_.host.text();
  out["disk"] = options_.disk;
  out["role"] = kRoles[static_cast<size_t>(role_)];
  out["leader"] = leader_.text();
  out["term"] = state_.term;
  out["last_index"] = log_.last_index();
  out["commit_index"] = commit_index_;
  out["snapshot_index"] = snapshot_index_;
  for (const group_member& member : membership().members) {
    nlohmann::json entry = {{"host", member.host.text()},
                            {"disk", member.disk},
                            {"voter", member.is_voter}};
    const auto peer = peers_.find(member.host);
    if (peer != peers_.end()) {
      entry["stored_index"] = peer->second.match_index;
      entry["has_other_disk"] = member.disk != 0 &&
                                peer->second.last_seen_disk != 0 &&
                                peer->second.last_seen_disk != member.disk;
      entry["gets_snapshot"] =
          peer->second.state == replication_state::kSnapshot;
    }
    out["members"].push_back(std::move(entry));
  }
  nlohmann::json& values = out["counters"];
  values["log_memory_bytes"] = log_.held_bytes();
  values["pre_votes"] = counters_.pre_votes;
  values["elections"] = counters_.elections;
  values["terms_led"] = counters_.terms_led;
  values["quorum_losses"] = counters_.quorum_losses;
  values["proposals"] = counters_.proposals;
  values["proposals_refused"] = counters_.proposals_refused;
  values["messages_received"] = counters_.messages_received;
  values["messages_misaddressed"] = counters_.messages_misaddressed;
  values["foreign_disk_messages"] = counters_.foreign_disk_messages;
  values["messages_sent"] = counters_.messages_sent;
  values["entries_received"] = counters_.entries_received;
  values["log_conflicts"] = counters_.log_conflicts;
  values["snapshots_sent"] = counters_.snapshots_sent;
  values["snapshots_installed"] = counters_.snapshots_installed;
  values["lease_reads"] = counters_.lease_reads;
  values["index_reads"] = counters_.index_reads;
}

}  // namespace shallotport
