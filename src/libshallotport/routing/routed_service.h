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

// One endpoint's part in one service: what is learned about this service there.
struct service_member {
  std::shared_ptr<routed_endpoint> endpoint;
  service_estimate estimate;
  steady_time ejected_until;
  uint32_t ejections = 0;  // In a row; lengthens the next one.
};

// One configured service in the router: its endpoints, its strategy and its
// retry budget.
class routed_service {
 public:
  // Share of the successes that may be spent on retries and hedges, and the
  // largest number saved up.
  static constexpr double kRetryShare = 0.1;
  static constexpr double kMaxRetryTokens = 10;
  // At least this share of the endpoints that are not leaving stays choosable,
  // whatever breakers and ejection say.
  static constexpr double kMinEligibleShare = 0.5;

  explicit routed_service(const service_configuration& settings);

  void SetSettings(const service_configuration& settings);

  void AddMember(const std::shared_ptr<routed_endpoint>& endpoint);
  void RemoveMember(const routed_endpoint& endpoint);

  // Records the time of an answered request, or a lower bound of the time of
  // one that was not, which counts against the member only.
  void RecordServiceTime(steady_time now,
                         service_member& member,
                         double time_us);
  void RecordLowerBound(steady_time now,
                        service_member& member,
                        double time_us);

  // Mean time of the service's answered requests; 0: unknown.
  double MeanServiceTime() const { return overall_estimate_.mean_us(); }

  // Ejects members whose time is far above the others'. Cheap when not due.
  void EjectOutliers(steady_time now);

  // Learned time of a request at the member. Falls back to the service's mean
  // as the samples age, and to 0 when nothing is known.
  double ServiceTimeAt(steady_time now, const service_member& member) const;

  // The time below which few requests are answered, for admission; 0: unknown.
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
