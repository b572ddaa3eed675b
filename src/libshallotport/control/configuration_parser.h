#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_PARSER_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_PARSER_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "control/configuration.h"

namespace shallotport {

// Reads and checks the YAML form of a configuration. On failure the detail has
// one line "FILE:LINE: KEY: problem; expected ..." for every problem: unknown
// key, wrong type, value out of range, duplicate name, dangling reference.
// `file` is only used in these lines.
result<configuration> ParseConfiguration(std::string_view text,
                                         std::string_view file);

// The YAML form, with every key written out. ParseConfiguration() reads it
// back as an equal configuration if that is valid and sorted by id.
std::string PrintConfiguration(const configuration& config);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_PARSER_H_
