#ifndef SHALLOTPORT_MEMBERSHIP_HOST_RECORD_H_
#define SHALLOTPORT_MEMBERSHIP_HOST_RECORD_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace shallotport {

// Ordered by precedence among records of the same refutation number.
enum class host_state : uint8_t { kAlive, kSuspect, kDown, kLeft };

// The state of one host of a failure domain, as known to another one. Records
// of the same host are totally ordered, so hosts that have received the same
// records agree, in whatever order these arrived.
struct host_record {
  host_id id;
  std::string address;      // "IP:port" of its peer interface.
  incarnation started = 0;  // 0: known from the settings only.
  uint32_t refutation = 0;  // Increased by the host to refute a suspicion.
  host_state state = host_state::kAlive;

  // Whether this record replaces `other`, a record of the same host. Leaving is
  // final within an incarnation.
  bool Supersedes(const host_record& other) const {
    const auto rank = [](const host_record& record) {
      return std::tuple(record.started, record.state == host_state::kLeft,
                        record.refutation, record.state);
    };
    return rank(*this) > rank(other);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, address, started, refutation, state);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_HOST_RECORD_H_
