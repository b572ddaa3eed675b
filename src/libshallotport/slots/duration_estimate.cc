#include "slots/duration_estimate.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr int kSamples = 16;  // In the moving average.
// Of the mean: a longer duration counts as this.
constexpr int kMaxSample = 5;

}  // namespace

void duration_estimate::Record(duration elapsed) {
  mean_ =
      mean_.count() == 0
          ? elapsed
          : mean_ + (std::min(elapsed, mean_ * kMaxSample) - mean_) / kSamples;
}

duration duration_estimate::Mean(duration otherwise) const {
  return mean_.count() == 0 ? otherwise : mean_;
}

}  // namespace shallotport
