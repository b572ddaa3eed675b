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
  kPingRequest,  // Requests that the receiver pings `subject`.
  kAck,          // Acknowledges a ping, directly or for `subject`.
  kNotice,       // Carries records only.
};

// One message of the membership protocol (peer_channel::kMembership). Every
// message carries the sender's own record and records of other hosts.
struct membership_message {
  membership_message_kind kind = membership_message_kind::kPing;
  domain_id domain;
  uint64_t sequence = 0;
  host_id subject;
  // The sender has no live peers or has just started, and asks for many
  // records.
  bool requests_many_records = false;
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
