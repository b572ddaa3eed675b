#ifndef SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_
#define SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_

#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// Access to the replicated log. Thread-safe; calls block the calling thread
// until the reply or the deadline.
class replicated_log {
 public:
  virtual ~replicated_log() = default;

  // Commits and applies `command` once and returns its encoded reply. After
  // kNotLeader the command is guaranteed not to take effect (run outcome
  // not_run); after kNoQuorum it may still be committed.
  virtual result<std::string> Propose(replicated_slice slice,
                                      std::string command,
                                      steady_time deadline) = 0;

  // Queries the leader's state. Linearizable: the state includes every command
  // whose Propose() returned before this call began.
  virtual result<std::string> Query(replicated_slice slice,
                                    std::string query,
                                    steady_time deadline) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_
