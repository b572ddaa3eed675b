#include "transport/frame_codec.h"

#include <cstring>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes = kLengthBytes + kChecksumBytes;
// Consumed bytes are dropped from the buffer once they exceed this.
constexpr size_t kCompactBytes = 64 * 1024;

template <typename Number>
void AppendNumber(std::string& out, Number number) {
  char bytes[sizeof(number)];
  std::memcpy(bytes, &number, sizeof(number));
  out.append(bytes, sizeof(number));
}

template <typename Number>
Number ReadNumber(std::string_view bytes) {
  Number number{};
  std::memcpy(&number, bytes.data(), sizeof(number));
  return number;
}

result<peer_message> DecodeChecked(uint64_t checksum, std::string_view body) {
  if (HashOf(body) != checksum) {
    return MakeError(error_kind::kCorrupt, "peer message: bad checksum");
  }
  return Decode<peer_message>(body);
}

}  // namespace

std::string EncodeFrame(const peer_message& message) {
  const std::string body = Encode(message);
  std::string frame;
  frame.reserve(kHeaderBytes + body.size());
  AppendNumber(frame, static_cast<uint32_t>(body.size()));
  AppendNumber(frame, HashOf(body));
  frame += body;
  return frame;
}

std::string EncodeDatagram(const peer_message& message) {
  const std::string body = Encode(message);
  std::string datagram;
  datagram.reserve(kChecksumBytes + body.size());
  AppendNumber(datagram, HashOf(body));
  datagram += body;
  return datagram;
}

result<peer_message> DecodeDatagram(std::string_view bytes) {
  if (bytes.size() < kChecksumBytes) {
    return MakeError(error_kind::kCorrupt, "datagram ends early");
  }
  return DecodeChecked(ReadNumber<uint64_t>(bytes),
                       bytes.substr(kChecksumBytes));
}

result<std::optional<peer_message>> frame_reader::Next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.size() < kHeaderBytes) {
    return std::optional<peer_message>();
  }
  const auto length = ReadNumber<uint32_t>(rest);
  if (length > kMaxFrameBytes) {
    return MakeError(error_kind::kTooLarge, "peer frame exceeds its bound");
  }
  if (rest.size() < kHeaderBytes + length) {
    return std::optional<peer_message>();
  }
  const auto checksum = ReadNumber<uint64_t>(rest.substr(kLengthBytes));
  result<peer_message> message =
      DecodeChecked(checksum, rest.substr(kHeaderBytes, length));
  if (!IsOk(message)) {
    return ErrorOf(message);
  }
  consumed_ += kHeaderBytes + length;
  if (consumed_ > kCompactBytes) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  return std::optional<peer_message>(ValueOf(std::move(message)));
}

}  // namespace shallotport
