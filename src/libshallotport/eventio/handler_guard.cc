#include "eventio/handler_guard.h"

#include <atomic>
#include <string>

#include "base/log.h"

namespace shallotport {

namespace {

std::atomic<uint64_t> failure_count{0};

}  // namespace

void RecordHandlerFailure(std::string_view source,
                          std::string_view reason) noexcept {
  failure_count.fetch_add(1, std::memory_order_relaxed);
  try {
    LogWarning(source, "unexpected exception: " + std::string(reason));
  } catch (...) {  // NOLINT(bugprone-empty-catch)
    // Counted; without memory nothing can be logged.
  }
}

uint64_t HandlerFailureCount() noexcept {
  return failure_count.load(std::memory_order_relaxed);
}

}  // namespace shallotport
