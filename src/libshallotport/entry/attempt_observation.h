#ifndef SHALLOTPORT_ENTRY_ATTEMPT_OBSERVATION_H_
#define SHALLOTPORT_ENTRY_ATTEMPT_OBSERVATION_H_

#include <string_view>

#include "base/clock.h"
#include "poison/crash_observer.h"

namespace shallotport {

class output_period;
struct selected_endpoint;

// What crash_observer is told of an attempt of the request or item with this
// id. Refers to `traits`.
observed_attempt ObservationOf(const selected_endpoint& at,
                               const service_id& service,
                               std::string_view id,
                               steady_time begun_at,
                               const output_period& output,
                               const request_traits& traits);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ATTEMPT_OBSERVATION_H_
