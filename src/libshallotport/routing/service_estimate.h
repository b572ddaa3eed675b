#ifndef SHALLOTPORT_ROUTING_SERVICE_ESTIMATE_H_
#define SHALLOTPORT_ROUTING_SERVICE_ESTIMATE_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace shallotport {

// Estimates the service time of a request, without its time in queues: an
// exponentially weighted mean and a low quantile.
class service_estimate {
 public:
  void Add(steady_time now, double time_us) {
    ++samples_;
    last_sample_at_ = now;
    if (samples_ == 1) {
      mean_us_ = time_us;
      low_quantile_us_ = time_us;
      return;
    }
    // A plain mean at first, so that the first sample does not dominate.
    const double weight =
        std::max(kMinSampleWeight, 1 / static_cast<double>(samples_));
    mean_us_ += weight * (time_us - mean_us_);
    // Stochastic approximation of a quantile: in equilibrium a fraction of
    // kLowQuantile of the samples is below.
    low_quantile_us_ *= time_us < low_quantile_us_
                            ? 1 - kQuantileStep * (1 - kLowQuantile)
                            : 1 + kQuantileStep * kLowQuantile;
  }

  bool IsKnown() const { return samples_ > 0; }
  uint64_t samples() const { return samples_; }
  double mean_us() const { return mean_us_; }
  // The time that a quarter of the requests stay below.
  double low_quantile_us() const { return low_quantile_us_; }
  duration AgeAt(steady_time now) const { return now - last_sample_at_; }

 private:
  static constexpr double kMinSampleWeight = 0.1;
  static constexpr double kLowQuantile = 0.25;
  static constexpr double kQuantileStep = 0.1;

  uint64_t samples_ = 0;
  double mean_us_ = 0;
  double low_quantile_us_ = 0;
  steady_time last_sample_at_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_SERVICE_ESTIMATE_H_
