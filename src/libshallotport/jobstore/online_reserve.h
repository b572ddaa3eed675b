#ifndef SHALLOTPORT_JOBSTORE_ONLINE_RESERVE_H_
#define SHALLOTPORT_JOBSTORE_ONLINE_RESERVE_H_

#include <cstdint>

namespace shallotport {

// What is known of a service's slots when a batch item is about to begin.
struct service_slot_facts {
  uint32_t slots = 0;
  uint32_t taken = 0;         // By online requests and batch items.
  bool has_attempts = false;  // An item of the service is being executed.
};

// Whether an item may begin. `reserve` is the share of the slots that stays
// free for online requests, rounded up to whole slots. Where that is half of
// the slots or more, as in services with one or two slots, it is open to one
// item at a time: otherwise items would never begin. Pure.
bool HasSlotForItem(const service_slot_facts& facts, double reserve);

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ONLINE_RESERVE_H_
