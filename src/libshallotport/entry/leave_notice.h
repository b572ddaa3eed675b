#ifndef SHALLOTPORT_ENTRY_LEAVE_NOTICE_H_
#define SHALLOTPORT_ENTRY_LEAVE_NOTICE_H_

#include <cstdint>

namespace shallotport {

class header_list;
struct wire_profile;

// What a response says about its endpoint's intention to stop.
enum class leave_notice : uint8_t {
  kAbsent,
  kLeaving,    // The endpoint wants no new requests.
  kMalformed,  // Present, but without a meaning: to be ignored.
};

// Reads the notice from the head of any response, refusals and errors included.
leave_notice ReadLeaveNotice(const header_list& headers,
                             const wire_profile& wire);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_LEAVE_NOTICE_H_
