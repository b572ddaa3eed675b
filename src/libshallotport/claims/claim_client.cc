#include "claims/claim_client.h"

#include <array>

#include "base/codec.h"
#include "consensus/replicated_log.h"

namespace shallotport {
namespace {

struct error_mapping {
  claim_result result;
  error_kind kind;
  std::string_view detail;
};

constexpr std::array kErrorMappings{
    error_mapping{claim_result::kInProgress, error_kind::kInProgress,
                  "the first request with this key is still being executed"},
    error_mapping{claim_result::kOutcomeUnknown, error_kind::kOutcomeUnknown,
                  "the first request with this key may have run"},
    error_mapping{claim_result::kRequestDiffers, error_kind::kConflict,
                  "this key was used for another request"},
    error_mapping{claim_result::kExpired, error_kind::kKeyExpired,
                  "this key was settled too long ago to be answered again"},
    error_mapping{claim_result::kStorageFull, error_kind::kStorageFull,
                  "no room for a further idempotency key"},
    error_mapping{claim_result::kAttemptReleased,
                  error_kind::kDeadlineUnreachable,
                  "the attempt was given up before it was claimed"},
    error_mapping{claim_result::kStaleHost, error_kind::kShuttingDown,
                  "this host's claims were abandoned"},
};

}  // namespace

result<claim_reply> claim_client::Propose(const claim_command& command,
                                          steady_time deadline) {
  const auto reply =
      log_.Propose(replicated_slice::kClaims, Encode(command), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<claim_reply>(ValueOf(reply));
}

result<claim_reply> claim_client::Lookup(const claim_lookup& lookup,
                                         steady_time deadline) {
  const auto reply =
      log_.Query(replicated_slice::kClaims, Encode(lookup), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<claim_reply>(ValueOf(reply));
}

error ErrorOfResult(const claim_reply& reply) {
  for (const error_mapping& row : kErrorMappings) {
    if (row.result == reply.result) {
      return MakeError(row.kind, std::string(row.detail));
    }
  }
  return MakeError(error_kind::kInternal, "unexpected reply to a claim");
}

}  // namespace shallotport
