#include "consensus/host_replacement.h"

#include <string_view>
#include <thread>

#include "consensus/consensus_core.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{50};

// True if the step was rejected only because an earlier call applied it.
bool IsAlreadyInEffect(const status& outcome) {
  if (IsOk(outcome) || ErrorOf(outcome).kind != error_kind::kConflict) {
    return false;
  }
  const std::string_view detail = ErrorOf(outcome).detail;
  return detail.ends_with(kAlreadyMemberSuffix) ||
         detail.ends_with(kAlreadyVoterSuffix) ||
         detail.ends_with(kNotMemberSuffix);
}

status ApplyOnce(const membership_step_function& apply_step,
                 membership_step step,
                 const host_id& host) {
  const status outcome = apply_step(step, host);
  return IsAlreadyInEffect(outcome) ? status(success{}) : outcome;
}

}  // namespace

status AddVoter(const membership_step_function& apply_step,
                const host_id& added,
                const clock_source& clock,
                steady_time deadline) {
  status outcome = ApplyOnce(apply_step, membership_step::kAddLearner, added);
  if (!IsOk(outcome)) {
    return outcome;
  }
  outcome = ApplyOnce(apply_step, membership_step::kPromote, added);
  // The leader rejects the promotion until the learner has caught up.
  while (!IsOk(outcome) && ErrorOf(outcome).kind == error_kind::kConflict &&
         clock.Now() < deadline) {
    std::this_thread::sleep_for(kRetryInterval);
    outcome = ApplyOnce(apply_step, membership_step::kPromote, added);
  }
  return outcome;
}

status ReplaceVoter(const membership_step_function& apply_step,
                    const host_id& removed,
                    const host_id& added,
                    const clock_source& clock,
                    steady_time deadline) {
  if (removed == added) {
    const status removal =
        ApplyOnce(apply_step, membership_step::kRemove, removed);
    return IsOk(removal) ? AddVoter(apply_step, added, clock, deadline)
                         : removal;
  }
  const status addition = AddVoter(apply_step, added, clock, deadline);
  return IsOk(addition)
             ? ApplyOnce(apply_step, membership_step::kRemove, removed)
             : addition;
}

}  // namespace shallotport
