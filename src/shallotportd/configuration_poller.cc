#include "configuration_poller.h"

#include "base/log.h"

namespace shallotport {

namespace {

constexpr duration kInterval = std::chrono::milliseconds(250);
constexpr duration kAskTimeout = std::chrono::milliseconds(1000);
constexpr size_t kRingCapacity = 16;

}  // namespace

configuration_poller::configuration_poller(replicated_log& log,
                                           const clock_source& clock,
                                           configuration_view& view,
                                           on_change changed)
    : client_(log),
      clock_(clock),
      view_(view),
      changed_(std::move(changed)),
      thread_(
          clock,
          kRingCapacity,
          [](steady_time, wake_up) {},
          [this](steady_time now) { return Poll(now); }) {}

steady_time configuration_poller::Poll(steady_time now) {
  const log_index known = view_.revision();
  const result<configuration_delta> delta =
      client_.Since(known, now + kAskTimeout);
  if (IsOk(delta) && ValueOf(delta).to > known) {
    // The whole is asked for: deltas are applied by the spread between hosts.
    const result<configuration_in_force> whole =
        client_.Current(clock_.Now() + kAskTimeout);
    if (IsOk(whole) && ValueOf(whole).revision > known &&
        view_.Update(ValueOf(whole).revision, ValueOf(whole).parsed)) {
      LogStateChange(
          "configuration",
          "revision " + std::to_string(view_.revision()) + " is in force");
      changed_(view_.Current());
    }
  }
  return clock_.Now() + kInterval;
}

}  // namespace shallotport
