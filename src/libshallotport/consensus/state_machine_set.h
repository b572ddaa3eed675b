#ifndef SHALLOTPORT_CONSENSUS_STATE_MACHINE_SET_H_
#define SHALLOTPORT_CONSENSUS_STATE_MACHINE_SET_H_

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/consensus_core.h"
#include "consensus/log_entry.h"
#include "consensus/replicated_state.h"
#include "consensus/session_table.h"
#include "storage/snapshot_folder.h"

namespace shallotport {

// A consistent copy of all slices' states and the session table, which another
// thread writes to a snapshot file.
struct state_snapshot {
  snapshot_point point;
  std::string sessions;
  std::map<replicated_slice, std::unique_ptr<snapshot_writer>> writers;
};

// The replicated states of a member's slices, and the session table that
// ensures that each proposal is applied once.
class state_machine_set {
 public:
  // `state` is not owned.
  void Register(replicated_slice slice, replicated_state* state);

  // Applies one committed command and returns its reply. kOutcomeUnknown if a
  // later proposal of the same lane was applied before.
  result<std::string> Apply(const log_entry& entry);

  result<std::string> Query(replicated_slice slice,
                            std::string_view query) const;

  state_snapshot BeginSnapshot(snapshot_point point) const;

  // Replaces all states by those of a snapshot file, whose checksums are
  // verified first.
  result<snapshot_point> Load(const snapshot_folder& folder,
                              uint32_t group,
                              log_index index);

  // Dumps each slice's state below `out["states"]`; merges their counters into
  // `out["counters"]`.
  void WriteStates(nlohmann::json& out) const;

  uint64_t applied() const { return applied_; }
  uint64_t duplicates() const { return duplicates_; }
  uint64_t stale_commands() const { return stale_commands_; }
  size_t origins() const { return sessions_.size(); }

 private:
  std::map<replicated_slice, replicated_state*> states_;
  session_table sessions_;
  uint64_t applied_ = 0;
  uint64_t duplicates_ = 0;
  uint64_t stale_commands_ = 0;
};

// Writes a snapshot file and returns its size in bytes. Any thread.
result<uint64_t> WriteSnapshotFile(const snapshot_folder& folder,
                                   uint32_t group,
                                   state_snapshot& snapshot);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_STATE_MACHINE_SET_H_
