#include "storage/record_frame.h"

#include <cstring>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr size_t kLengthOffset = 4;
constexpr size_t kChecksumOffset = 8;
constexpr size_t kCoveredOffset = 16;  // Where the checksummed part begins.
constexpr size_t kKindOffset = 20;

template <typename T>
void AppendNumber(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

template <typename T>
T NumberAt(std::string_view bytes, size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof(T));
  return value;
}

}  // namespace

void AppendFrame(std::string& out,
                 uint8_t kind,
                 uint32_t synced,
                 std::string_view payload) {
  const size_t begin = out.size();
  const auto length = static_cast<uint32_t>(payload.size());
  AppendNumber(out, kFrameMarker);
  AppendNumber(out, length);
  AppendNumber(out, uint64_t{0});
  AppendNumber(out, synced);
  AppendNumber(out, kind);
  out.append(payload);
  const std::string_view covered =
      std::string_view(out).substr(begin + kCoveredOffset);
  const uint64_t checksum = HashOf(covered, length);
  std::memcpy(out.data() + begin + kChecksumOffset, &checksum,
              sizeof(checksum));
}

uint32_t FrameLength(std::string_view header) {
  return header.size() < kFrameHeaderBytes
             ? 0
             : NumberAt<uint32_t>(header, kLengthOffset);
}

std::optional<record_frame> ParseFrame(std::string_view bytes, size_t offset) {
  if (offset > bytes.size() || bytes.size() - offset < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view frame = bytes.substr(offset);
  const auto length = NumberAt<uint32_t>(frame, kLengthOffset);
  if (NumberAt<uint32_t>(frame, 0) != kFrameMarker ||
      length > kMaxFramePayload || length > frame.size() - kFrameHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view covered =
      frame.substr(kCoveredOffset, kFrameHeaderBytes - kCoveredOffset + length);
  if (NumberAt<uint64_t>(frame, kChecksumOffset) != HashOf(covered, length)) {
    return std::nullopt;
  }
  record_frame parsed;
  parsed.kind = static_cast<uint8_t>(frame[kKindOffset]);
  parsed.synced = NumberAt<uint32_t>(frame, kCoveredOffset);
  parsed.payload = frame.substr(kFrameHeaderBytes, length);
  return parsed;
}

}  // namespace shallotport
