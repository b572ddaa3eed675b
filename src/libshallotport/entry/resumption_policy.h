#ifndef SHALLOTPORT_ENTRY_RESUMPTION_POLICY_H_
#define SHALLOTPORT_ENTRY_RESUMPTION_POLICY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "entry/route_table.h"
#include "streams/stream_messages.h"

namespace shallotport {

// What a host knows when a caller resumes a stream.
struct resumption_facts {
  // Services that the route allows now.
  std::span<const weighted_service> services;
  std::optional<stream_origin> origin;
  // Of the route's sole service, if the route had no other service, and that
  // no other version, while any stream that can be resumed may have begun.
  std::optional<std::string> sole_version;
  // This host has heard of all endpoints: every control host confirmed it after
  // the request was received.
  bool is_view_complete = false;
  // True if an endpoint of that service and version is ready.
  std::function<bool(const stream_origin& origin)> is_serving;
};

enum class resumption_result : uint8_t {
  kResume,
  kOriginUnknown,
  kServiceNotAllowed,  // By the route; it was when the stream began.
  kVersionGone,        // No endpoint of the origin's version is ready.
};

struct resumption_decision {
  resumption_result result = resumption_result::kOriginUnknown;
  stream_origin origin;  // Unless it is unknown.
};

// The only service that the route allows; null if there are several.
const service_id* SoleService(std::span<const weighted_service> services);

// Decides whether, and at which endpoints, a stream that began in another
// request of its caller may be resumed. An origin that is unknown is never
// guessed: what endpoints of two versions send does not fit together. Pure.
resumption_decision DecideResumption(const resumption_facts& facts);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_RESUMPTION_POLICY_H_
