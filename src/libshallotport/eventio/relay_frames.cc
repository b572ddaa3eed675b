#include "eventio/relay_frames.h"

#include <cstring>

#include "base/codec.h"

namespace shallotport {

namespace {

constexpr size_t kLengthBytes = sizeof(uint32_t);
constexpr size_t kFrameHeaderBytes = kLengthBytes + 1;
constexpr size_t kMaxOpenBytes = 256;

uint32_t ReadLength(std::string_view bytes) {
  uint32_t length = 0;
  std::memcpy(&length, bytes.data(), sizeof(length));
  return length;
}

std::string EncodeLength(size_t length) {
  const auto value = static_cast<uint32_t>(length);
  std::string out(kLengthBytes, '\0');
  std::memcpy(out.data(), &value, sizeof(value));
  return out;
}

struct open_request {
  std::string ip;
  uint16_t port = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

}  // namespace

std::string EncodeRelayOpen(const endpoint_address& to) {
  const std::string request = Encode(open_request{to.ip, to.port});
  return EncodeLength(request.size()) + request;
}

result<std::optional<endpoint_address>> ReadRelayOpen(std::string& input) {
  if (input.size() < kLengthBytes) {
    return std::optional<endpoint_address>();
  }
  const size_t length = ReadLength(input);
  if (length > kMaxOpenBytes) {
    return MakeError(error_kind::kCorrupt, "no request to open a connection");
  }
  if (input.size() < kLengthBytes + length) {
    return std::optional<endpoint_address>();
  }
  const auto request = DecodeGrowing<open_request>(
      std::string_view(input).substr(kLengthBytes, length));
  if (!IsOk(request)) {
    return ErrorOf(request);
  }
  input.erase(0, kLengthBytes + length);
  return std::optional<endpoint_address>(
      {ValueOf(request).ip, ValueOf(request).port});
}

std::string EncodeRelayFrame(relay_frame kind, std::string_view payload) {
  std::string out = EncodeLength(payload.size());
  out.push_back(static_cast<char>(kind));
  out.append(payload);
  return out;
}

status relay_frame_reader::Feed(
    std::string_view bytes,
    const std::function<bool(relay_frame kind, std::string_view payload)>&
        on_frame) {
  input_.append(bytes);
  size_t offset = 0;
  while (input_.size() - offset >= kFrameHeaderBytes) {
    const std::string_view rest = std::string_view(input_).substr(offset);
    const size_t length = ReadLength(rest);
    const auto kind = static_cast<uint8_t>(rest[kLengthBytes]);
    if (length > kMaxRelayPayload) {
      return MakeError(error_kind::kCorrupt, "relay frame too long");
    }
    if (rest.size() < kFrameHeaderBytes + length) {
      break;
    }
    offset += kFrameHeaderBytes + length;
    // Kinds of later builds are passed over.
    if (kind >= static_cast<uint8_t>(relay_frame::kOpened) &&
        kind <= static_cast<uint8_t>(relay_frame::kLeaving) &&
        !on_frame(static_cast<relay_frame>(kind),
                  rest.substr(kFrameHeaderBytes, length))) {
      break;
    }
  }
  input_.erase(0, offset);
  return success{};
}

}  // namespace shallotport
