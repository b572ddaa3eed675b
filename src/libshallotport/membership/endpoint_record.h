#ifndef SHALLOTPORT_MEMBERSHIP_ENDPOINT_RECORD_H_
#define SHALLOTPORT_MEMBERSHIP_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// The load that an endpoint reported. Reports may arrive late, twice or out of
// order; `sequence` increases within one incarnation.
struct load_report {
  uint64_t sequence = 0;
  uint32_t running = 0;  // Requests being executed.
  uint32_t queued = 0;   // Requests admitted and waiting.
  uint32_t slots = 1;    // Maximum of concurrently executed requests.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, running, queued, slots);
  }
};

// The announcement of one endpoint. The endpoint sends it to any host of its
// failure domain, which pushes it to the domain's other hosts.
struct endpoint_record {
  endpoint_id id;
  incarnation started = 0;
  domain_id domain;
  std::string address;               // "IP:port" of its HTTP interface.
  std::vector<service_id> services;  // Models, adapters or plain services.
  bool is_runner = false;            // Has a model engine.
  bool checks_fencing = false;  // Refuses orders with a stale fencing number.
  bool remembers_outcomes = false;  // Answers queries for the outcome of a key.
  bool can_resume = false;          // Can resume a broken stream.
  bool is_leaving = false;          // Sticky within the incarnation.
  load_report load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, started, domain, address, services, is_runner, checks_fencing,
            remembers_outcomes, can_resume, is_leaving, load);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_ENDPOINT_RECORD_H_
