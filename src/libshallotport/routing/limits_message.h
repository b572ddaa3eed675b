#ifndef SHALLOTPORT_ROUTING_LIMITS_MESSAGE_H_
#define SHALLOTPORT_ROUTING_LIMITS_MESSAGE_H_

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// Amount of an account's limits that a host needs beyond its own share.
struct limit_need {
  uint64_t account_hash = 0;
  float rate = 0;  // Requests per second.
  uint16_t concurrency = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account_hash, rate, concurrency);
  }
};

// Loan from the sender to the receiver, in reply to the receiver's message with
// the sequence `request_sequence`. It expires kLoanDuration after the receiver
// sent that message.
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

// Sent on peer_channel::kLimits from one host to another. All amounts are
// absolute, so messages may be lost, repeated or reordered.
struct limits_message {
  incarnation to_started = 0;  // Receiver's incarnation.
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
