#include "base/error.h"

#include <array>

namespace shallotport {

namespace {

using enum error_kind;
using enum retry_advice;
using enum run_outcome;

constexpr std::array<error_answer, kErrorKindCount> kAnswers = {{
    {kInvalidRequest, "invalid_request", 400, kNever, kNotRun},
    {kUnauthenticated, "unauthenticated", 401, kNever, kNotRun},
    {kForbidden, "forbidden", 403, kNever, kNotRun},
    {kNotFound, "not_found", 404, kNever, kNotRun},
    {kConflict, "conflict", 409, kNever, kNotRun},
    {kTooLarge, "too_large", 413, kNever, kNotRun},
    {kOverLimit, "over_limit", 429, kAfterDelay, kNotRun},
    {kDeadlineUnreachable, "deadline_unreachable", 503, kAfterDelay, kNotRun},
    {kNoCapacity, "no_capacity", 503, kAfterDelay, kNotRun},
    {kNoQuorum, "no_quorum", 503, kWithSameKey, kMayHaveRun},
    {kNotLeader, "not_leader", 503, kAfterDelay, kNotRun},
    {kShuttingDown, "shutting_down", 503, kAfterDelay, kNotRun},
    {kStorageFull, "storage_full", 507, kAfterDelay, kNotRun},
    {kStorageFailed, "storage_failed", 500, kWithSameKey, kMayHaveRun},
    {kCorrupt, "corrupt", 500, kNever, kMayHaveRun},
    {kInProgress, "in_progress", 409, kWithSameKey, kMayHaveRun},
    {kKeyExpired, "key_expired", 410, kNever, kMayHaveRun},
    {kOutcomeUnknown, "outcome_unknown", 504, kWithSameKey, kMayHaveRun},
    {kDeadlineExceeded, "deadline_exceeded", 504, kWithSameKey, kMayHaveRun},
    {kEndpointFailed, "endpoint_failed", 502, kWithSameKey, kMayHaveRun},
    {kEndpointRefused, "endpoint_refused", 502, kNever, kNotRun},
    {kCancelled, "cancelled", 409, kNever, kMayHaveRun},
    {kInternal, "internal", 500, kWithSameKey, kMayHaveRun},
}};

constexpr bool IsTableInOrder() {
  for (size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<size_t>(kAnswers[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInOrder(), "kAnswers has one row per kind, in order");

}  // namespace

const error_answer& Answer(error_kind kind) {
  return kAnswers[static_cast<size_t>(kind)];
}

std::optional<error_kind> KindOfCode(std::string_view code) {
  for (const error_answer& answer : kAnswers) {
    if (answer.code == code) {
      return answer.kind;
    }
  }
  return std::nullopt;
}

std::string_view NameOf(run_outcome run) {
  constexpr std::array<std::string_view, 3> kNames = {"not_run", "may_have_run",
                                                      "ran"};
  return kNames[static_cast<size_t>(run)];
}

std::string_view NameOf(retry_advice advice) {
  constexpr std::array<std::string_view, 3> kNames = {"never", "after_delay",
                                                      "with_same_key"};
  return kNames[static_cast<size_t>(advice)];
}

}  // namespace shallotport
