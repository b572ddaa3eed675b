#include "fleet/fleet_messages.h"

#include "base/digest.h"

namespace shallotport {

uint32_t LoadKey(const endpoint_id& endpoint) {
  return static_cast<uint32_t>(HashOf(endpoint.text()));
}

}  // namespace shallotport
