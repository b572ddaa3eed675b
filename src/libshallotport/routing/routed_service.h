#ifndef SHALLOTPORT_ROUTING_ROUTED_SERVICE_H_
#define SHALLOTPORT_ROUTING_ROUTED_SERVICE_H_

#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/retry_budget.h"
#include "control/configuration.h"
#include "routing/choice_strategy.h"
#include "routing/routed_endpoint.h"
#include "routing/service_estimate.h"

namespace shallotport {

// An endpoint as a member of one service: its estimated service time there and
// its ejection as an outlier.
struct service_member {
  std::shared_ptr<routed_endpoint> endpoint;
  service_estimate estimate;
  steady_time ejected_until;
  uint32_t ejections = 0;  // Consecutive; each one lengthens the next.
};

// A configured service in the request_router: its member endpoints, choice
// strategy, retry budget and service time estimates.
class routed_service {
 public:
  // Retries and hedges allowed per successful request, and the capacity of the
  // retry budget.
  static constexpr double kRetryShare = 0.1;
  static constexpr double kMaxRetryTokens = 10;
  // At least this fraction of the endpoints that are not leaving stays
  // eligible, regardless of circuit breakers and ejections.
  static constexpr double kMinEligibleShare = 0.5;

  explicit routed_service(const service_configuration& settings);

  void SetSettings(const service_configuration& settings);

  void AddMember(const std::shared_ptr<routed_endpoint>& endpoint);
  void RemoveMember(const routed_endpoint& endpoint);

  // Records the service time of a completed request, or a lower bound of it for
  // one that ended early. A lower bound affects the member's estimate only.
  void RecordServiceTime(steady_time now,
                         service_member& member,
                         double time_us);
  void RecordLowerBound(steady_time now,
                        service_member& member,
                        double time_us);

  // Mean service time of completed requests in microseconds; 0: unknown.
  double MeanServiceTime() const { return overall_estimate_.mean_us(); }

  // Ejects members whose service time is far above the median. Returns at once
  // until the next ejection period.
  void EjectOutliers(steady_time now);

  // Estimated service time at the member in microseconds. Falls back to the
  // service's mean as the samples age; 0: unknown.
  double ServiceTimeAt(steady_time now, const service_member& member) const;

  // Low quantile of the service time in microseconds, for admission by
  // deadline; 0: unknown.
  double LowServiceTimeAt(steady_time now) const;

  const service_configuration& settings() const { return settings_; }
  const std::vector<std::shared_ptr<service_member>>& members() const {
    return members_;
  }
  choice_strategy& strategy() { return *strategy_; }
  retry_budget& budget() { return budget_; }
  const retry_budget& budget() const { return budget_; }
  uint64_t ejections() const { return ejections_; }

 private:
  double MedianServiceTime() const;

  service_configuration settings_;
  std::vector<std::shared_ptr<service_member>> members_;
  std::unique_ptr<choice_strategy> strategy_;
  retry_budget budget_;
  service_estimate overall_estimate_;
  steady_time next_ejection_at_;
  uint64_t ejections_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ROUTED_SERVICE_H_
