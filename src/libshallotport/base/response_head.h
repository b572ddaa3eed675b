#ifndef SHALLOTPORT_BASE_RESPONSE_HEAD_H_
#define SHALLOTPORT_BASE_RESPONSE_HEAD_H_

#include <cstdint>
#include <string_view>

namespace shallotport {

// What is wrong with the head of an HTTP/1.x response.
enum class head_fault : uint8_t {
  kNone,
  kStatusLine,      // Not that of HTTP/1.0 or 1.1.
  kStatus,          // Not from 100 to 599, or 101, which nobody asks for.
  kField,           // A name that is no token, a control byte, a folded line.
  kContentLength,   // No number, or several that differ.
  kTransferCoding,  // Other than "chunked", or beside a length.
};

// Checks a response's head as it was received, up to and with its empty line
// (RFC 9112, sections 4 to 6). HTTP libraries let some of these pass, and then
// misread where the body ends or which fields there are. Interim responses are
// heads of their own. Pure.
head_fault CheckResponseHead(std::string_view head);

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_RESPONSE_HEAD_H_
