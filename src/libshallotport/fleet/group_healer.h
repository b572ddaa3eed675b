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

// One step that brings a group nearer to its wanted members.
struct healing_step {
  membership_step step = membership_step::kAddLearner;
  host_id host;
};

// Decides how the leader of a consensus group changes its members: emptied
// members are taken in anew, a few live hosts stand by as learners, learners
// take the place of voters that are silent, and hosts that are retiring leave.
// Pure. The consensus core refuses steps that would lose the quorum.
class group_healer {
 public:
  struct options {
    size_t voters = 3;  // 2 * (losses to be borne) + 1.
    // Learners that hold the state already when a voter is lost. Each costs the
    // leader a copy of all that is committed.
    size_t standbys = 1;
    // A frozen or restarted voter is back within this time; replacing it
    // sooner would only copy the state for nothing.
    duration replace_after = std::chrono::seconds(3);
  };

  explicit group_healer(const options& options) : options_(options) {}

  // `live` are the hosts heard lately, `retiring` the names of those to leave.
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
