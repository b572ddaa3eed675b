#ifndef SHALLOTPORT_ENTRY_LIMIT_LOG_H_
#define SHALLOTPORT_ENTRY_LIMIT_LOG_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"

namespace shallotport {

class decision_log;
class endpoint_limits;
class header_list;
struct endpoint_start;

enum class limit_read : uint8_t { kUnchanged, kChanged, kMalformed };

// Records what the headers of an endpoint's response say of its limit in the
// field `name`. A malformed field changes nothing.
limit_read RecordLimit(steady_time now,
                       const endpoint_start& start,
                       const header_list& headers,
                       std::string_view name,
                       endpoint_limits& limits);

// Logs the limit of an endpoint, or that it has none any more.
void LogLimit(decision_log& log,
              const endpoint_start& start,
              const endpoint_limits& limits);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_LIMIT_LOG_H_
