#ifndef SHALLOTPORT_TRANSPORT_FRAME_CODEC_H_
#define SHALLOTPORT_TRANSPORT_FRAME_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "transport/peer_message.h"

namespace shallotport {

// Largest encoded peer message on a TCP connection, in bytes.
inline constexpr size_t kMaxFrameBytes = 8 * 1024 * 1024;
// Largest encoded peer message in a UDP datagram, in bytes.
inline constexpr size_t kMaxDatagramBytes = 8 * 1024;

// One frame: length (4 bytes), XXH3 checksum (8 bytes), encoded message.
std::string EncodeFrame(const peer_message& message);

// The datagram form has no length: checksum (8 bytes), encoded message.
std::string EncodeDatagram(const peer_message& message);
result<peer_message> DecodeDatagram(std::string_view bytes);

// Cuts the byte stream of one TCP connection into messages. After the first
// error the connection is of no more use.
class frame_reader {
 public:
  void AddBytes(std::string_view bytes) { buffer_.append(bytes); }

  // The next whole message; nothing when more bytes are needed; kCorrupt for a
  // bad checksum or message, kTooLarge for a length above kMaxFrameBytes.
  result<std::optional<peer_message>> Next();

 private:
  std::string buffer_;
  size_t consumed_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_TRANSPORT_FRAME_CODEC_H_
