#ifndef SHALLOTPORT_EVENTIO_HTTP_CONNECTION_H_
#define SHALLOTPORT_EVENTIO_HTTP_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eventio/http_listener.h"
#include "eventio/memory_budget.h"
#include "eventio/slow_peer_watch.h"

namespace shallotport {

// A caller's connection, owned by its listener and by the exchange that it
// serves. Reading continues while a request is served, so that a disconnect of
// the caller is noticed. Runs on the listener's event loop.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(http_listener& listener, boost::asio::ip::tcp::socket socket);

  void Start();
  void Close();
  // Closes the connection and drops its reference to the listener, which is
  // being destroyed.
  void Detach();
  void Sweep(steady_time now);
  void CloseIfIdle(steady_time now);
  // Ends the request in progress, if any, as http_listener::EndAll() says.
  void EndRequest();

  bool is_busy() const { return is_serving_; }
  // Bytes that wait for the caller, or for the rest of its request.
  size_t held() const { return held_.count(); }

 private:
  friend class http_exchange;
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(const boost::system::error_code& failure, size_t size);
  // Runs a step that processes what the caller sent or took; closes the
  // connection if it throws.
  template <typename Step>
  void RunStep(Step&& step);
  void Parse();
  void Dispatch();
  void Reject(int status);
  void EndExchange();
  void Write(std::string_view bytes);
  void Flush();
  void FinishExchange(bool is_closing);
  void OnDisconnected();
  void OnSent(size_t size);
  // Tells `watch_` what the caller has acknowledged since the last call.
  void CountAcknowledged(steady_time now);
  // What has been written and not yet been taken by the caller.
  size_t UnsentBytes() const;
  void CountHeld();
  // Whether so much waits for the caller that its next request is not begun.
  bool IsBehind() const;
  // False if a request of this size is not accepted now.
  bool AcceptsBody() const;
  void BeginIdle();
  // Bytes wait in the socket.
  bool HasUnreadInput() const;
  // Closing a socket with unread bytes resets it, and the caller may lose the
  // response.
  void DiscardUnreadInput();
  std::string FormatHead(int status, const header_list& headers) const;

  http_listener* listener_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 8192> read_buffer_{};
  std::string input_;
  std::optional<request_parser> parser_;
  bool has_started_request_ = false;
  // Time of the request's first byte, or since when the connection is idle.
  steady_time phase_begun_at_{};
  // The limit in force when the connection became idle: the caller reuses it by
  // that limit, even if a later configuration has a lower one.
  duration idle_timeout_{};

  bool is_serving_ = false;
  bool is_reading_ = false;
  bool closes_after_response_ = false;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  // Only the end of the connection tells the caller that the response is whole.
  bool is_delimited_by_close_ = false;
  std::weak_ptr<http_exchange> exchange_;

  std::string output_;
  std::string sending_;
  size_t sent_ = 0;  // Of `sending_`.
  slow_peer_watch watch_;
  size_t unacknowledged_ = 0;  // In the socket, when it was last looked at.
  held_bytes held_;
  bool is_sending_ = false;
  bool closes_when_sent_ = false;
  bool is_closed_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HTTP_CONNECTION_H_
