#include "slots/load_durations.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr uint32_t kMaxLoad = 64;
// In the moving average: follows a neighbour that slows the machine for half a
// second within a few requests.
constexpr int kSamples = 8;
constexpr int kMeanSamples = 16;
// Of the mean: a longer duration counts as this.
constexpr int kMaxSample = 5;
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

void duration_estimate::Record(duration elapsed) {
  if (mean_.count() == 0) {
    mean_ = elapsed;
    slow_ = elapsed;
    return;
  }
  const duration sample = std::min(elapsed, mean_ * kMaxSample);
  mean_ += (sample - mean_) / kMeanSamples;
  slow_ += sample > slow_ ? Scaled(slow_, kStep * kQuantile)
                          : -Scaled(slow_, kStep * (1 - kQuantile));
}

duration duration_estimate::Mean(duration otherwise) const {
  return mean_.count() == 0 ? otherwise : mean_;
}

duration duration_estimate::Slow(duration otherwise) const {
  return slow_.count() == 0 ? otherwise : slow_;
}

}  // namespace shallotport
