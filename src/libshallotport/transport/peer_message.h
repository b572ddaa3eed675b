#ifndef SHALLOTPORT_TRANSPORT_PEER_MESSAGE_H_
#define SHALLOTPORT_TRANSPORT_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace shallotport {

// The duty at the receiving host that a peer message is for. Numbers are part
// of the protocol and never reused.
enum class peer_channel : uint8_t {
  kHeartbeat = 0,
  kMembership = 1,
  kEndpoints = 2,
  kConsensus = 3,
  kLogForwarding = 4,
  kConfiguration = 5,
  kBatchYield = 6,
  kLimits = 7,
  kSummaries = 8,
  kRequests = 9,
};

// One message between two hosts of ours, over TCP or UDP. The payload is the
// channel's own cereal-encoded message.
struct peer_message {
  peer_channel channel = peer_channel::kHeartbeat;
  host_id from;
  incarnation from_incarnation = 0;
  host_id to;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(channel, from, from_incarnation, to, payload);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_TRANSPORT_PEER_MESSAGE_H_
