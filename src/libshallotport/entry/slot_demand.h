#ifndef SHALLOTPORT_ENTRY_SLOT_DEMAND_H_
#define SHALLOTPORT_ENTRY_SLOT_DEMAND_H_

#include "base/clock.h"
#include "base/ids.h"
#include "entry/endpoint_selector.h"
#include "slots/slot_messages.h"

namespace shallotport {

struct caller_account;
struct route;

// What a request's wait for a slot depends on.
struct slot_demand_facts {
  const route& of;
  const caller_account& account;
  service_id service;
  steady_time received_at{};
  steady_time deadline{};
  // Whether the caller was refused before, or takes up a stream.
  bool has_returned = false;
  // Whether it can still be answered that the request was not executed.
  bool may_refuse = false;
};

// The slot request of an online request at an entry host, with what the host
// avoids. Takes the failures that the selector has recorded since the last one.
queued_slot_request MakeSlotDemand(steady_time now,
                                   const slot_demand_facts& facts,
                                   const selection_constraints& constraints,
                                   const domain_id& own_domain,
                                   endpoint_selector& selector);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_SLOT_DEMAND_H_
