#ifndef SHALLOTPORT_POISON_REQUEST_TRAITS_H_
#define SHALLOTPORT_POISON_REQUEST_TRAITS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "poison/prompt_parts.h"

namespace shallotport {

struct inbound_request;

// Hash of what stays the same when a caller sends a request again; 0: none.
using request_digest = uint64_t;

// What a request may have in common with others under which endpoints crash.
struct request_traits {
  std::vector<prompt_part> parts;  // Shared ones, in the prompt's order.
  // 0 for batch items, which are owed whatever endpoints do under them.
  request_digest digest = 0;

  bool IsEmpty() const { return parts.empty() && digest == 0; }
};

// One of a request's traits.
struct crash_key {
  enum class kind : uint8_t {
    kPart,
    kRequest,  // All of it.
  };

  uint64_t value = 0;
  kind what = kind::kPart;

  auto operator<=>(const crash_key&) const = default;
};

// Digest of method, path, query, body and of the header fields that name the
// caller and the prompt: the credentials, the host, `prompt_field` and
// `account_field`, which replaces the credentials where the configuration has
// accounts. Fields
// that change from one attempt to the next, such as the id, the time limit or
// the point at which a stream is resumed, have no effect; neither has the order
// of fields, nor whether the body was sent in chunks.
request_digest DigestOf(const inbound_request& request,
                        std::string_view prompt_field,
                        std::string_view account_field = {});

std::string FormatDigest(request_digest digest);

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_REQUEST_TRAITS_H_
