#ifndef SHALLOTPORT_CLAIMS_CLAIM_MESSAGES_H_
#define SHALLOTPORT_CLAIMS_CLAIM_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// 128 bits of a SHA-256 digest.
struct claim_digest {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const claim_digest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

// Identifies a claim: the digest of an account and its Idempotency-Key.
using claim_key = claim_digest;

claim_key MakeClaimKey(const account_id& account,
                       std::string_view idempotency_key);

// Digest of the caller's request; it tells a resend from a different request
// under the same key.
claim_digest MakeRequestDigest(std::string_view method,
                               std::string_view path,
                               std::string_view body);

struct claim_header {
  std::string name;
  std::string value;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

// An endpoint's complete HTTP response, returned to resends.
struct claim_response {
  uint16_t http_status = 0;
  std::vector<claim_header> headers;
  std::string body;
  bool is_body_dropped = false;  // Too large, or no storage was left.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(http_status, headers, body, is_body_dropped);
  }
};

// Limit of one recorded response, headers and body together.
inline constexpr size_t kMaxResponseBytes = 16U << 10U;
size_t SizeOf(const claim_response& response);

// Asks for permission to send one call. The proposer sends it only on kGranted,
// and only before the send deadline that it set, by its own clock, before it
// proposed.
struct claim_begin {
  claim_key key;
  claim_digest request;
  host_id host;
  incarnation host_incarnation = 0;
  attempt_id attempt;
  endpoint_id endpoint;         // The selected endpoint, when known.
  int64_t open_timeout_ms = 0;  // After it, the outcome is unknown.
  int64_t retention_ms = 0;     // How long claim and response are kept.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, request, host, host_incarnation, attempt, endpoint,
            open_timeout_ms, retention_ms);
  }
};

// Records the response to the granted attempt.
struct claim_finish {
  claim_key key;
  attempt_id attempt;
  claim_response response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, response);
  }
};

// States that the attempt was never executed and never will be. It may arrive
// before the attempt's claim_begin, which is then refused.
struct claim_release {
  claim_key key;
  attempt_id attempt;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt);
  }
};

// Makes the outcome of all open claims unknown that the host's incarnations up
// to this one hold, and refuses new claims by them.
struct claim_abandon {
  host_id host;
  incarnation host_incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation);
  }
};

// Records the response that an endpoint remembers, for a claim whose outcome is
// unknown.
struct claim_resolve {
  claim_key key;
  claim_response response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, response);
  }
};

using claim_command = std::variant<claim_begin,
                                   claim_finish,
                                   claim_release,
                                   claim_abandon,
                                   claim_resolve>;

// Queries which result a resend would get, without claiming.
struct claim_lookup {
  claim_key key;
  claim_digest request;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, request);
  }
};

enum class claim_result : uint8_t {
  kGranted = 0,           // Begin: the call may be sent.
  kResponseRecorded = 1,  // The reply carries the recorded response.
  kInProgress = 2,        // Another attempt holds the claim.
  kOutcomeUnknown = 3,    // The call may have been executed.
  kRequestDiffers = 4,    // The key was used for another request.
  kExpired = 5,           // The key's claim is past its retention time.
  kStorageFull = 6,       // A limit of claim_limits is reached.
  kAttemptReleased = 7,   // Begin: the attempt's release came first.
  kStaleHost = 8,         // Begin: the host's incarnation is abandoned.
  kApplied = 9,           // Finish, release, abandon, resolve: took effect.
  kNotHolder = 10,        // The attempt holds no claim that this can settle.
  kUnclaimed = 11,        // Lookup: no claim of the key is stored.
  kMalformed = 12,
};

struct claim_reply {
  claim_result result = claim_result::kMalformed;
  host_id holder;                     // kInProgress, kOutcomeUnknown.
  endpoint_id endpoint;               // kInProgress, kOutcomeUnknown.
  incarnation known_incarnation = 0;  // kStaleHost: the lowest one accepted.
  std::optional<claim_response> response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(result, holder, endpoint, known_incarnation, response);
  }
};

}  // namespace shallotport

template <>
struct std::hash<shallotport::claim_digest> {
  size_t operator()(const shallotport::claim_digest& digest) const noexcept {
    return digest.low;
  }
};

#endif  // SHALLOTPORT_CLAIMS_CLAIM_MESSAGES_H_
