#include "entry/attempt_observation.h"

#include "base/digest.h"
#include "entry/endpoint_selector.h"
#include "entry/output_period.h"

namespace shallotport {

observed_attempt ObservationOf(const selected_endpoint& at,
                               const service_id& service,
                               std::string_view id,
                               steady_time begun_at,
                               const output_period& output,
                               const request_traits& traits) {
  return {{at.endpoint, at.start_time_ms},
          at.address,
          at.domain,
          service,
          HashOf(id),
          begun_at,
          traits,
          output.length()};
}

}  // namespace shallotport
