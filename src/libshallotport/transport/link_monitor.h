#ifndef SHALLOTPORT_TRANSPORT_LINK_MONITOR_H_
#define SHALLOTPORT_TRANSPORT_LINK_MONITOR_H_

#include <cstdint>

#include "base/clock.h"
#include "base/random_source.h"

namespace shallotport {

// Intervals of one outgoing connection.
struct link_intervals {
  duration heartbeat = std::chrono::milliseconds(250);
  // Without a byte from the other end for this long the connection is closed
  // and dialled anew: something in between may have lost track of it.
  duration silence_limit = std::chrono::milliseconds(1000);
  duration connect_limit = std::chrono::milliseconds(1000);
  duration first_redial = std::chrono::milliseconds(50);
  duration longest_redial = std::chrono::milliseconds(2000);
};

enum class link_state : uint8_t { kWaiting, kConnecting, kConnected };

// What the owner of the connection has to do now.
enum class link_step : uint8_t { kNothing, kDial, kSendHeartbeat, kClose };

// Decides for one outgoing peer connection when to dial, when to send a
// heartbeat and when to give it up. Owned by peer_network's thread; holds no
// socket.
class link_monitor {
 public:
  explicit link_monitor(const link_intervals& intervals)
      : intervals_(intervals) {}

  // The next step at `now`. kDial moves to kConnecting and kClose to kWaiting.
  link_step Step(steady_time now, random_source& random);

  void OnConnected(steady_time now);
  void OnBytes(steady_time now);
  // The connection failed or was closed by the other end.
  void OnClosed(steady_time now, random_source& random);

  link_state state() const { return state_; }
  steady_time next_step_time() const;
  uint64_t silent_closes() const { return silent_closes_; }

 private:
  void WaitBeforeRedial(steady_time now, random_source& random);

  link_intervals intervals_;
  link_state state_ = link_state::kWaiting;
  steady_time redial_at_{};
  steady_time connecting_since_{};
  steady_time last_bytes_{};
  steady_time next_heartbeat_{};
  uint32_t failures_ = 0;
  uint64_t silent_closes_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_TRANSPORT_LINK_MONITOR_H_
