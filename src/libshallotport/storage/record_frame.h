#ifndef SHALLOTPORT_STORAGE_RECORD_FRAME_H_
#define SHALLOTPORT_STORAGE_RECORD_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotport {

// The framing of log and snapshot files, little-endian:
//   marker u32, length u32, checksum u64, synced u32, kind u8, payload.
// The checksum (XXH3, seeded with the length) covers all after itself.
inline constexpr size_t kFrameHeaderBytes = 21;
inline constexpr uint32_t kFrameMarker = 0x5a4c4853;
inline constexpr uint32_t kMaxFramePayload = 64u << 20;

// One decoded record; the payload points into the bytes it was decoded from.
struct record_frame {
  uint8_t kind = 0;
  // How much of the file was known to be synced when the record was written.
  uint32_t synced = 0;
  std::string_view payload;
};

void AppendFrame(std::string& out,
                 uint8_t kind,
                 uint32_t synced,
                 std::string_view payload);

// The record that begins at `offset` of `bytes`; nothing when it is cut short
// or damaged.
std::optional<record_frame> ParseFrame(std::string_view bytes, size_t offset);

// The payload length that a frame's first bytes state; 0 when cut short.
uint32_t FrameLength(std::string_view header);

// Bytes that a frame with this payload takes.
inline size_t FrameBytes(std::string_view payload) {
  return kFrameHeaderBytes + payload.size();
}

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_RECORD_FRAME_H_
