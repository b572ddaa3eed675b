#ifndef SHALLOTPORT_SCENARIOS_SCENARIO_FILE_H_
#define SHALLOTPORT_SCENARIOS_SCENARIO_FILE_H_

#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

// Plays a scenario (docs/SCENARIOS.md). The error's detail is
// "FILE:LINE: what is wrong", for a mistake in the file as for an expectation
// that does not hold.
status PlayScenario(std::string_view text, std::string_view file);

// Reads and plays the file at `path`.
status PlayScenarioFile(const std::string& path);

}  // namespace shallotport

#endif  // SHALLOTPORT_SCENARIOS_SCENARIO_FILE_H_
