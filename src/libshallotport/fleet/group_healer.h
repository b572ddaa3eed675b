#ifndef SHALLOTPORT_FLEET_GROUP_HEALER_H_
#define SHALLOTPORT_FLEET_GROUP_HEALER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "consensus/consensus_core.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

// One membership change that brings a group closer to its target membership.
struct healing_step {
  membership_step step = membership_step::kAddLearner;
  host_id host;
};

// Decides how the leader of a consensus group changes its members: wiped
// members are removed and added again, some live hosts are kept as standby
// learners, learners replace unresponsive voters, and retiring hosts are
// removed. Pure. The consensus core refuses steps that would lose the quorum.
class group_healer {
 public:
  struct options {
    size_t voters = 3;  // 2 * (tolerated losses) + 1.
    // Learners that already hold the state when a voter is lost. Each costs the
    // leader a copy of everything that is committed.
    size_t standbys = 1;
    // A stalled or restarted voter is back within this time; replacing it
    // sooner would copy the state for nothing.
    duration replace_after = std::chrono::seconds(3);
  };

  explicit group_healer(const options& options) : options_(options) {}

  // `live`: hosts with a recent announcement; `retiring`: names of hosts to be
  // removed.
  std::optional<healing_step> NextStep(
      steady_time now,
      const std::vector<member_report>& members,
      const std::vector<host_announcement>& live,
      const std::set<std::string>& retiring);

 private:
  struct group_view;

  std::optional<healing_step> RemoveWiped(const group_view& group) const;
  std::optional<healing_step> AddStandby(const group_view& group) const;
  std::optional<healing_step> PromoteStandby(const group_view& group) const;
  std::optional<healing_step> RemoveSurplus(const group_view& group) const;

  const options options_;
  std::map<host_id, steady_time> silent_since_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_GROUP_HEALER_H_
