#ifndef SHALLOTPORT_SHALLOTBENCH_ARRIVAL_PLAN_H_
#define SHALLOTPORT_SHALLOTBENCH_ARRIVAL_PLAN_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// Open-loop arrivals: Poisson with a base rate, and a higher rate during
// bursts that come back regularly.
struct arrival_options {
  double rate = 20;       // Requests per second.
  double burst_rate = 0;  // During bursts; 0: no bursts.
  duration burst_every{10'000'000};
  duration burst_length{3'000'000};
  duration length{30'000'000};
  uint64_t seed = 1;
};

// The arrival times since the start; the same for the same options.
std::vector<duration> PlanArrivals(const arrival_options& options);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_ARRIVAL_PLAN_H_
