#ifndef SHALLOTPORT_BASE_LOG_H_
#define SHALLOTPORT_BASE_LOG_H_

#include <string_view>

namespace shallotport {

// Sets up the process's log on standard error; `process` is put on each line.
void StartLog(std::string_view process);

// Writes one line. `duty` names the slice. Lines are for changes of state;
// what happens per request or per message is counted instead.
void LogStateChange(std::string_view duty, std::string_view text);

// Writes one line about something that needs an operator.
void LogWarning(std::string_view duty, std::string_view text);

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_LOG_H_
