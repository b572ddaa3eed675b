#include "shallotbench/arrival_plan.h"

#include <algorithm>
#include <cmath>

#include "base/random_source.h"

namespace shallotport {

namespace {

// Bursts come at the end of each interval, so that a run starts calmly.
double RateAt(const arrival_options& options, duration time) {
  if (options.burst_rate <= 0) {
    return options.rate;
  }
  const duration place = time % options.burst_every;
  const bool is_burst = place >= options.burst_every - options.burst_length;
  return is_burst ? options.burst_rate : options.rate;
}

}  // namespace

// Thinning: candidates at the highest rate, kept with the share of the rate.
std::vector<duration> PlanArrivals(const arrival_options& options) {
  random_source random(options.seed);
  const double highest = std::max(options.rate, options.burst_rate);
  std::vector<duration> arrivals;
  if (highest <= 0) {
    return arrivals;
  }
  duration time{0};
  while (true) {
    const double gap = -std::log(1.0 - UniformUnit(random)) / highest;
    time += duration(static_cast<int64_t>(gap * 1e6));
    if (time >= options.length) {
      return arrivals;
    }
    if (UniformUnit(random) * highest < RateAt(options, time)) {
      arrivals.push_back(time);
    }
  }
}

}  // namespace shallotport
