#ifndef SHALLOTPORT_BASE_RESPONSE_HEAD_H_
#define SHALLOTPORT_BASE_RESPONSE_HEAD_H_

#include <cstdint>
#include <string_view>

namespace shallotport {

// What is wrong with the head of an HTTP/1.x response.
enum class head_fault : uint8_t {
  kNone,
  kStatusLine,  // Not that of HTTP/1.0 or 1.1.
  kStatus,      // Not from 100 to 599, or 101, which nobody asks for.
};

// Checks a response's head as it was received, up to and with its empty line
// (RFC 9112, section 4). HTTP libraries let some of these pass. Interim
// responses are heads of their own. Pure.
head_fault CheckResponseHead(std::string_view head);

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_RESPONSE_HEAD_H_
