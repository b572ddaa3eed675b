#ifndef SHALLOTPORT_MEMBERSHIP_ENDPOINT_RECORD_H_
#define SHALLOTPORT_MEMBERSHIP_ENDPOINT_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// What an endpoint last said about its load. Reports may arrive late, twice or
// out of order; `sequence` rises within one incarnation.
struct load_report {
  uint64_t sequence = 0;
  uint32_t running = 0;  // Requests being executed.
  uint32_t queued = 0;   // Requests admitted and waiting.
  uint32_t slots = 1;    // Requests it executes at the same time at most.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, running, queued, slots);
  }
};

// One endpoint as it announced itself. Sent by the endpoint to any host of its
// failure domain and spread from there to the domain's other hosts.
struct endpoint_record {
  endpoint_id id;
  incarnation started = 0;
  domain_id domain;
  std::string address;               // "IP:port" of its HTTP interface.
  std::vector<service_id> services;  // Models, adapters or plain services.
  bool is_runner = false;            // Has a model engine.
  bool checks_fencing = false;       // Refuses orders with an old number.
  bool remembers_outcomes = false;  // Can be asked for a call's outcome by key.
  bool can_resume = false;          // Can continue a broken stream.
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
