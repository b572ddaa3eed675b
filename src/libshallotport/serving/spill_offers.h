#ifndef SHALLOTPORT_SERVING_SPILL_OFFERS_H_
#define SHALLOTPORT_SERVING_SPILL_OFFERS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/domain_summary.h"
#include "routing/domain_offer.h"

namespace shallotport {

// A host of another failure domain that takes spilled requests.
struct spill_contact {
  host_id host;
  domain_id domain;
  std::string caller_address;  // "IP:port".
};

// Turns the summaries of other failure domains into offers that the router
// understands: a domain's free slots are split evenly over its contacts, so
// that the hosts of one domain are not offered its capacity several times.
// `sequence` rises with each call.
std::vector<domain_offer> MakeSpillOffers(
    std::span<const service_summary> summaries,
    std::span<const spill_contact> contacts,
    uint64_t sequence);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_SPILL_OFFERS_H_
