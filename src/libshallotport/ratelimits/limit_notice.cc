#include "ratelimits/limit_notice.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "eventio/http_types.h"

namespace shallotport {

namespace {

constexpr size_t kMaxLength = 32;

std::optional<double> ParseDecimal(std::string_view text) {
  const bool is_plain = !text.empty() && text.size() <= kMaxLength &&
                        std::all_of(text.begin(), text.end(), [](char c) {
                          return (c >= '0' && c <= '9') || c == '.';
                        });
  if (!is_plain) {
    return std::nullopt;
  }
  double value = 0;
  const char* end = text.data() + text.size();
  const auto read =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  return read.ec == std::errc() && read.ptr == end ? std::optional(value)
                                                   : std::nullopt;
}

}  // namespace

limit_notice ReadLimitNotice(const header_list& headers,
                             std::string_view name) {
  limit_notice notice;
  if (name.empty()) {
    return notice;
  }
  for (const auto& [field, value] : headers.fields()) {
    if (!EqualsIgnoringCase(field, name)) {
      continue;
    }
    const bool is_repeated = notice.kind != limit_notice_kind::kAbsent;
    const auto limit = ParseDecimal(value);
    notice = limit && !is_repeated
                 ? limit_notice{limit_notice_kind::kNamed, *limit}
                 : limit_notice{limit_notice_kind::kMalformed, 0};
  }
  return notice;
}

}  // namespace shallotport
