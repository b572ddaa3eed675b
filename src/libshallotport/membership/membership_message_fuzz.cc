#include <cstddef>
#include <cstdint>
#include <string_view>

#include "membership/domain_summary.h"
#include "membership/membership_message.h"
#include "membership/registry_message.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  switch (data[0] % 3) {
    case 0:
      shallotport::DecodeMembershipMessage(bytes);
      break;
    case 1:
      shallotport::DecodeRegistryMessage(bytes);
      break;
    default:
      shallotport::DecodeSummaryMessage(bytes);
      break;
  }
  return 0;
}
