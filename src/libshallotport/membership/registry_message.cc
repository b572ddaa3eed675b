#include "membership/registry_message.h"

#include "base/codec.h"

namespace shallotport {

std::string EncodeRegistryMessage(const registry_message& message) {
  return Encode(message);
}

result<registry_message> DecodeRegistryMessage(std::string_view bytes) {
  return Decode<registry_message>(bytes);
}

}  // namespace shallotport
