#ifndef SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_
#define SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "base/random_source.h"

namespace shallotport {

// One endpoint that may be chosen, as the strategies see it.
struct choice_candidate {
  uint32_t endpoint = 0;       // Index in the router's endpoint table.
  uint32_t member = 0;         // Index among the service's members.
  uint64_t hash = 0;           // Of the endpoint's id.
  double reported_load = 0;    // Running and queued, as last reported.
  double own_load = 0;         // Sent by this host and not yet ended.
  double recent_load = 0;      // Own, and the others' of the last report.
  double load = 0;             // Corrected for lag, own work included.
  double slots = 1;            // Concurrent requests.
  double service_time_us = 0;  // Learned time of one request.
  double weight = 1;           // Below 1 during slow start.
  uint64_t last_chosen = 0;    // Lower: longer ago.
};

// Queue and service time that a new request would see, in microseconds.
inline double ExpectedTime(const choice_candidate& candidate) {
  const double waiting = candidate.load + 1 - candidate.slots;
  const double rounds = waiting > 0 ? waiting / candidate.slots : 0;
  return candidate.service_time_us * (1 + rounds);
}

// Chooses among the candidates of one service. Each service owns one instance,
// which may keep state between the calls.
class choice_strategy {
 public:
  virtual ~choice_strategy() = default;

  // Index of the chosen candidate; `candidates` is not empty. `prefix_hash` is
  // 0 for requests without affinity and includes the account otherwise.
  virtual size_t Choose(std::span<const choice_candidate> candidates,
                        uint64_t prefix_hash,
                        random_source& random) = 0;
};

// A new instance of the named strategy: adaptive, round_robin,
// least_reported_load or random_two_choices. Null for an unknown name.
std::unique_ptr<choice_strategy> MakeChoiceStrategy(std::string_view name);

// All names that MakeChoiceStrategy() knows.
std::span<const std::string_view> ChoiceStrategyNames();

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_CHOICE_STRATEGY_H_
