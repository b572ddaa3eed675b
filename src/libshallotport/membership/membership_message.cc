#include "membership/membership_message.h"

#include "base/codec.h"

namespace shallotport {

std::string EncodeMembershipMessage(const membership_message& message) {
  return Encode(message);
}

result<membership_message> DecodeMembershipMessage(std::string_view bytes) {
  auto decoded = Decode<membership_message>(bytes);
  if (!IsOk(decoded)) {
    return decoded;
  }
  const membership_message& message = ValueOf(decoded);
  if (message.kind > membership_message_kind::kNotice) {
    return MakeError(error_kind::kCorrupt,
                     "membership message has an unknown kind");
  }
  for (const host_record& record : message.records) {
    if (record.state > host_state::kLeft) {
      return MakeError(error_kind::kCorrupt,
                       "membership message has an unknown host state");
    }
  }
  return decoded;
}

}  // namespace shallotport
