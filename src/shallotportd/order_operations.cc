#include "order_operations.h"

#include <nlohmann/json.hpp>

#include "order_json.h"

namespace shallotport {

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

http_reply ReplyOf(const order_reply& reply) {
  switch (reply.verdict) {
    case order_verdict::kAccepted:
    case order_verdict::kRepeated: {
      const bool is_repeated = reply.verdict == order_verdict::kRepeated;
      const nlohmann::json body = {{"accepted", true},
                                   {"repeated", is_repeated}};
      return MakeJsonReply(200, body.dump() + "\n");
    }
    case order_verdict::kIdReused:
      return MakeErrorReply(
          MakeError(error_kind::kConflict, "id was used for a different order"),
          "");
    case order_verdict::kFull:
      return MakeErrorReply(
          MakeError(error_kind::kOverLimit, "too many orders are queued"), "");
    default:
      return MakeErrorReply(
          MakeError(error_kind::kInvalidRequest, "the order was refused"), "");
  }
}

}  // namespace

order_operations::order_operations(replicated_log& log,
                                   const clock_source& clock)
    : client_(log), clock_(clock) {}

void order_operations::AddRoutes(route_table& routes) {
  routes.Add("POST", "/v1/orders",
             [this](const http_request& request, path_captures) {
               return Add(request);
             });
  routes.Add("GET", "/v1/orders",
             [this](const http_request&, path_captures) { return List(); });
}

void order_operations::UpdateEndpoint(const endpoint_record& endpoint) {
  const std::lock_guard lock(mutex_);
  targets_[endpoint.id] = {endpoint.address, endpoint.checks_fencing};
}

void order_operations::RemoveEndpoint(const endpoint_id& endpoint) {
  const std::lock_guard lock(mutex_);
  targets_.erase(endpoint);
}

http_reply order_operations::Add(const http_request& request) {
  result<endpoint_order> order = ReadOrder(request.body);
  if (!IsOk(order)) {
    return MakeErrorReply(ErrorOf(order), "");
  }
  order_add add;
  add.order = std::move(ValueOf(order));
  {
    const std::lock_guard lock(mutex_);
    const auto target = targets_.find(add.order.endpoint);
    if (target == targets_.end()) {
      return MakeErrorReply(
          MakeError(error_kind::kNotFound,
                    "this host does not know the endpoint; ask one of its "
                    "failure domain"),
          "");
    }
    add.target = target->second;
  }
  const auto reply = client_.Add(add, clock_.Now() + kTimeout);
  if (!IsOk(reply)) {
    return MakeErrorReply(ErrorOf(reply), "");
  }
  return ReplyOf(ValueOf(reply));
}

http_reply order_operations::List() {
  const auto list = client_.List(clock_.Now() + kTimeout);
  if (!IsOk(list)) {
    return MakeErrorReply(ErrorOf(list), "");
  }
  nlohmann::json body = {{"epoch", ValueOf(list).epoch},
                         {"leader", ValueOf(list).leader.text()},
                         {"queued", nlohmann::json::array()},
                         {"settled", nlohmann::json::array()}};
  for (const order_record& record : ValueOf(list).queued) {
    body["queued"].push_back(JsonOf(record));
  }
  for (const order_record& record : ValueOf(list).settled) {
    body["settled"].push_back(JsonOf(record));
  }
  return MakeJsonReply(200, body.dump() + "\n");
}

}  // namespace shallotport
