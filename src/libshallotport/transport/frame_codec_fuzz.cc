#include <cstddef>
#include <cstdint>
#include <string_view>

#include "transport/frame_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  shallotport::frame_reader reader;
  reader.AddBytes(bytes);
  while (true) {
    const auto next = reader.Next();
    if (!shallotport::IsOk(next) || !shallotport::ValueOf(next)) {
      break;
    }
  }
  (void)shallotport::DecodeDatagram(bytes);
  return 0;
}
