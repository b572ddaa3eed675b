#ifndef SHALLOTPORT_ENTRY_RETRY_AFTER_H_
#define SHALLOTPORT_ENTRY_RETRY_AFTER_H_

#include <cstdint>
#include <string>

namespace shallotport {

// The value of the header field that tells a refused caller when to return, in
// seconds: 1500 -> "1.500".
std::string FormatSeconds(int64_t milliseconds);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_RETRY_AFTER_H_
