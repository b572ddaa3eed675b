#ifndef SHALLOTPORT_SLOTS_SLOT_CLIENT_H_
#define SHALLOTPORT_SLOTS_SLOT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
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
    uint64_t queued = 0;
  };

  slot_client(const clock_source& clock, fleet_host& fleet);

  // Load totals from the job group's leader arrived.
  void SetLeader(steady_time now, const std::string& ip);

  // What the leader can do, by itself.
  void SetFeatures(const std::string& ip, uint32_t flags);
  void Tick(steady_time now);

  // False when no leader is known; the handler is not called then. The handler
  // is called once, possibly before this returns.
  bool Request(const slot_request& request, reply_handler on_reply);

  // Whether the leader lets requests wait for slots.
  bool CanQueue() const;
  // As Request(), but the reply may come later, when a slot is free. Returns
  // the request's ticket; nullopt when no leader is known. Call only while
  // CanQueue().
  std::optional<uint64_t> Queue(queued_slot_request demand,
                                reply_handler on_reply);
  // The request has ended: its handler is not called.
  void Cancel(uint64_t ticket);
  void OnGrant(const slot_grant& grant);

  const counters& totals() const { return counters_; }

 private:
  struct waiting_request {
    std::string leader_ip;
    steady_time give_up_at{};
    bool is_queued = false;
    reply_handler on_reply;
  };

  bool IsAvailable(steady_time now) const;
  void Count(const slot_reply& reply);
  void OnQueueReply(uint64_t ticket, const result<std::string>& reply);
  // A slot that the leader granted later would be taken in vain until the next
  // load report.
  void SendCancellation(const std::string& leader_ip, uint64_t ticket);
  // Ends the wait of a request.
  void Answer(uint64_t ticket, slot_reply reply);

  const clock_source& clock_;
  fleet_host& fleet_;
  std::string leader_ip_;
  steady_time leader_heard_at_{};
  steady_time paused_until_{};
  std::string features_ip_;  // The leader that has named its features.
  uint32_t features_ = 0;
  // Starts with the clock, so that a grant to the process that ran here before
  // is not taken for one of this process.
  uint64_t next_ticket_;
  std::map<uint64_t, waiting_request> waiting_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_SLOT_CLIENT_H_
