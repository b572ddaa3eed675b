#include "batch/job_expiry.h"

#include <utility>

namespace shallotport {

namespace {

constexpr duration kCheckInterval = std::chrono::milliseconds(250);
constexpr duration kLogTimeout = std::chrono::seconds(2);

}  // namespace

job_expiry::job_expiry(replicated_log& log,
                       const clock_source& clock,
                       std::function<bool()> is_leader)
    : client_(log),
      clock_(clock),
      is_leader_(std::move(is_leader)),
      thread_(
          clock,
          1,
          [](steady_time, no_message) {},
          [this](steady_time now) { return OnTimer(now); }) {}

steady_time job_expiry::OnTimer(steady_time now) {
  if (is_leader_()) {
    const result<next_expiry> next = client_.NextExpiry(now + kLogTimeout);
    const bool has_expired = IsOk(next) && ValueOf(next).time != 0 &&
                             ValueOf(next).time <= clock_.WallNow();
    if (has_expired) {
      client_.Expire(now + kLogTimeout);
    }
  }
  return now + kCheckInterval;
}

}  // namespace shallotport
