#ifndef SHALLOTPORT_EVENTIO_RELAY_FRAMES_H_
#define SHALLOTPORT_EVENTIO_RELAY_FRAMES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "eventio/path_monitor.h"

namespace shallotport {

// What a relay sends to the host that opened a connection through it. A frame
// is its payload's length (4 bytes), kind (1 byte) and payload. Bytes in the
// other direction follow the request to open as they are.
enum class relay_frame : uint8_t {
  kOpened = 1,    // The endpoint accepted the connection.
  kRefused = 2,   // The endpoint's address refused it: nothing listens there.
  kNoAnswer = 3,  // It was neither accepted nor refused in time.
  kDeclined = 4,  // The relay opens no connection to this address, or now.
  kData = 5,      // What the endpoint sent.
  // The endpoint closed its side after all that it sent. Without this frame a
  // relayed connection that ends has broken.
  kEnd = 6,
  kLeaving = 7,  // The relay will stop: carry no further request through it.
};

inline constexpr size_t kMaxRelayPayload = 64u << 10;

// The request to open a connection: what the host sends first.
std::string EncodeRelayOpen(const endpoint_address& to);
// nullopt: more bytes are needed. Removes the request from `input`.
result<std::optional<endpoint_address>> ReadRelayOpen(std::string& input);

std::string EncodeRelayFrame(relay_frame kind, std::string_view payload = {});

// Splits what a relay sends into frames.
class relay_frame_reader {
 public:
  // Calls `on_frame` for each whole frame until it returns false; fails if the
  // bytes are no frames.
  status Feed(std::string_view bytes,
              const std::function<bool(relay_frame kind,
                                       std::string_view payload)>& on_frame);

 private:
  std::string input_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_RELAY_FRAMES_H_
