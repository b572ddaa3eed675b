#include "eventio/stream_end.h"

namespace shallotport {

namespace {

// Many round trips within a region.
constexpr std::chrono::milliseconds kResetDelay{50};
constexpr uint32_t kMaxChecks = kResetDelay / kStreamEndCheckInterval;

}  // namespace

stream_end JudgeStreamEnd(const stream_end_facts& facts) {
  if (facts.has_failed) {
    return stream_end::kBroken;
  }
  const bool is_decided =
      facts.is_all_acknowledged || facts.checks >= kMaxChecks;
  return is_decided ? stream_end::kOrderly : stream_end::kUndecided;
}

}  // namespace shallotport
