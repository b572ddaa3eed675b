#ifndef SHALLOTPORT_SERVING_CONFIGURATION_OPERATIONS_H_
#define SHALLOTPORT_SERVING_CONFIGURATION_OPERATIONS_H_

#include <functional>

#include "base/clock.h"
#include "control/configuration_client.h"
#include "serving/route_table.h"

namespace shallotport {

class replicated_log;

// The operators' requests about the configuration: apply and get.
class configuration_operations {
 public:
  // `on_applied` runs after a change was accepted through this host.
  configuration_operations(replicated_log& log,
                           const clock_source& clock,
                           std::function<void()> on_applied);

  // POST /v1/configuration with the YAML as body and the query parameters
  // expected_revision, change_id, author and note; GET /v1/configuration.
  void AddRoutes(route_table& routes);

 private:
  http_reply Apply(const http_request& request);
  http_reply Current();

  configuration_client client_;
  const clock_source& clock_;
  std::function<void()> on_applied_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_CONFIGURATION_OPERATIONS_H_
