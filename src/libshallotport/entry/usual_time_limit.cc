#include "entry/usual_time_limit.h"

#include <algorithm>

namespace shallotport {

namespace {

// Bounds the time until a changed limit is learned, in requests.
constexpr uint32_t kMaxVotes = 20;
// Limits within this of the usual one belong to new requests.
constexpr std::chrono::milliseconds kTolerance{20};

}  // namespace

std::chrono::milliseconds usual_time_limit::RecordAndGetElapsed(
    const std::string& route,
    std::chrono::milliseconds time_limit) {
  if (time_limit.count() <= 0) {
    return std::chrono::milliseconds(0);
  }
  majority& usual = by_route_[route];
  if (usual.votes == 0) {
    usual.limit = time_limit;
  }
  if (usual.limit == time_limit) {
    usual.votes = std::min(usual.votes + 1, kMaxVotes);
  } else {
    --usual.votes;
  }
  const auto elapsed = usual.limit - time_limit;
  return elapsed > kTolerance ? elapsed : std::chrono::milliseconds(0);
}

}  // namespace shallotport
