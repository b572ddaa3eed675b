#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "eventio/relay_frames.h"

// Reads arbitrary bytes as a request to open a connection and as the frames of
// a relay. No payload exceeds the bound.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::string input(bytes);
  (void)ReadRelayOpen(input);
  relay_frame_reader reader;
  (void)reader.Feed(bytes, [](relay_frame, std::string_view payload) {
    if (payload.size() > kMaxRelayPayload) {
      __builtin_trap();
    }
    return true;
  });
  return 0;
}
