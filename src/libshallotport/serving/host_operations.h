#ifndef SHALLOTPORT_SERVING_HOST_OPERATIONS_H_
#define SHALLOTPORT_SERVING_HOST_OPERATIONS_H_

#include "base/clock.h"
#include "serving/route_table.h"

namespace shallotport {

class forwarding_log;

// The operators' requests about the hosts that hold the replicated log.
class host_operations {
 public:
  host_operations(forwarding_log& log, const clock_source& clock);

  // GET /v1/hosts lists the members; POST /v1/hosts/add?host=,
  // /v1/hosts/remove?host= and /v1/hosts/replace?host=&by= change them and
  // answer when the change is committed. A step that would lose the quorum is
  // a conflict that says why.
  void AddRoutes(route_table& routes);

 private:
  http_reply List() const;
  http_reply Add(const http_request& request);
  http_reply Remove(const http_request& request);
  http_reply Replace(const http_request& request);

  forwarding_log& log_;
  const clock_source& clock_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_HOST_OPERATIONS_H_
