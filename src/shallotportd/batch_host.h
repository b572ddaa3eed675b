#ifndef SHALLOTPORT_SHALLOTPORTD_BATCH_HOST_H_
#define SHALLOTPORT_SHALLOTPORTD_BATCH_HOST_H_

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>

#include "base/clock.h"
#include "base/ids.h"
#include "batch/batch_duty.h"
#include "batch/job_expiry.h"
#include "membership/endpoint_registry.h"
#include "membership/membership_core.h"
#include "serving/batch_item_claims.h"
#include "serving/batch_lane.h"
#include "serving/observed_caller.h"
#include "settings/host_settings.h"

namespace shallotport {

class configuration_snapshot;
class peer_network;
class replica;

// This host's part of the batch work: the batch duty with its lane of calls to
// endpoints, its claims and, on a member of the log, the expiry of leases.
class batch_host {
 public:
  // All references must outlive this; `member` is null on other hosts.
  static result<std::unique_ptr<batch_host>> Create(
      const host_settings& settings,
      incarnation started,
      const clock_source& clock,
      replicated_log& log,
      replica* member,
      online_claims& claims,
      observed_caller& online,
      peer_network& network);

  void Start();
  // Gives back what has not started and waits for the rest, at most so long;
  // what still runs near the end is cancelled and given back too.
  void Drain(std::chrono::milliseconds longest);
  void Stop();

  // From the membership duty and the configuration.
  void OnHost(const host_event& event);
  void OnEndpoint(const endpoint_event& event);
  void SetConfiguration(const configuration_snapshot& snapshot);

  void WriteState(nlohmann::json& out) { duty_.WriteState(out); }

 private:
  batch_host(const host_settings& settings,
             incarnation started,
             const clock_source& clock,
             replicated_log& log,
             replica* member,
             online_claims& claims,
             observed_caller& online,
             peer_network& network,
             std::unique_ptr<endpoint_caller> caller);

  void WaitUntilDrained(std::chrono::milliseconds longest);

  observed_caller& online_;
  std::set<host_id> hosts_;  // Alive in the own domain.
  const std::unique_ptr<endpoint_caller> caller_;
  batch_lane lane_;
  batch_item_claims claims_;
  batch_duty duty_;
  std::unique_ptr<job_expiry> expiry_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_BATCH_HOST_H_
