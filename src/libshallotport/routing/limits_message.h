#ifndef SHALLOTPORT_ROUTING_LIMITS_MESSAGE_H_
#define SHALLOTPORT_ROUTING_LIMITS_MESSAGE_H_

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// What a host would like to use of an account's limits beyond its own share.
struct limit_need {
  uint64_t account_hash = 0;
  float rate = 0;  // Requests per second.
  uint16_t concurrency = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account_hash, rate, concurrency);
  }
};

// What the sender lends to the receiver, in answer to its message with the
// sequence `echo`. The loan lasts kLoanTime from when that was sent.
struct limit_loan {
  uint64_t account_hash = 0;
  uint32_t request_sequence = 0;
  float rate = 0;
  uint16_t concurrency = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account_hash, request_sequence, rate, concurrency);
  }
};

// Sent on peer_channel::kLimits from one host to one other. All amounts are
// absolute: a message may be lost, repeated or overtaken.
struct limits_message {
  incarnation to_started = 0;  // Of the receiver, as the loans know it.
  uint32_t sequence = 0;
  std::vector<limit_need> needs;
  std::vector<limit_loan> loans;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(to_started, sequence, needs, loans);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_LIMITS_MESSAGE_H_
