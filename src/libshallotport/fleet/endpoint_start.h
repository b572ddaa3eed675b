#ifndef SHALLOTPORT_FLEET_ENDPOINT_START_H_
#define SHALLOTPORT_FLEET_ENDPOINT_START_H_

#include <cstdint>

#include "base/digest.h"
#include "base/ids.h"

namespace shallotport {

// One start of an endpoint. Its id and its address may be used again by a later
// one.
struct endpoint_start {
  endpoint_id endpoint;
  uint64_t start_time_ms = 0;  // As in its reports.

  auto operator<=>(const endpoint_start&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, start_time_ms);
  }
};

// Key of a start in messages between hosts.
inline uint64_t StartKey(const endpoint_start& start) {
  return HashOf(start.endpoint.text(), start.start_time_ms);
}

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_ENDPOINT_START_H_
