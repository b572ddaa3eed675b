#ifndef SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_
#define SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "eventio/connection_acceptor.h"
#include "eventio/http_types.h"

namespace shallotport {

class http_connection;
class memory_budget;

// Counters of callers' connections that this host closed, since its start.
struct listener_counters {
  uint64_t closed_idle = 0;
  // A request was read, and its connection was closed before any response.
  uint64_t unanswered = 0;
  uint64_t closed_stalled = 0;  // The caller did not take its response.
  uint64_t closed_for_memory = 0;
  uint64_t refused_large = 0;  // Requests, while memory was scarce.
};

// Limits on requests and connections of callers.
struct listener_limits {
  uint32_t header_bytes = 16u << 10;
  uint64_t body_bytes = 4u << 20;
  // From the first byte of a request to the end of its headers.
  duration header_timeout = std::chrono::seconds(3);
  // Between requests. Callers reuse a connection for up to four fifths of this
  // time.
  duration idle_timeout = std::chrono::seconds(15);
};

// A request and its pending response, owned by the component that responds.
// Ended by Respond(), EndStream() or Abort(); destroying an exchange that has
// not ended aborts it.
class http_exchange {
 public:
  explicit http_exchange(std::shared_ptr<http_connection> connection);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Called once if the caller's connection ends before the response does.
  std::function<void()> on_disconnected;

  // Called when the caller has taken bytes of the response.
  std::function<void()> on_taken;
  // Bytes of the response that the caller has not taken yet.
  size_t held() const;

  // Sends a complete response.
  void Respond(int status, const header_list& headers, std::string_view body);
  // Sends a response as a stream of chunks, each as soon as it is passed.
  void BeginStream(int status, const header_list& headers);
  void SendChunk(std::string_view data);
  void EndStream();
  // Closes the connection, so that a begun response never looks complete.
  void Abort();

  bool is_ended() const { return is_ended_; }
  bool has_begun() const { return has_begun_; }

 private:
  friend class http_connection;

  std::shared_ptr<http_connection> connection_;
  bool has_begun_ = false;
  bool is_ended_ = false;
};

// Accepts callers' connections on one address and reads their requests.
// Everything runs on the thread of the event loop. Requests are read whole and
// parsed strictly: a request with both Content-Length and chunked encoding, or
// with a line that lacks its carriage return, is rejected with 400.
class http_listener {
 public:
  using request_handler =
      std::function<void(inbound_request request,
                         std::shared_ptr<http_exchange> exchange)>;

  http_listener(boost::asio::io_context& loop,
                const clock_source& clock,
                request_handler on_request);
  ~http_listener();

  status Listen(const std::string& address, uint16_t port);
  void SetLimits(const listener_limits& limits) { limits_ = limits; }
  // Call before Listen(); the budget outlives the listener.
  void SetMemoryBudget(memory_budget* memory) { memory_ = memory; }

  // From now on, connections are closed after their current response.
  void StartDraining();
  // Stops accepting connections and closes those that have been idle for a
  // while; to be called a few times a second until none is left. A request may
  // be on its way on the others.
  void CloseIdle(steady_time now);
  // Ends all exchanges: with 502 where no response has begun, because the
  // request may have been executed, otherwise with the connection. Requests
  // that were not begun get 503.
  void EndAll();
  // Closes connections that exceeded a time limit, whose caller has stalled, or
  // that hold most while memory is nearly used up; to be called a few times a
  // second.
  void Sweep(steady_time now);

  bool is_draining() const { return is_draining_; }
  size_t connection_count() const { return connections_.size(); }
  size_t busy_count() const;
  const listener_counters& counters() const { return counters_; }

 private:
  friend class http_connection;
  friend class http_exchange;

  void CloseLargest();

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  request_handler on_request_;
  listener_limits limits_;
  listener_counters counters_;
  memory_budget* memory_ = nullptr;
  connection_acceptor acceptor_;
  std::set<std::shared_ptr<http_connection>> connections_;
  bool is_draining_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_
