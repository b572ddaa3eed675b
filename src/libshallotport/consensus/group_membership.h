#ifndef SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_
#define SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

// One member of a group. `disk` identifies the set of files it was added with:
// a host that was wiped comes back with another disk and no longer counts as
// this member.
struct group_member {
  host_id host;
  incarnation disk = 0;  // 0: not bound yet (a learner, or before founding).
  bool is_voter = false;

  bool operator==(const group_member&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, disk, is_voter);
  }
};

// The member list of a group, as stored in the log.
struct group_membership {
  std::vector<group_member> members;

  bool operator==(const group_membership&) const = default;

  const group_member* Find(const host_id& host) const;
  bool IsVoter(const host_id& host, incarnation disk) const;

  // True until the voters' disks are bound. Until then all voters form the
  // quorum, so that wiped hosts cannot found the group a second time.
  bool IsFounding() const;
  size_t VoterCount() const;
  size_t Quorum() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

inline constexpr size_t kMaxGroupMembers = 19;

// The initial list: all hosts are voters, their disks not bound yet.
group_membership FoundingMembership(const std::vector<host_id>& hosts);

std::string EncodeMembership(const group_membership& membership);
result<group_membership> DecodeMembership(std::string_view bytes);

// E.g. "host-1 host-2 host-3(learner)".
std::string Describe(const group_membership& membership);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_GROUP_MEMBERSHIP_H_
