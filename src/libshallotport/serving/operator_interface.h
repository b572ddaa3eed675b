#ifndef SHALLOTPORT_SERVING_OPERATOR_INTERFACE_H_
#define SHALLOTPORT_SERVING_OPERATOR_INTERFACE_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "http/http_message.h"
#include "serving/route_table.h"

namespace shallotport {

class serving_metrics;
class state_registry;

// The operators' HTTP interface: health, metrics, state dump, and whatever the
// duties add to its routes.
class operator_interface {
 public:
  // Why the host is not ready; ok when it is.
  using readiness = std::function<status()>;

  operator_interface(std::string token,
                     const state_registry& state,
                     const serving_metrics& metrics,
                     readiness is_ready);

  // Duties add their routes here before the interface listens.
  route_table& routes() { return routes_; }

  http_reply Handle(const http_request& request) const;

 private:
  http_reply Ready() const;
  http_reply Metrics() const;

  std::string token_;
  const state_registry& state_;
  const serving_metrics& metrics_;
  readiness is_ready_;
  route_table open_routes_;  // Without a token, for balancers and collectors.
  route_table routes_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_OPERATOR_INTERFACE_H_
