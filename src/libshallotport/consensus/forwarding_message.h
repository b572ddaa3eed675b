#ifndef SHALLOTPORT_CONSENSUS_FORWARDING_MESSAGE_H_
#define SHALLOTPORT_CONSENSUS_FORWARDING_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "consensus/log_entry.h"

namespace shallotport {

// Part of the message format: numbers are never reused.
enum class forwarded_call : uint8_t {
  kProposal = 1,
  kQuery = 2,
  kMembership = 3,
};

// A call to a member of the log. The reply carries the same `call_id`.
struct forwarding_request {
  uint64_t call_id = 0;
  forwarded_call kind = forwarded_call::kProposal;
  proposal content;   // For a query, `command` is the query.
  uint8_t step = 0;   // A membership_step, for kMembership.
  host_id step_host;  // The host that the step adds, promotes or removes.
  // The sender does not address the known leader: a follower relays the call.
  bool may_relay = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, kind, content, step, step_host, may_relay);
  }
};

// A member's reply, with the leader and the members that it knows.
struct forwarding_reply {
  uint64_t call_id = 0;
  bool is_ok = false;
  error_kind kind = error_kind::kInternal;
  std::string text;  // The encoded reply or the error's detail.
  host_id leader;
  std::vector<host_id> members;  // Empty if the host has no member.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call_id, is_ok, kind, text, leader, members);
  }
};

using forwarding_message = std::variant<forwarding_request, forwarding_reply>;

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_FORWARDING_MESSAGE_H_
