#ifndef SHALLOTPORT_RATELIMITS_LIMIT_NOTICE_H_
#define SHALLOTPORT_RATELIMITS_LIMIT_NOTICE_H_

#include <cstdint>
#include <string_view>

namespace shallotport {

class header_list;

enum class limit_notice_kind : uint8_t {
  kAbsent,
  kNamed,
  kMalformed,  // Says nothing.
};

// What a response says of the requests that its endpoint takes.
struct limit_notice {
  limit_notice_kind kind = limit_notice_kind::kAbsent;
  double per_second = 0;  // From all hosts together; not negative.
};

// Reads the header field `name`: a decimal number such as "2.5", without a sign
// or an exponent. A field that is repeated, or is no such number, is malformed.
limit_notice ReadLimitNotice(const header_list& headers, std::string_view name);

}  // namespace shallotport

#endif  // SHALLOTPORT_RATELIMITS_LIMIT_NOTICE_H_
