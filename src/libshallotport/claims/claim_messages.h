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

// Names a claim: the digest of an account and its Idempotency-Key.
using claim_key = claim_digest;

claim_key MakeClaimKey(const account_id& account,
                       std::string_view idempotency_key);

// Digest of what the caller asked for, to tell a resend from a reused key.
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

// An endpoint's whole answer as it is given to resends.
struct claim_response {
  uint16_t http_status = 0;
  std::vector<claim_header> headers;
  std::string body;
  bool is_body_dropped = false;  // It was larger than kMaxResponseBytes.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(http_status, headers, body, is_body_dropped);
  }
};

// Bytes of one recorded answer: headers and body.
inline constexpr size_t kMaxResponseBytes = 16U << 10U;
size_t SizeOf(const claim_response& response);

// Asks for the right to send one call. The proposer sends it only on kGranted,
// and only while its own clock, read before proposing, allows.
struct claim_begin {
  claim_key key;
  claim_digest request;
  host_id host;
  incarnation host_incarnation = 0;
  attempt_id attempt;
  endpoint_id endpoint;         // Where the call is meant to go, when known.
  int64_t open_timeout_ms = 0;  // The holder has settled the claim by then.
  int64_t retention_ms = 0;     // How long the claim and its answer are kept.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, request, host, host_incarnation, attempt, endpoint,
            open_timeout_ms, retention_ms);
  }
};

// Records the answer of the granted attempt.
struct claim_finish {
  claim_key key;
  attempt_id attempt;
  claim_response response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, response);
  }
};

// States that the attempt was never sent and never will be. It may come before
// its own begin, which is then refused.
struct claim_release {
  claim_key key;
  attempt_id attempt;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt);
  }
};

// States that the host's incarnations up to this one settle nothing any more.
struct claim_abandon {
  host_id host;
  incarnation host_incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation);
  }
};

// Records an answer that an endpoint remembered for an unknown outcome.
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

// Asks what a resend would be told, without claiming.
struct claim_lookup {
  claim_key key;
  claim_digest request;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, request);
  }
};

enum class claim_result : uint8_t {
  kGranted = 0,           // Begin: send the call.
  kResponseRecorded = 1,  // The recorded answer is in the reply.
  kInProgress = 2,        // Another attempt holds the claim.
  kOutcomeUnknown = 3,    // The holder is gone; the call may have run.
  kRequestDiffers = 4,    // The key was used for another request.
  kExpired = 5,           // The key was settled longer ago than its horizon.
  kStorageFull = 6,       // No room for a further claim.
  kAttemptReleased = 7,   // The attempt's own release came first.
  kStaleHost = 8,         // The host's incarnation was abandoned.
  kApplied = 9,           // Finish, release, abandon, resolve: in force.
  kNotHolder = 10,        // Finish, release: another attempt has the claim.
  kUnclaimed = 11,        // Lookup: nothing is known about the key.
  kMalformed = 12,
};

struct claim_reply {
  claim_result result = claim_result::kMalformed;
  host_id holder;                     // kInProgress, kOutcomeUnknown.
  endpoint_id endpoint;               // kInProgress, kOutcomeUnknown.
  incarnation known_incarnation = 0;  // kStaleHost: a higher one is needed.
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
