#ifndef SHALLOTPORT_SHALLOTCTL_CONTROL_COMMANDS_H_
#define SHALLOTPORT_SHALLOTCTL_CONTROL_COMMANDS_H_

#include <cstdint>
#include <span>

#include "command.h"

namespace shallotport {

// history and diff.
std::span<const command> ControlCommands();

// Waits until all live hosts have the revision in force, 10 s at most, and
// prints what is so; kFailed when hosts are behind.
exit_code WaitUntilInForce(command_context& context, uint64_t revision);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTCTL_CONTROL_COMMANDS_H_
