#include "jobstore/online_reserve.h"

#include <cmath>

namespace shallotport {

bool HasSlotForItem(const service_slot_facts& facts, double reserve) {
  if (facts.taken >= facts.slots) {
    return false;
  }
  const uint32_t free = facts.slots - facts.taken;
  const double reserved = std::ceil(reserve * facts.slots);
  const bool is_open_to_one_item =
      2 * reserved >= facts.slots && !facts.has_attempts;
  return free > reserved || is_open_to_one_item;
}

}  // namespace shallotport
