#ifndef SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_
#define SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "eventio/http_types.h"

namespace shallotport {

class http_connection;

// Bounds on what a caller may send.
struct listener_limits {
  uint32_t header_bytes = 16u << 10;
  uint64_t body_bytes = 4u << 20;
  // From the first byte of a request to the end of its header.
  duration header_timeout = std::chrono::seconds(3);
  // Between requests; callers reuse connections up to four fifths of it.
  duration idle_timeout = std::chrono::seconds(15);
};

// One request that waits for its answer, held by whoever answers it. Every
// exchange is ended by Respond(), EndStream() or Abort(); dropping it aborts.
class http_exchange {
 public:
  explicit http_exchange(std::shared_ptr<http_connection> connection);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Called once when the caller's connection ends before the answer does.
  std::function<void()> on_disconnected;

  // Sends a whole answer.
  void Respond(int status, const header_list& headers, std::string_view body);
  // Sends an answer in pieces, each as soon as it is given.
  void BeginStream(int status, const header_list& headers);
  void SendChunk(std::string_view data);
  void EndStream();
  // Ends the connection, so that a begun answer never looks complete.
  void Abort();

  bool is_ended() const { return is_ended_; }
  bool has_begun() const { return has_begun_; }

 private:
  friend class http_connection;

  std::shared_ptr<http_connection> connection_;
  bool has_begun_ = false;
  bool is_ended_ = false;
};

// Accepts callers' connections on one address and reads their requests; all
// work is done on the event loop's thread. Requests are read whole and parsed
// strictly: a body with both a length and chunks, or a line without its
// carriage return, is refused with 400.
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

  // Answers from now on end their connections.
  void StartDraining();
  // Accepts no more connections and closes those that wait for a request.
  void CloseIdle();
  // Closes connections that exceed a time limit; call it a few times a second.
  void Sweep(steady_time now);

  bool is_draining() const { return is_draining_; }
  size_t connection_count() const { return connections_.size(); }
  size_t busy_count() const;

 private:
  friend class http_connection;

  void Accept();

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  request_handler on_request_;
  listener_limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::set<std::shared_ptr<http_connection>> connections_;
  bool is_draining_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HTTP_LISTENER_H_
