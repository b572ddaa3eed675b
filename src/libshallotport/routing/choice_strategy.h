#ifndef SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_
#define SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "base/random_source.h"

namespace shallotport {

// An endpoint that is eligible for a request, as input to a choice_strategy.
struct choice_candidate {
  uint32_t endpoint = 0;       // Index in the router's endpoint table.
  uint32_t member = 0;         // Index among the service's members.
  uint64_t hash = 0;           // Of the endpoint id.
  double reported_load = 0;    // Running and queued, last report.
  double own_load = 0;         // Sent by this host, in flight.
  double recent_load = 0;      // Own load and latest peer load.
  double load = 0;             // Own load and smoothed peer load.
  double slots = 1;            // Requests served concurrently.
  double service_time_us = 0;  // Estimate for one request.
  double weight = 1;           // Below 1 during slow start.
  uint64_t last_chosen = 0;    // Lower: less recently chosen.
};

// Expected queue and service time of a new request, in microseconds.
inline double ExpectedTime(const choice_candidate& candidate) {
  const double waiting = candidate.load + 1 - candidate.slots;
  const double rounds = waiting > 0 ? waiting / candidate.slots : 0;
  return candidate.service_time_us * (1 + rounds);
}

// Chooses one of the eligible endpoints of a service. Each routed_service owns
// an instance, which may keep state between calls.
class choice_strategy {
 public:
  virtual ~choice_strategy() = default;

  // Index of the chosen candidate. `candidates` must not be empty.
  // `prefix_hash` is 0 for requests without prefix affinity; otherwise it
  // covers the account.
  virtual size_t Choose(std::span<const choice_candidate> candidates,
                        uint64_t prefix_hash,
                        random_source& random) = 0;
};

// Creates the named strategy: adaptive, round_robin, least_reported_load or
// random_two_choices. Null for an unknown name.
std::unique_ptr<choice_strategy> MakeChoiceStrategy(std::string_view name);

// All names that MakeChoiceStrategy() accepts.
std::span<const std::string_view> ChoiceStrategyNames();

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_
