#ifndef SHALLOTPORT_SHALLOTPORTD_ORDER_OPERATIONS_H_
#define SHALLOTPORT_SHALLOTPORTD_ORDER_OPERATIONS_H_

#include <map>
#include <mutex>

#include "base/clock.h"
#include "control/order_client.h"
#include "membership/endpoint_record.h"
#include "serving/route_table.h"

namespace shallotport {

// The operators' requests about orders. An order is taken by a host that knows
// its endpoint, thus one of the endpoint's failure domain.
class order_operations {
 public:
  order_operations(replicated_log& log, const clock_source& clock);

  // POST /v1/orders with a JSON object; GET /v1/orders.
  void AddRoutes(route_table& routes);

  // What this host's failure domain announces. Thread-safe.
  void UpdateEndpoint(const endpoint_record& endpoint);
  void RemoveEndpoint(const endpoint_id& endpoint);

 private:
  http_reply Add(const http_request& request);
  http_reply List();

  order_client client_;
  const clock_source& clock_;
  std::mutex mutex_;  // Guards targets_.
  std::map<endpoint_id, order_target> targets_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_ORDER_OPERATIONS_H_
