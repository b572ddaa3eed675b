#ifndef SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "membership/host_record.h"

namespace shallotport {

enum class membership_message_kind : uint8_t {
  kPing,
  kPingRequest,  // Asks the receiver to ping `subject`.
  kAck,          // Answers a ping, directly or for `subject`.
  kNotice,       // Carries records only.
};

// One message of the membership protocol (peer_channel::kMembership). Every
// message carries the sender's own record and some of what it knows.
struct membership_message {
  membership_message_kind kind = membership_message_kind::kPing;
  domain_id domain;
  uint64_t sequence = 0;
  host_id subject;
  bool requests_many_records =
      false;  // The sender is new and asks for many records.
  std::vector<host_record> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, domain, sequence, subject, requests_many_records, records);
  }
};

std::string EncodeMembershipMessage(const membership_message& message);
result<membership_message> DecodeMembershipMessage(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
