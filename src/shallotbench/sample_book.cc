#include "shallotbench/sample_book.h"

#include <algorithm>
#include <cmath>

namespace shallotport {

void sample_book::Add(duration at, duration value) {
  const std::lock_guard lock(mutex_);
  samples_.push_back({at, value});
}

std::vector<time_sample> sample_book::Samples() const {
  const std::lock_guard lock(mutex_);
  return samples_;
}

double PercentileMs(std::vector<time_sample> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto count = static_cast<double>(samples.size());
  const auto rank = static_cast<size_t>(
      std::clamp(std::ceil(share * count) - 1, 0.0, count - 1));
  std::nth_element(
      samples.begin(), samples.begin() + static_cast<ptrdiff_t>(rank),
      samples.end(),
      [](const auto& a, const auto& b) { return a.value < b.value; });
  return static_cast<double>(samples[rank].value.count()) / 1000.0;
}

}  // namespace shallotport
