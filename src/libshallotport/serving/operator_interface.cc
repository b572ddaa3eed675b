#include "serving/operator_interface.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "serving/serving_metrics.h"
#include "serving/state_registry.h"

namespace shallotport {

namespace {

bool IsOpenPath(std::string_view path) {
  return path == "/healthz" || path == "/readyz" || path == "/metrics";
}

http_reply PlainReply(int status, std::string text) {
  http_reply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "text/plain"});
  reply.body = std::move(text);
  return reply;
}

}  // namespace

operator_interface::operator_interface(std::string token,
                                       const state_registry& state,
                                       const serving_metrics& metrics,
                                       readiness is_ready)
    : token_(std::move(token)),
      state_(state),
      metrics_(metrics),
      is_ready_(std::move(is_ready)) {
  open_routes_.Add("GET", "/healthz", [](const http_request&, path_captures) {
    return PlainReply(200, "ok\n");
  });
  open_routes_.Add(
      "GET", "/readyz",
      [this](const http_request&, path_captures) { return Ready(); });
  open_routes_.Add(
      "GET", "/metrics",
      [this](const http_request&, path_captures) { return Metrics(); });
  routes_.Add("GET", "/debug/state",
              [this](const http_request&, path_captures) {
                return MakeJsonReply(200, state_.Dump().dump(2) + "\n");
              });
}

http_reply operator_interface::Handle(const http_request& request) const {
  if (IsOpenPath(request.path)) {
    return open_routes_.Handle(request);
  }
  if (request.Header("Authorization").value_or("") != "Bearer " + token_) {
    return MakeErrorReply(
        MakeError(error_kind::kUnauthenticated, "wrong operator token"), "");
  }
  return routes_.Handle(request);
}

http_reply operator_interface::Ready() const {
  const status ready = is_ready_();
  if (IsOk(ready)) {
    return PlainReply(200, "ready\n");
  }
  return PlainReply(503, ErrorOf(ready).detail + "\n");
}

http_reply operator_interface::Metrics() const {
  return PlainReply(
      200, metrics_.PrometheusText() + CountersAsPrometheusText(state_.Dump()));
}

}  // namespace shallotport
