#include "transport/link_monitor.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr uint32_t kLongestDoubling = 10;

}  // namespace

link_step link_monitor::Step(steady_time now, random_source& random) {
  switch (state_) {
    case link_state::kWaiting:
      if (now < redial_at_) {
        return link_step::kNothing;
      }
      state_ = link_state::kConnecting;
      connecting_since_ = now;
      return link_step::kDial;
    case link_state::kConnecting:
      if (now - connecting_since_ < intervals_.connect_limit) {
        return link_step::kNothing;
      }
      WaitBeforeRedial(now, random);
      return link_step::kClose;
    case link_state::kConnected:
      break;
  }
  if (now - last_bytes_ >= intervals_.silence_limit) {
    ++silent_closes_;
    WaitBeforeRedial(now, random);
    return link_step::kClose;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + intervals_.heartbeat;
    return link_step::kSendHeartbeat;
  }
  return link_step::kNothing;
}

void link_monitor::OnConnected(steady_time now) {
  state_ = link_state::kConnected;
  last_bytes_ = now;
  next_heartbeat_ = now;
}

void link_monitor::OnBytes(steady_time now) {
  last_bytes_ = now;
  failures_ = 0;
}

void link_monitor::OnClosed(steady_time now, random_source& random) {
  WaitBeforeRedial(now, random);
}

steady_time link_monitor::next_step_time() const {
  switch (state_) {
    case link_state::kWaiting:
      return redial_at_;
    case link_state::kConnecting:
      return connecting_since_ + intervals_.connect_limit;
    case link_state::kConnected:
      break;
  }
  return std::min(next_heartbeat_, last_bytes_ + intervals_.silence_limit);
}

void link_monitor::WaitBeforeRedial(steady_time now, random_source& random) {
  state_ = link_state::kWaiting;
  const duration longest = std::min(
      intervals_.longest_redial,
      intervals_.first_redial * (1 << std::min(failures_, kLongestDoubling)));
  // Full jitter keeps hosts from redialling a healed region all at once.
  const double share = 0.5 + 0.5 * UniformUnit(random);
  redial_at_ = now + std::chrono::duration_cast<duration>(longest * share);
  ++failures_;
}

}  // namespace shallotport
