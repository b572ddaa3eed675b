#ifndef SHALLOTPORT_SHALLOTCTL_OPERATOR_CLIENT_H_
#define SHALLOTPORT_SHALLOTCTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "command.h"
#include "http/http_message.h"

namespace shallotport {

// Speaks to the operators' interface of one host.
class operator_client {
 public:
  // `address` is "IP:port".
  operator_client(std::string address, std::string token);
  ~operator_client();

  operator_client(const operator_client&) = delete;
  operator_client& operator=(const operator_client&) = delete;

  // The host's answer, whatever its status; kEndpointFailed when none came.
  result<http_reply> Send(std::string_view method,
                          std::string_view path,
                          const std::vector<http_field>& query = {},
                          std::string_view body = {}) const;

  void SetTimeout(std::chrono::seconds timeout) { timeout_ = timeout; }

 private:
  std::string address_;
  std::string token_;
  std::chrono::seconds timeout_{10};
};

// Prints why `reply` is no success and returns the exit code for it.
exit_code ReportFailure(const result<http_reply>& reply);

// True for a reply with a status of 2xx.
bool IsSuccess(const result<http_reply>& reply);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTCTL_OPERATOR_CLIENT_H_
