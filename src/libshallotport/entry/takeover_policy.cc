#include "entry/takeover_policy.h"

#include <algorithm>

namespace shallotport {

namespace {

// Of the objective; a second attempt may still meet it.
constexpr double kFirstByteShare = 0.6;
// Within a stream, events arrive every few tens of milliseconds. A shorter gap
// is mostly a pause of a sound endpoint, and an early second attempt would use
// up an execution for it.
constexpr std::chrono::milliseconds kStreamGap{1'200};
// Longer than a sound endpoint pauses.
constexpr std::chrono::milliseconds kLongestPause{1'500};
// Of the 400 ms for which two engines may work on one request, 100 ms are for a
// host, a relay or an endpoint that is held up.
constexpr std::chrono::milliseconds kMaxOverlap{300};
// In less time hardly any engine has output.
constexpr std::chrono::milliseconds kLeastOverlap{100};

}  // namespace

bool NeedsSecondAttempt(const attempt_silence& state) {
  const bool may_execute_twice =
      state.is_repeatable &&
      (state.executions < state.max_executions || state.may_return);
  if (!may_execute_twice || state.has_second_attempt ||
      state.objective.count() == 0) {
    return false;
  }
  const auto first_byte_limit =
      std::chrono::duration_cast<duration>(kFirstByteShare * state.objective);
  const duration limit =
      state.has_response_begun ? duration(kStreamGap) : first_byte_limit;
  // Within a stream the first one has been silent for long when the overlap is
  // over, and is the one that ends.
  const bool ends_first =
      state.has_response_begun || state.max_overlap == duration(0);
  const duration least = kLongestPause - state.max_overlap;
  return state.silent_for > (ends_first ? std::max(limit, least) : limit);
}

duration MaxOverlap(duration hold_up) {
  const duration left = kMaxOverlap - hold_up;
  return left < kLeastOverlap ? duration(0) : left;
}

overlap_decision DecideOverlap(duration overlap,
                               duration max_overlap,
                               duration first_silent_for) {
  if (overlap < max_overlap) {
    return overlap_decision::kKeepBoth;
  }
  return first_silent_for >= kLongestPause ? overlap_decision::kEndFirst
                                           : overlap_decision::kEndSecond;
}

}  // namespace shallotport
