#include "operator_client.h"

#include <ulfius.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotport {

namespace {

constexpr int kConflictStatus = 409;

}  // namespace

operator_client::operator_client(std::string address, std::string token)
    : address_(std::move(address)), token_(std::move(token)) {
  ulfius_global_init();
}

operator_client::~operator_client() {
  ulfius_global_close();
}

result<http_reply> operator_client::Send(std::string_view method,
                                         std::string_view path,
                                         const std::vector<http_field>& query,
                                         std::string_view body) const {
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  const std::string url = "http://" + address_ + std::string(path);
  const std::string verb(method);
  const std::string authorization = "Bearer " + token_;
  ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, verb.c_str(),
                                U_OPT_HTTP_URL, url.c_str(), U_OPT_TIMEOUT,
                                static_cast<unsigned long>(timeout_.count()),
                                U_OPT_HEADER_PARAMETER, "Authorization",
                                authorization.c_str(), U_OPT_NONE);
  for (const http_field& field : query) {
    u_map_put(request.map_url, field.name.c_str(), field.value.c_str());
  }
  if (!body.empty()) {
    ulfius_set_binary_body_request(&request, body.data(), body.size());
  }
  const int outcome = ulfius_send_http_request(&request, &response);
  http_reply reply;
  reply.status = static_cast<int>(response.status);
  if (response.binary_body_length > 0) {
    reply.body.assign(static_cast<const char*>(response.binary_body),
                      response.binary_body_length);
  }
  ulfius_clean_response(&response);
  ulfius_clean_request(&request);
  if (outcome != U_OK) {
    return MakeError(error_kind::kEndpointFailed, address_ + ": no answer");
  }
  return reply;
}

bool IsSuccess(const result<http_reply>& reply) {
  return IsOk(reply) && ValueOf(reply).status / 100 == 2;
}

exit_code ReportFailure(const result<http_reply>& reply) {
  if (!IsOk(reply)) {
    std::cerr << "shallotctl: " << ErrorOf(reply).detail << "\n";
    return exit_code::kUnreachable;
  }
  const auto body = nlohmann::json::parse(ValueOf(reply).body, nullptr, false);
  if (body.is_object() && body.contains("error")) {
    std::cerr << "shallotctl: " << body["error"].value("code", "error") << ": "
              << body["error"].value("message", "") << "\n";
  } else {
    std::cerr << "shallotctl: " << ValueOf(reply).body << "\n";
  }
  return ValueOf(reply).status == kConflictStatus ? exit_code::kConflict
                                                  : exit_code::kFailed;
}

}  // namespace shallotport
