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
#include "eventio/http_types.h"

namespace shallotport {

class endpoint_connection;

// How a call to an endpoint ended.
enum class call_end : uint8_t {
  kComplete,         // The whole answer was received.
  kNotSent,          // No connection: the request has not run.
  kConnectTimeout,   // As kNotSent: nobody answered the attempt to connect.
  kBroken,           // The connection or the answer broke: it may have run.
  kInvalidResponse,  // What came is no HTTP answer: it may have run.
};

// What a call reports. Nothing is reported after Cancel().
struct call_events {
  std::function<void(response_head head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(call_end end)> on_end;
};

// One request to one endpoint. Dropping the handle cancels the call, which
// closes its connection, so that the endpoint stops working on it.
class endpoint_call {
 public:
  virtual ~endpoint_call() = default;
};

// Identifies whom a connection was opened to: an address may be used again by
// another endpoint.
struct endpoint_address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const endpoint_address&) const = default;
};

// The bytes of one request and what its answer must look like.
struct outbound_request {
  std::string method;
  std::string bytes;
  // The header in which the endpoint echoes the request's id, and the id.
  // Answers that echo another id are late ones of earlier requests and are
  // skipped. Empty: not checked.
  std::string echo_header;
  std::string echo_value;
};

// Keeps connections to endpoints open between calls. An idle connection is
// used again only while the endpoint's stated keep-alive time allows, and is
// dropped as soon as unexpected bytes or an end arrive on it.
class endpoint_connection_pool {
 public:
  struct counters {
    uint64_t opened = 0;
    uint64_t reused = 0;
    uint64_t connect_failures = 0;
    uint64_t skipped_responses = 0;
  };

  endpoint_connection_pool(boost::asio::io_context& loop,
                           const clock_source& clock);
  ~endpoint_connection_pool();

  // Begins a call; its events come later, from the event loop.
  std::unique_ptr<endpoint_call> Start(const endpoint_address& to,
                                       outbound_request request,
                                       call_events events);
  // Closes idle connections that have outlived their time.
  void Sweep(steady_time now);
  // Closes the idle connections to one address.
  void CloseIdle(const endpoint_address& to);

  const counters& totals() const { return counters_; }
  size_t idle_count() const;

 private:
  friend class endpoint_connection;

  void AddIdle(std::shared_ptr<endpoint_connection> connection);
  void RemoveIdle(const endpoint_connection* connection);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  std::map<endpoint_address, std::vector<std::shared_ptr<endpoint_connection>>>
      idle_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_POOL_H_
