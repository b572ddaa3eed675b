#ifndef SHALLOTPORT_ROUTING_CIRCUIT_BREAKER_H_
#define SHALLOTPORT_ROUTING_CIRCUIT_BREAKER_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace shallotport {

enum class breaker_state : uint8_t { kClosed, kOpen, kHalfOpen };

// Blocks attempts to one endpoint after consecutive failures. After a backoff
// that doubles with each further opening, the breaker admits one probe at a
// time; a successful probe closes it.
class circuit_breaker {
 public:
  static constexpr uint32_t kFailuresToOpen = 3;
  static constexpr duration kInitialBackoff{1'000'000};
  static constexpr duration kMaxBackoff{16'000'000};

  // True if an attempt may be sent at `now`. Does not change the state.
  bool Allows(steady_time now) const {
    switch (state_) {
      case breaker_state::kClosed:
        return true;
      case breaker_state::kOpen:
        return now >= open_until_;
      case breaker_state::kHalfOpen:
        return !is_probe_in_flight_;
    }
    return false;
  }

  // Must be called when an allowed attempt is sent.
  void OnSent(steady_time now) {
    if (state_ == breaker_state::kOpen && now >= open_until_) {
      state_ = breaker_state::kHalfOpen;
    }
    if (state_ == breaker_state::kHalfOpen) {
      is_probe_in_flight_ = true;
    }
  }

  void OnSuccess() {
    consecutive_failures_ = 0;
    is_probe_in_flight_ = false;
    // While open, a success belongs to an attempt sent before the opening and
    // is no evidence of recovery.
    if (state_ == breaker_state::kHalfOpen) {
      state_ = breaker_state::kClosed;
      backoff_ = kInitialBackoff;
    }
  }

  void OnFailure(steady_time now) {
    ++consecutive_failures_;
    const bool failed_probe = state_ == breaker_state::kHalfOpen;
    const bool too_many = state_ == breaker_state::kClosed &&
                          consecutive_failures_ >= kFailuresToOpen;
    if (failed_probe || too_many) {
      Open(now);
    }
  }

  // The attempt ended without evidence for or against the endpoint.
  void OnInconclusive() { is_probe_in_flight_ = false; }

  breaker_state state() const { return state_; }

  // Time from which a probe is allowed; valid only while open.
  steady_time open_until() const { return open_until_; }

 private:
  void Open(steady_time now) {
    state_ = breaker_state::kOpen;
    is_probe_in_flight_ = false;
    open_until_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }

  breaker_state state_ = breaker_state::kClosed;
  uint32_t consecutive_failures_ = 0;
  bool is_probe_in_flight_ = false;
  duration backoff_ = kInitialBackoff;
  steady_time open_until_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_CIRCUIT_BREAKER_H_
