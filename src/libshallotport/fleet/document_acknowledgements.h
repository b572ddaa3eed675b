#ifndef SHALLOTPORT_FLEET_DOCUMENT_ACKNOWLEDGEMENTS_H_
#define SHALLOTPORT_FLEET_DOCUMENT_ACKNOWLEDGEMENTS_H_

#include <cstdint>
#include <deque>
#include <functional>

#include "base/clock.h"

namespace shallotport {

class document_receipts;

// Operators' changes that are committed and wait, for a short time, until all
// linked hosts have them in force. An operator takes an acknowledgement for the
// moment from which a change holds; a host that cannot follow, as a frozen one,
// must not hold back changes for long. Pure.
class document_acknowledgements {
 public:
  void Add(steady_time now, uint64_t version, std::function<void()> on_due);
  // Acknowledges what all linked hosts have, and what has waited long enough.
  void Advance(steady_time now, const document_receipts& receipts);

  // Acknowledged although a linked host lacked the change.
  uint64_t unconfirmed() const { return unconfirmed_; }

 private:
  struct waiting_change {
    uint64_t version = 0;
    steady_time deadline{};
    std::function<void()> on_due;
  };

  std::deque<waiting_change> waiting_;
  uint64_t unconfirmed_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_ACKNOWLEDGEMENTS_H_
