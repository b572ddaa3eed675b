#include "fleet/group_healer.h"

#include <algorithm>

namespace shallotport {

struct group_healer::group_view {
  const std::vector<member_report>& members;
  std::map<host_id, const host_announcement*> live;
  std::set<host_id> leaving;
  std::set<host_id> lost;  // Out of contact for longer than replace_after.

  const member_report* Member(const host_id& host) const {
    const auto found = std::find_if(
        members.begin(), members.end(),
        [&](const auto& each) { return each.member.host == host; });
    return found == members.end() ? nullptr : &*found;
  }
  const host_announcement* Live(const host_id& host) const {
    const auto found = live.find(host);
    return found == live.end() ? nullptr : found->second;
  }
  domain_id Domain(const host_id& host) const {
    const host_announcement* known = Live(host);
    return known == nullptr ? domain_id() : known->domain;
  }
  // Voters that are neither lost nor leaving.
  size_t HealthyVoters() const {
    return static_cast<size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& each) {
          return each.member.is_voter && !lost.contains(each.member.host) &&
                 !leaving.contains(each.member.host);
        }));
  }
  size_t HealthyLearners() const {
    return static_cast<size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& each) {
          return !each.member.is_voter && !lost.contains(each.member.host) &&
                 !leaving.contains(each.member.host);
        }));
  }
  size_t VoterCount() const {
    return static_cast<size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const auto& each) { return each.member.is_voter; }));
  }
};

std::optional<healing_step> group_healer::NextStep(
    steady_time now,
    const std::vector<member_report>& members,
    const std::vector<host_announcement>& live,
    const std::set<std::string>& retiring) {
  group_view group{members, {}, {}, {}};
  for (const host_announcement& host : live) {
    group.live[host.host] = &host;
    if (retiring.contains(host.name)) {
      group.leaving.insert(host.host);
    }
  }
  std::map<host_id, steady_time> silent;
  for (const member_report& each : members) {
    if (each.is_in_contact) {
      continue;
    }
    const auto known = silent_since_.find(each.member.host);
    const steady_time since =
        known == silent_since_.end() ? now : known->second;
    silent[each.member.host] = since;
    if (now > since + options_.replace_after) {
      group.lost.insert(each.member.host);
    }
  }
  silent_since_ = std::move(silent);
  using rule =
      std::optional<healing_step> (group_healer::*)(const group_view&) const;
  constexpr rule kRules[] = {
      &group_healer::RemoveWiped,
      &group_healer::AddStandby,
      &group_healer::PromoteStandby,
      &group_healer::RemoveSurplus,
  };
  for (const rule each : kRules) {
    if (auto step = (this->*each)(group)) {
      return step;
    }
  }
  return std::nullopt;
}

// A host that lost its disk is no longer the member that the group knows,
// although it has the same address.
std::optional<healing_step> group_healer::RemoveWiped(
    const group_view& group) const {
  for (const member_report& each : group.members) {
    const host_announcement* host = group.Live(each.member.host);
    const bool is_wiped = host != nullptr && host->disk != 0 &&
                          each.member.disk != 0 &&
                          host->disk != each.member.disk && !each.is_self;
    if (is_wiped) {
      return healing_step{membership_step::kRemove, each.member.host};
    }
  }
  return std::nullopt;
}

std::optional<healing_step> group_healer::AddStandby(
    const group_view& group) const {
  const size_t healthy = group.HealthyVoters();
  const size_t wanted = options_.standbys +
                        (options_.voters - std::min(options_.voters, healthy));
  if (group.HealthyLearners() >= wanted) {
    return std::nullopt;
  }
  for (const auto& [id, host] : group.live) {
    const bool is_eligible = host->disk != 0 && group.Member(id) == nullptr &&
                             !group.leaving.contains(id);
    if (is_eligible) {
      return healing_step{membership_step::kAddLearner, id};
    }
  }
  return std::nullopt;
}

// Prefers learners in the failure domains that have the fewest voters.
std::optional<healing_step> group_healer::PromoteStandby(
    const group_view& group) const {
  if (group.HealthyVoters() >= options_.voters) {
    return std::nullopt;
  }
  std::map<domain_id, int> voters;
  for (const member_report& each : group.members) {
    if (each.member.is_voter && !group.lost.contains(each.member.host)) {
      ++voters[group.Domain(each.member.host)];
    }
  }
  const member_report* best = nullptr;
  for (const member_report& each : group.members) {
    const bool is_candidate = !each.member.is_voter && each.is_caught_up &&
                              !group.leaving.contains(each.member.host);
    if (!is_candidate) {
      continue;
    }
    if (best == nullptr || voters[group.Domain(each.member.host)] <
                               voters[group.Domain(best->member.host)]) {
      best = &each;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return healing_step{membership_step::kPromote, best->member.host};
}

std::optional<healing_step> group_healer::RemoveSurplus(
    const group_view& group) const {
  const bool has_enough = group.HealthyVoters() >= options_.voters;
  for (const member_report& each : group.members) {
    const host_id& host = each.member.host;
    const bool is_leaving = group.leaving.contains(host);
    const bool is_lost = group.lost.contains(host);
    // A voter is removed only once enough other healthy voters exist.
    const bool may_remove =
        each.member.is_voter ? has_enough : (is_lost || is_leaving);
    if ((is_leaving || is_lost) && may_remove) {
      return healing_step{membership_step::kRemove, host};
    }
  }
  if (group.VoterCount() <= options_.voters) {
    return std::nullopt;
  }
  for (const member_report& each : group.members) {
    if (each.member.is_voter && !each.is_self) {
      return healing_step{membership_step::kRemove, each.member.host};
    }
  }
  return std::nullopt;
}

}  // namespace shallotport
