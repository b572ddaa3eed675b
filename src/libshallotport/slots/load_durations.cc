#include "slots/load_durations.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr uint32_t kMaxLoad = 64;
// In the moving average: follows a neighbour that slows the machine for half a
// second within a few requests.
constexpr int kSamples = 8;
// Of the quantile: nine in ten requests take no longer.
constexpr double kQuantile = 0.9;
// Of the estimate, by which a sample moves it.
constexpr double kStep = 0.05;

duration Scaled(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

}  // namespace

void load_durations::Record(uint32_t running, duration elapsed) {
  const uint32_t load = std::min(std::max(running, 1u), kMaxLoad);
  if (by_load_.size() < load) {
    by_load_.resize(load);
  }
  duration& mean = by_load_[load - 1];
  mean = mean.count() == 0 ? elapsed : mean + (elapsed - mean) / kSamples;
}

duration load_durations::Expect(uint32_t running, duration otherwise) const {
  const size_t known = std::min<size_t>(running, by_load_.size());
  for (size_t load = known; load > 0; --load) {
    if (by_load_[load - 1].count() > 0) {
      return by_load_[load - 1];
    }
  }
  return otherwise;
}

void slow_duration::Record(duration elapsed) {
  if (estimate_.count() == 0) {
    estimate_ = elapsed;
    return;
  }
  const bool is_above = elapsed > estimate_;
  estimate_ += is_above ? Scaled(estimate_, kStep * kQuantile)
                        : -Scaled(estimate_, kStep * (1 - kQuantile));
}

duration slow_duration::Get(duration otherwise) const {
  return estimate_.count() == 0 ? otherwise : estimate_;
}

}  // namespace shallotport
