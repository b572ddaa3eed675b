#ifndef SHALLOTPORT_SLOTS_SLOT_QUEUE_H_
#define SHALLOTPORT_SLOTS_SLOT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "slots/slot_messages.h"

namespace shallotport {

// A request that waits for a slot.
struct waiting_slot_request {
  std::string host;
  queued_slot_request demand;
  steady_time arrived_at{};
  steady_time give_up_at{};  // Later it would not be in time.
  double start_tag = 0;      // Set by the queue.
};

// The requests that wait for slots of one service, in the order in which they
// get them: those whose useful wait is nearly over, callers that were refused
// before, the more urgent priority, and then accounts in turn, by start-time
// fair queueing. So an account that sends many times its
// usual waits behind itself and not the others behind it. Owned by
// slot_allocator. Pure and bounded.
class slot_queue {
 public:
  bool IsEmpty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }

  // Adds a request. If the queue is full, the newest request of the account
  // with the most waiting requests is taken out and returned; it may be this
  // one.
  std::optional<waiting_slot_request> Add(waiting_slot_request request);
  // False if it does not wait here.
  bool Remove(const std::string& host, uint64_t ticket);
  void RemoveHost(const std::string& host);
  void Clear();
  std::vector<waiting_slot_request> TakeExpired(steady_time now);

  // The first `count` requests in order. The pointers are valid until the next
  // change.
  std::vector<const waiting_slot_request*> First(steady_time now,
                                                 size_t count) const;
  // Takes out a request that gets a slot.
  waiting_slot_request Take(const waiting_slot_request& request);
  // How many requests would get a slot before this one, which does not wait.
  size_t CountAhead(steady_time now, const waiting_slot_request& request) const;

 private:
  // The work of a request that gets no slot is not held against its account.
  void ReturnTurn(const waiting_slot_request& request);
  // The account's, or that of all requests without one.
  double StartTag(const waiting_slot_request& request) const;

  std::vector<waiting_slot_request> waiting_;
  double virtual_time_ = 0;
  std::map<uint64_t, double> finish_tags_;  // Of accounts.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_SLOT_QUEUE_H_
