#include "shallotbench/http_call.h"

#include <ulfius.h>

namespace shallotport {

namespace {

using byte_sink = std::function<void(std::string_view)>;

size_t PassOn(void* bytes, size_t size, size_t count, void* sink) {
  (*static_cast<const byte_sink*>(sink))(
      {static_cast<const char*>(bytes), size * count});
  return size * count;
}

}  // namespace

http_outcome SendCall(const http_call& call) {
  std::string body;
  http_outcome outcome = SendStreamingCall(
      call, [&body](std::string_view bytes) { body += bytes; });
  outcome.body = std::move(body);
  return outcome;
}

http_outcome SendStreamingCall(const http_call& call, const byte_sink& sink) {
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  const std::string authorization = "Bearer " + call.token;
  ulfius_set_request_properties(
      &request, U_OPT_HTTP_VERB, call.verb.c_str(), U_OPT_HTTP_URL,
      call.url.c_str(), U_OPT_TIMEOUT, call.timeout_seconds,
      U_OPT_HEADER_PARAMETER, "Authorization", authorization.c_str(),
      U_OPT_HEADER_PARAMETER, "Content-Type", "application/json", U_OPT_NONE);
  for (const auto& [name, value] : call.headers) {
    u_map_put(request.map_header, name.c_str(), value.c_str());
  }
  ulfius_set_binary_body_request(&request, call.body.data(), call.body.size());
  byte_sink own_sink = sink;
  http_outcome outcome;
  outcome.is_answered = ulfius_send_http_streaming_request(
                            &request, &response, &PassOn, &own_sink) == U_OK;
  outcome.status = static_cast<int>(response.status);
  ulfius_clean_response(&response);
  ulfius_clean_request(&request);
  return outcome;
}

}  // namespace shallotport
