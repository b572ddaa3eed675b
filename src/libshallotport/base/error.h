#ifndef SHALLOTPORT_BASE_ERROR_H_
#define SHALLOTPORT_BASE_ERROR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotport {

// Every way in which a request, a command or a setting can fail. The list is
// closed: Answer() has one row for each kind.
enum class error_kind : uint8_t {
  kInvalidRequest,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kTooLarge,
  kOverLimit,
  kDeadlineUnreachable,
  kNoCapacity,
  kNoQuorum,
  kNotLeader,
  kShuttingDown,
  kStorageFull,
  kStorageFailed,
  kCorrupt,
  kInProgress,
  kKeyExpired,
  kOutcomeUnknown,
  kDeadlineExceeded,
  kEndpointFailed,
  kEndpointRefused,
  kCancelled,
  kInternal,
};

inline constexpr size_t kErrorKindCount = 23;

// What is known about the request's execution when it is answered with an
// error. kNotRun is a promise: no endpoint executed any part of it.
enum class run_outcome : uint8_t { kNotRun, kMayHaveRun, kRan };

// What the caller should do about an error.
enum class retry_advice : uint8_t {
  kNever,        // The same request fails again.
  kAfterDelay,   // Safe to resend after retry_after.
  kWithSameKey,  // Resend with the same Idempotency-Key to learn the outcome.
};

// One row of the answer table.
struct error_answer {
  error_kind kind;
  std::string_view code;  // Stable machine-readable name, e.g. "no_capacity".
  int http_status;
  retry_advice retry;
  run_outcome run;
};

// The row for `kind`.
const error_answer& Answer(error_kind kind);

// The kind whose code is `code`, or nothing for an unknown code.
std::optional<error_kind> KindOfCode(std::string_view code);

// Lower-case names used in HTTP answers, such as "may_have_run".
std::string_view NameOf(run_outcome run);
std::string_view NameOf(retry_advice advice);

// A failure as it travels between modules: the kind for programs, the detail
// for people, and when to come back (zero: no advice).
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;
  std::chrono::milliseconds retry_after{0};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_ERROR_H_
