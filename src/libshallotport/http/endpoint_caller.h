#ifndef SHALLOTPORT_HTTP_ENDPOINT_CALLER_H_
#define SHALLOTPORT_HTTP_ENDPOINT_CALLER_H_

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "http/http_message.h"

namespace shallotport {

// One call to an endpoint.
struct endpoint_call {
  std::string method = "POST";
  std::string address;  // "IP:port".
  std::string path;     // With query, starting with '/'.
  std::vector<http_field> headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds timeout{30'000};  // For the whole call.
};

// How a call ended. `is_sent` is false only when no byte of the request left
// this host, which proves that the endpoint did not run it.
struct endpoint_call_end {
  bool is_whole = false;  // The answer arrived to its declared end.
  bool is_sent = true;
  std::string detail;  // What went wrong, for people.
};

// Receives a call's events on the caller's thread and must not block. After
// OnEnd nothing follows.
class endpoint_call_sink {
 public:
  virtual ~endpoint_call_sink() = default;
  virtual void OnHead(int status, std::vector<http_field> headers) = 0;
  virtual void OnBytes(std::string_view bytes) = 0;
  virtual void OnEnd(const endpoint_call_end& end) = 0;
};

using call_number = uint64_t;

// Carries the calls of one lane to endpoints, on one thread. Every call has a
// new connection: one that went silent cannot harm a later call. libcurl is
// used directly, since the server library's client neither tells a refused
// connection from a broken one nor can be cancelled.
class endpoint_caller {
 public:
  // At most `max_calls` at the same time.
  static result<std::unique_ptr<endpoint_caller>> Create(size_t max_calls);

  virtual ~endpoint_caller() = default;

  // kNoCapacity when the lane is full. Thread-safe.
  virtual result<call_number> Start(
      endpoint_call call,
      std::shared_ptr<endpoint_call_sink> sink) = 0;

  // Closes the call's connection at once. The sink still gets OnEnd, unless
  // the call had ended. Thread-safe.
  virtual void Cancel(call_number call) = 0;

  // Cancels every call and ends the thread.
  virtual void Stop() = 0;

  virtual void WriteState(nlohmann::json& out) const = 0;
};

// Makes one call and waits for its whole answer: for short calls outside the
// online path. kEndpointFailed when there is none.
result<http_reply> CallAndWait(endpoint_caller& caller, endpoint_call call);

}  // namespace shallotport

#endif  // SHALLOTPORT_HTTP_ENDPOINT_CALLER_H_
