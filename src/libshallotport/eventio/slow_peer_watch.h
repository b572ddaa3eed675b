#ifndef SHALLOTPORT_EVENTIO_SLOW_PEER_WATCH_H_
#define SHALLOTPORT_EVENTIO_SLOW_PEER_WATCH_H_

#include <cstddef>

#include "base/clock.h"

namespace shallotport {

// Decides when a peer that reads slowly has stalled: it takes nothing for some
// seconds although bytes wait for it, or a byte now and then. One that reads
// slowly but steadily has not. Owned by the connection to the peer. Pure.
class slow_peer_watch {
 public:
  // Bytes begin to wait for the peer.
  void OnWaiting(steady_time now);
  void OnTaken(steady_time now, size_t bytes);
  // Nothing waits any more.
  void OnEmpty() { is_waiting_ = false; }

  bool HasStalled(steady_time now) const;
  // This process did not run for `gap` until now: no fault of the peer.
  void Excuse(duration gap);

 private:
  bool is_waiting_ = false;
  steady_time last_taken_at_{};
  // Since when the peer has taken less than what it has to in a while.
  steady_time slow_since_{};
  size_t taken_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_SLOW_PEER_WATCH_H_
