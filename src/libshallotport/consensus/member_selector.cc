#include "consensus/member_selector.h"

#include <utility>

namespace shallotport {

namespace {

// How long a host that did not reply is bypassed, its calls going through other
// members.
constexpr std::chrono::seconds kUnresponsiveBackoff{5};

}  // namespace

member_selector::member_selector(host_id self, std::vector<host_id> members)
    : self_(std::move(self)),
      configured_members_(std::move(members)),
      reported_members_(configured_members_),
      contacts_(configured_members_) {}

host_id member_selector::Choose(steady_time now, const host_id& own_view) {
  TakeOwnView(own_view);
  if (!leader_.IsEmpty() && !IsInBackoff(now, leader_)) {
    return leader_;
  }
  host_id first_to_end = self_;
  steady_time first_end = steady_time::max();
  for (size_t tries = 0; tries < contacts_.size(); ++tries) {
    const host_id& member = contacts_[next_contact_++ % contacts_.size()];
    const bool is_follower =
        member == self_ && !own_view.IsEmpty() && own_view != self_;
    if (is_follower) {
      continue;
    }
    if (!IsInBackoff(now, member)) {
      return member;
    }
    const steady_time end = backoff_until_.at(member);
    if (end < first_end) {
      first_to_end = member;
      first_end = end;
    }
  }
  return first_to_end;
}

void member_selector::TakeOwnView(const host_id& own_view) {
  if (own_view.IsEmpty()) {
    if (leader_ == self_) {
      leader_ = host_id();
    }
    return;
  }
  if (own_view != own_view_) {
    // It did not reply because it relayed calls to the former leader.
    backoff_until_.erase(own_view);
  }
  own_view_ = own_view;
  leader_ = own_view;
}

void member_selector::OnUnanswered(steady_time now, const host_id& member) {
  backoff_until_[member] = now + kUnresponsiveBackoff;
}

void member_selector::OnReply(const host_id& leader,
                              std::vector<host_id> members) {
  leader_ = leader;
  if (leader == self_) {
    backoff_until_.erase(self_);
  }
  if (members.empty()) {
    return;
  }
  // The configured members stay as contacts, because the reply may come from a
  // member with a stale list.
  reported_members_ = std::move(members);
  contacts_ = reported_members_;
  contacts_.insert(contacts_.end(), configured_members_.begin(),
                   configured_members_.end());
}

bool member_selector::IsInBackoff(steady_time now,
                                  const host_id& member) const {
  const auto found = backoff_until_.find(member);
  return found != backoff_until_.end() && now < found->second;
}

}  // namespace shallotport
