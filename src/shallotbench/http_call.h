#ifndef SHALLOTPORT_SHALLOTBENCH_HTTP_CALL_H_
#define SHALLOTPORT_SHALLOTBENCH_HTTP_CALL_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotport {

struct http_call {
  std::string verb = "GET";
  std::string url;
  std::string token;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  unsigned long timeout_seconds = 60;
};

struct http_outcome {
  bool is_answered = false;  // False: no connection, or it broke.
  int status = 0;
  std::string body;  // Empty when the bytes went to a sink.
};

// Sends one request and waits for the whole answer.
http_outcome SendCall(const http_call& call);

// As SendCall, but hands the body's bytes on as they arrive.
http_outcome SendStreamingCall(
    const http_call& call,
    const std::function<void(std::string_view)>& sink);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_HTTP_CALL_H_
