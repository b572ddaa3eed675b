#ifndef SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_
#define SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_

#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// The way from any host to the replicated log. Thread-safe; calls block the
// calling thread until an answer or the deadline.
class replicated_log {
 public:
  virtual ~replicated_log() = default;

  // Has `command` committed and applied once, and returns its encoded reply.
  // kNoQuorum with detail "not proposed" and run not_run semantics is reported
  // as kNotLeader; kNoQuorum means that the command may still be committed.
  virtual result<std::string> Propose(replicated_slice slice,
                                      std::string command,
                                      steady_time deadline) = 0;

  // Answers from the leader's state, at least as new as any command whose
  // Propose() returned before this call began (linearizable).
  virtual result<std::string> Query(replicated_slice slice,
                                    std::string query,
                                    steady_time deadline) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICATED_LOG_H_
