#include "entry/leave_notice.h"

#include <string_view>

#include "entry/wire_profile.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

constexpr std::string_view kLeavingValue = "1";

}  // namespace

leave_notice ReadLeaveNotice(const header_list& headers,
                             const wire_profile& wire) {
  leave_notice notice = leave_notice::kAbsent;
  if (wire.leaving.empty()) {
    return notice;
  }
  for (const auto& [name, value] : headers.fields()) {
    if (!EqualsIgnoringCase(name, wire.leaving)) {
      continue;
    }
    const bool is_repeated = notice != leave_notice::kAbsent;
    notice = !is_repeated && value == kLeavingValue ? leave_notice::kLeaving
                                                    : leave_notice::kMalformed;
  }
  return notice;
}

}  // namespace shallotport
