#ifndef SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_
#define SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

// One member of a group. The incarnation is that of its disk: a member that
// lost its files comes back with another one and is not this member any more.
struct group_member {
  host_id host;
  incarnation disk = 0;  // 0: not yet bound (a learner, or before founding).
  bool is_voter = false;

  bool operator==(const group_member&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, disk, is_voter);
  }
};

// The member list of a group, as committed in the log.
struct group_membership {
  std::vector<group_member> members;

  bool operator==(const group_membership&) const = default;

  const group_member* Find(const host_id& host) const;
  bool IsVoter(const host_id& host, incarnation disk) const;

  // True until the members' disks are bound. Then a quorum is everyone, so
  // that an emptied disk cannot help to found the group a second time.
  bool IsFounding() const;
  size_t VoterCount() const;
  size_t Quorum() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

inline constexpr size_t kMaxGroupMembers = 19;

// Voters whose disks are not bound yet.
group_membership FoundingMembership(const std::vector<host_id>& hosts);

std::string EncodeMembership(const group_membership& membership);
result<group_membership> DecodeMembership(std::string_view bytes);

// E.g. "host-1 host-2 host-3(learner)".
std::string Describe(const group_membership& membership);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_
