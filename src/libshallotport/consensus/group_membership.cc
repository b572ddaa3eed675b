#include "consensus/group_membership.h"

#include <algorithm>

#include "base/codec.h"

namespace shallotport {

const group_member* group_membership::Find(const host_id& host) const {
  const auto found = std::find_if(
      members.begin(), members.end(),
      [&](const group_member& member) { return member.host == host; });
  return found == members.end() ? nullptr : &*found;
}

bool group_membership::IsVoter(const host_id& host, incarnation disk) const {
  const group_member* member = Find(host);
  return member != nullptr && member->is_voter &&
         (member->disk == disk || member->disk == 0);
}

bool group_membership::IsFounding() const {
  return std::any_of(members.begin(), members.end(),
                     [](const group_member& member) {
                       return member.is_voter && member.disk == 0;
                     });
}

size_t group_membership::VoterCount() const {
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(),
      [](const group_member& member) { return member.is_voter; }));
}

size_t group_membership::Quorum() const {
  return IsFounding() ? VoterCount() : VoterCount() / 2 + 1;
}

group_membership FoundingMembership(const std::vector<host_id>& hosts) {
  group_membership membership;
  for (const host_id& host : hosts) {
    membership.members.push_back({host, 0, true});
  }
  return membership;
}

std::string EncodeMembership(const group_membership& membership) {
  return Encode(membership);
}

result<group_membership> DecodeMembership(std::string_view bytes) {
  return Decode<group_membership>(bytes);
}

std::string Describe(const group_membership& membership) {
  std::string text;
  for (const group_member& member : membership.members) {
    text += text.empty() ? "" : " ";
    text += member.host.text();
    text += member.is_voter ? "" : "(learner)";
  }
  return text;
}

}  // namespace shallotport
