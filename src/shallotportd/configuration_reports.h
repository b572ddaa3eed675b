#ifndef SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_REPORTS_H_
#define SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_REPORTS_H_

#include "base/clock.h"
#include "control/configuration_client.h"
#include "serving/route_table.h"

namespace shallotport {

class configuration_distributor;

// What operators may ask about past and spreading configurations.
class configuration_reports {
 public:
  configuration_reports(replicated_log& log,
                        const clock_source& clock,
                        configuration_distributor& distributor);

  // GET /v1/configuration/history?limit=N, /v1/configuration/text?revision=N
  // and /v1/configuration/progress?revision=N.
  void AddRoutes(route_table& routes);

 private:
  http_reply History(const http_request& request);
  http_reply Text(const http_request& request);
  http_reply Progress(const http_request& request);

  configuration_client client_;
  const clock_source& clock_;
  configuration_distributor& distributor_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_REPORTS_H_
