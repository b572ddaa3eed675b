#ifndef SHALLOTPORT_SHALLOTPORTD_FLEET_PROGRAM_H_
#define SHALLOTPORT_SHALLOTPORTD_FLEET_PROGRAM_H_

#include <span>
#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

// The roles of a fleet run in a program of their own, shallotport-fleet, which
// is installed beside shallotportd and needs fewer libraries. shallotportd
// hands their command lines over to it.

// True for "entry", "control" and "store".
bool IsFleetRole(std::string_view word);

// True when `text` has the fleet's settings format, lines KEY=VALUE, and not
// YAML.
bool HasFleetSettingsFormat(std::string_view text);

// Replaces this process by shallotport-fleet with `words` as its arguments.
// Returns only when the program cannot be started.
error RunFleetProgram(std::span<const std::string> words);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_FLEET_PROGRAM_H_
