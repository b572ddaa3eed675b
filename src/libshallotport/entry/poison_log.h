#ifndef SHALLOTPORT_ENTRY_POISON_LOG_H_
#define SHALLOTPORT_ENTRY_POISON_LOG_H_

namespace shallotport {

class decision_log;
struct block_change;

// Logs that requests with a part of a prompt are refused from now on, and on
// what evidence, or that they are not any more.
void LogBlockChange(decision_log& log, const block_change& change);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_POISON_LOG_H_
