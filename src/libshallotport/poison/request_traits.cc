#include "poison/request_traits.h"

#include <algorithm>
#include <cstdio>

#include "base/digest.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

constexpr std::string_view kCallerFields[] = {"Host", "Authorization",
                                              "Cookie"};

}  // namespace

request_digest DigestOf(const inbound_request& request,
                        std::string_view prompt_field,
                        std::string_view account_field) {
  uint64_t digest = HashOf(request.method);
  digest = HashOf(request.target, digest);
  const auto add_field = [&](std::string_view name) {
    if (const std::string* value = request.headers.Find(name)) {
      digest = HashOf(*value, HashOf(name, digest));
    }
  };
  for (const std::string_view name : kCallerFields) {
    add_field(name);
  }
  for (const std::string_view name : {prompt_field, account_field}) {
    if (!name.empty()) {
      add_field(name);
    }
  }
  digest = HashOf(request.body, digest);
  return std::max<request_digest>(digest, 1);
}

std::string FormatDigest(request_digest digest) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(digest));
  return digits;
}

}  // namespace shallotport
