#ifndef SHALLOTPORT_ENTRY_POISON_LOG_H_
#define SHALLOTPORT_ENTRY_POISON_LOG_H_

namespace shallotport {

class crash_observer;
class decision_log;
struct block_change;

// Logs that requests with a part of a prompt are refused from now on, and on
// what evidence, or that they are not any more.
void LogBlockChange(decision_log& log, const block_change& change);

// Logs each attempt that breaks since its endpoint has ended: for how long it
// had run and put out text, and the parts of its prompt.
void LogCrashes(crash_observer& observer, decision_log& log);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_POISON_LOG_H_
