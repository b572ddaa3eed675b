#include "claims/claim_client.h"

#include <array>

#include "base/codec.h"
#include "consensus/replicated_log.h"

namespace shallotport {
namespace {

struct verdict_error {
  claim_verdict verdict;
  error_kind kind;
  std::string_view detail;
};

constexpr std::array kVerdictErrors{
    verdict_error{claim_verdict::kInProgress, error_kind::kInProgress,
                  "the first request with this key is still being executed"},
    verdict_error{claim_verdict::kOutcomeUnknown, error_kind::kOutcomeUnknown,
                  "the first request with this key may have run"},
    verdict_error{claim_verdict::kRequestDiffers, error_kind::kConflict,
                  "this key was used for another request"},
    verdict_error{claim_verdict::kExpired, error_kind::kKeyExpired,
                  "this key was settled too long ago to be answered again"},
    verdict_error{claim_verdict::kStorageFull, error_kind::kStorageFull,
                  "no room for a further idempotency key"},
    verdict_error{claim_verdict::kAttemptReleased,
                  error_kind::kDeadlineUnreachable,
                  "the attempt was given up before it was claimed"},
    verdict_error{claim_verdict::kStaleHost, error_kind::kShuttingDown,
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

error ErrorOfVerdict(const claim_reply& reply) {
  for (const verdict_error& row : kVerdictErrors) {
    if (row.verdict == reply.verdict) {
      return MakeError(row.kind, std::string(row.detail));
    }
  }
  return MakeError(error_kind::kInternal, "unexpected reply to a claim");
}

}  // namespace shallotport
