#ifndef SHALLOTPORT_SHALLOTCTL_ORDER_COMMANDS_H_
#define SHALLOTPORT_SHALLOTCTL_ORDER_COMMANDS_H_

#include <span>

#include "command.h"

namespace shallotport {

// orders and order.
std::span<const command> OrderCommands();

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTCTL_ORDER_COMMANDS_H_
