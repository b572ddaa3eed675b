#ifndef SHALLOTPORT_EVENTIO_STREAM_END_H_
#define SHALLOTPORT_EVENTIO_STREAM_END_H_

#include <chrono>
#include <cstdint>

namespace shallotport {

enum class stream_end : uint8_t {
  kUndecided,  // Ask again after kStreamEndCheckInterval.
  kOrderly,    // The peer has sent all that it wanted to send.
  kBroken,
};

// What is known of a connection after a read has met its end.
struct stream_end_facts {
  bool has_failed = false;  // A write has, or the connection was aborted.
  // Nothing is left to send, and the peer has acknowledged all of it.
  bool is_all_acknowledged = false;
  uint32_t checks = 0;  // Made before, kStreamEndCheckInterval apart.
};

inline constexpr std::chrono::milliseconds kStreamEndCheckInterval{5};

// Whether a body that only the end of its connection delimits is whole. An
// endpoint may end its side before it has read all of a request. The end of its
// process looks the same, until its host resets the connection because more of
// the request arrives. Pure.
stream_end JudgeStreamEnd(const stream_end_facts& facts);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_STREAM_END_H_
