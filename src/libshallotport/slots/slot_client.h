#ifndef SHALLOTPORT_SLOTS_SLOT_CLIENT_H_
#define SHALLOTPORT_SLOTS_SLOT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "fleet/fleet_host.h"
#include "slots/slot_messages.h"

namespace shallotport {

// Requests slots from the leader of the job group on behalf of an entry host.
// Owned by entry_host; runs on the event loop of `fleet`. A host that does not
// hear from the leader requests nothing, and selects endpoints by itself.
class slot_client {
 public:
  // Also kUnavailable if there was no reply in time.
  using reply_handler = std::function<void(slot_reply reply)>;

  struct counters {
    uint64_t granted = 0;
    uint64_t refused = 0;
    uint64_t unavailable = 0;
  };

  slot_client(const clock_source& clock, fleet_host& fleet);

  // Load totals from the job group's leader arrived.
  void SetLeader(steady_time now, const std::string& ip);

  // False when no leader is known; the handler is not called then. The handler
  // is called once, possibly before this returns.
  bool Request(const slot_request& request, reply_handler on_reply);

  const counters& totals() const { return counters_; }

 private:
  const clock_source& clock_;
  fleet_host& fleet_;
  std::string leader_ip_;
  steady_time leader_heard_at_{};
  steady_time paused_until_{};
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_SLOT_CLIENT_H_
