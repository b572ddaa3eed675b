#include "consensus/host_replacement.h"

#include <string_view>
#include <thread>

#include "consensus/consensus_core.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{50};

// A step that an earlier call has already taken counts as taken.
bool IsAlreadyTaken(const status& outcome) {
  if (IsOk(outcome) || ErrorOf(outcome).kind != error_kind::kConflict) {
    return false;
  }
  const std::string_view detail = ErrorOf(outcome).detail;
  return detail.ends_with(kIsMemberAlready) ||
         detail.ends_with(kIsVoterAlready) || detail.ends_with(kIsNoMember);
}

status TakeOnce(const membership_stepper& take,
                membership_step step,
                const host_id& host) {
  const status outcome = take(step, host);
  return IsAlreadyTaken(outcome) ? status(success{}) : outcome;
}

}  // namespace

status AddVoter(const membership_stepper& take,
                const host_id& added,
                const clock_source& clock,
                steady_time deadline) {
  status outcome = TakeOnce(take, membership_step::kAddLearner, added);
  if (!IsOk(outcome)) {
    return outcome;
  }
  outcome = TakeOnce(take, membership_step::kPromote, added);
  // Refused as long as it is catching up.
  while (!IsOk(outcome) && ErrorOf(outcome).kind == error_kind::kConflict &&
         clock.Now() < deadline) {
    std::this_thread::sleep_for(kRetryInterval);
    outcome = TakeOnce(take, membership_step::kPromote, added);
  }
  return outcome;
}

status ReplaceVoter(const membership_stepper& take,
                    const host_id& removed,
                    const host_id& added,
                    const clock_source& clock,
                    steady_time deadline) {
  if (removed == added) {
    const status gone = TakeOnce(take, membership_step::kRemove, removed);
    return IsOk(gone) ? AddVoter(take, added, clock, deadline) : gone;
  }
  const status votes = AddVoter(take, added, clock, deadline);
  return IsOk(votes) ? TakeOnce(take, membership_step::kRemove, removed)
                     : votes;
}

}  // namespace shallotport
