#ifndef SHALLOTPORT_ENTRY_RESPONSE_FLOW_H_
#define SHALLOTPORT_ENTRY_RESPONSE_FLOW_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace shallotport {

enum class flow_action : uint8_t { kNone, kPause, kResume };

// When to stop and resume reading a response from its endpoint, so that it is
// read at the pace at which its caller takes it. An endpoint ends a response
// that stays unread for some seconds, so a little more is read now and then, up
// to a bound. Owned by the request's exchange. Pure.
class response_flow {
 public:
  // `held`: bytes that wait for the caller.
  flow_action OnSent(steady_time now, size_t held);
  flow_action OnTaken(size_t held);
  // Call several times a second.
  flow_action OnTick(steady_time now, size_t held);

  // The silence of the endpoint is the caller's: it is not read.
  bool is_paused() const { return is_paused_; }

 private:
  bool is_paused_ = false;
  steady_time paused_at_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_RESPONSE_FLOW_H_
