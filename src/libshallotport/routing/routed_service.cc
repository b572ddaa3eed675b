#include "routing/routed_service.h"

#include <algorithm>
#include <cmath>

namespace shallotport {

namespace {

constexpr duration kEjectionPeriod{1'000'000};
constexpr duration kInitialEjection{5'000'000};
constexpr duration kMaxEjection{30'000'000};
constexpr double kOutlierFactor = 3;
constexpr uint64_t kMinSamples = 5;
// Ratios to the service's mean between these two are noise of the requests
// themselves; the mean is used instead.
constexpr double kNotableSlowRatio = 1.6;
constexpr double kNotableFastRatio = 0.6;
// Without new samples, an estimate's distance to the service's mean is halved
// in each of these periods, so that a slow endpoint gets requests again.
constexpr duration kEstimateHalfLife{5'000'000};
// Without samples for this long, the service time counts as unknown.
constexpr duration kEstimateLifetime{10'000'000};

double Ratio(duration time, duration unit) {
  return static_cast<double>(time.count()) / static_cast<double>(unit.count());
}

}  // namespace

routed_service::routed_service(const service_configuration& settings)
    : budget_(kRetryShare, kMaxRetryTokens) {
  SetSettings(settings);
}

void routed_service::SetSettings(const service_configuration& settings) {
  const bool is_same_strategy =
      strategy_ != nullptr &&
      settings.routing_strategy == settings_.routing_strategy;
  settings_ = settings;
  if (is_same_strategy) {
    return;
  }
  strategy_ = MakeChoiceStrategy(settings.routing_strategy);
  if (strategy_ == nullptr) {
    strategy_ = MakeChoiceStrategy("adaptive");
  }
}

void routed_service::AddMember(
    const std::shared_ptr<routed_endpoint>& endpoint) {
  members_.push_back(std::make_shared<service_member>());
  members_.back()->endpoint = endpoint;
}

void routed_service::RemoveMember(const routed_endpoint& endpoint) {
  std::erase_if(members_, [&endpoint](const auto& member) {
    return member->endpoint.get() == &endpoint;
  });
}

void routed_service::RecordServiceTime(steady_time now,
                                       service_member& member,
                                       double time_us) {
  member.estimate.Add(now, time_us);
  overall_estimate_.Add(now, time_us);
}

void routed_service::RecordLowerBound(steady_time now,
                                      service_member& member,
                                      double time_us) {
  member.estimate.Add(now, time_us);
}

double routed_service::ServiceTimeAt(steady_time now,
                                     const service_member& member) const {
  const double mean = overall_estimate_.mean_us();
  if (member.estimate.samples() < kMinSamples) {
    return mean;
  }
  double time = member.estimate.mean_us();
  const duration age = member.estimate.AgeAt(now);
  if (age > kEstimateHalfLife) {
    time = mean + (time - mean) * std::exp2(-Ratio(age - kEstimateHalfLife,
                                                   kEstimateHalfLife));
  }
  const bool is_notable =
      time >= kNotableSlowRatio * mean || time <= kNotableFastRatio * mean;
  return is_notable ? time : mean;
}

double routed_service::LowServiceTimeAt(steady_time now) const {
  const bool is_recent = overall_estimate_.IsKnown() &&
                         overall_estimate_.AgeAt(now) < kEstimateLifetime;
  return is_recent ? overall_estimate_.low_quantile_us() : 0;
}

double routed_service::MedianServiceTime() const {
  std::vector<double> times;
  for (const auto& member : members_) {
    if (member->estimate.samples() >= kMinSamples) {
      times.push_back(member->estimate.mean_us());
    }
  }
  if (times.size() < 3) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<long>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void routed_service::EjectOutliers(steady_time now) {
  if (now < next_ejection_at_) {
    return;
  }
  next_ejection_at_ = now + kEjectionPeriod;
  const double median = MedianServiceTime();
  if (median <= 0) {
    return;
  }
  for (const auto& member : members_) {
    const bool is_comparable = member->estimate.samples() >= kMinSamples &&
                               member->estimate.AgeAt(now) < kEjectionPeriod &&
                               now >= member->ejected_until;
    if (!is_comparable) {
      continue;
    }
    if (member->estimate.mean_us() <= kOutlierFactor * median) {
      member->ejections = 0;
      continue;
    }
    ++ejections_;
    ++member->ejections;
    member->ejected_until =
        now + std::min(kInitialEjection * member->ejections, kMaxEjection);
    // Samples from before the ejection say nothing about the time after it.
    member->estimate = service_estimate{};
  }
}

}  // namespace shallotport
