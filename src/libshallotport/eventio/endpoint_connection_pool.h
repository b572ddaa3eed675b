#ifndef SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_POOL_H_
#define SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "eventio/connection_probe.h"
#include "eventio/http_types.h"
#include "eventio/path_monitor.h"

namespace shallotport {

class endpoint_connection;

// How a call to an endpoint ended.
enum class call_end : uint8_t {
  kComplete,         // The whole response was received.
  kNotSent,          // No connection: the request was not executed.
  kRefused,          // As kNotSent: no process listens at the address.
  kConnectTimeout,   // As kNotSent: the attempt to connect timed out.
  kBroken,           // The connection broke: may have been executed.
  kInvalidResponse,  // Not a valid HTTP response: may have been executed.
};

// Callbacks of a call, called from the event loop. None is called after the
// call's handle was destroyed.
struct call_events {
  std::function<void(response_head head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(call_end end)> on_end;
};

// Handle of one request to one endpoint. Destroying it cancels the call and
// closes its connection, so that the endpoint stops executing the request.
class endpoint_call {
 public:
  virtual ~endpoint_call() = default;

  // Stops and resumes reading the response. What was read already may still be
  // passed on.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

// A serialized request and how its response is recognized.
struct outbound_request {
  std::string method;
  std::string bytes;
  // Name of the header in which the endpoint echoes the request's id, and that
  // id. Responses that echo another id belong to other requests and are
  // skipped, and so are those that echo none, but for the first response on a
  // connection. Empty: nothing identifies the response, and the request gets a
  // connection of its own.
  std::string echo_header;
  std::string echo_value;
  // Without an echo header: the other side is known to answer each request
  // once and in order, so that the connection may be shared.
  bool is_order_trusted = false;
};

// Keeps connections to endpoints open between calls. An idle connection is
// reused only within the endpoint's stated keep-alive time, and is closed as
// soon as unexpected bytes or the end of the stream arrive on it. It is kept
// only after a response that named its request, and carries an id once: else
// earlier responses that the endpoint writes again could not be told from the
// awaited one. While this host is cut off from the endpoints, connections are
// opened through relays (path_monitor). Not thread-safe: to be used on the
// thread of `loop`.
class endpoint_connection_pool {
 public:
  struct counters {
    uint64_t opened = 0;
    uint64_t reused = 0;
    uint64_t connect_failures = 0;
    uint64_t skipped_responses = 0;       // That belong to no waiting request.
    uint64_t unidentified_responses = 0;  // Of these, that name no request.
    uint64_t probes = 0;
    uint64_t relayed = 0;  // Of those opened.
  };

  // A response was skipped. Called from the event loop, during a call.
  std::function<void(const endpoint_address& from,
                     const response_head& head,
                     bool names_request)>
      on_skipped;

  // Direct connections are made from `source_ip`; empty: the system chooses.
  endpoint_connection_pool(boost::asio::io_context& loop,
                           const clock_source& clock,
                           std::string source_ip = {});
  ~endpoint_connection_pool();

  // Begins a call. Its callbacks are called later, from the event loop.
  std::unique_ptr<endpoint_call> Start(const endpoint_address& to,
                                       outbound_request request,
                                       call_events events);
  // Finds out whether anything listens at an address, by a connection. The
  // handler is called later, from the event loop.
  void Probe(const endpoint_address& to,
             std::function<void(probe_result result)> on_result);
  // Closes idle connections whose keep-alive time has expired, and relayed ones
  // that are not needed any more.
  void Sweep(steady_time now);
  // Closes the idle connections to one address.
  void CloseIdle(const endpoint_address& to);

  path_monitor& paths() { return paths_; }
  const path_monitor& paths() const { return paths_; }
  const counters& totals() const { return counters_; }
  size_t idle_count() const;

 private:
  friend class endpoint_connection;

  // Removes an idle connection to `to` that may carry the request from the
  // pool; null if there is none.
  std::shared_ptr<endpoint_connection> TakeReusable(
      const endpoint_address& to,
      const outbound_request& request);
  // The idle connection of the most recent call to `to` that may carry the
  // request; null if there is none.
  std::shared_ptr<endpoint_connection> FindIdle(
      const endpoint_address& to,
      const outbound_request& request) const;
  void RecordSkipped(const endpoint_address& from,
                     const response_head& head,
                     bool names_request);
  void AddIdle(std::shared_ptr<endpoint_connection> connection);
  void RemoveIdle(const endpoint_connection* connection);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const std::string source_ip_;
  std::map<endpoint_address, std::vector<std::shared_ptr<endpoint_connection>>>
      idle_;
  path_monitor paths_;
  uint64_t next_call_ = 1;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_POOL_H_
