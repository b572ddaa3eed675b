#ifndef SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_H_
#define SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "eventio/endpoint_connection_pool.h"

namespace shallotport {

// A connection to an endpoint that carries one call at a time. Owned by the
// pool while idle, and by its pending asynchronous operations and the call's
// handle during a call. Runs on the event loop of the pool.
class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
 public:
  endpoint_connection(endpoint_connection_pool& pool,
                      const endpoint_address& to);

  // Sends the request, after connecting if necessary.
  void Begin(outbound_request request, call_events events);
  void Close();
  // Closes the connection and drops its reference to the pool, which is being
  // destroyed.
  void Detach();

  const endpoint_address& address() const { return address_; }
  bool IsReusable(steady_time now) const;

 private:
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void Read();
  void OnInput();
  void OnEndOfStream();
  bool ParseInput();
  bool ProcessHead();
  void ProcessBody();
  void FinishResponse();
  void Finish(call_end end);
  void CountParsed(size_t parsed_bytes);
  // An endpoint in trouble may write without end.
  bool IsTooLong() const;

  endpoint_connection_pool* pool_;
  const endpoint_address address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  std::array<char, 8192> read_buffer_{};
  std::string input_;
  std::optional<response_parser> parser_;
  outbound_request request_;
  call_events events_;
  bool is_connected_ = false;
  bool is_reading_ = false;
  bool is_in_call_ = false;
  bool is_sent_ = false;  // The whole request has been written.
  bool has_head_ = false;
  // Discards a late response to an earlier request.
  bool is_skipping_response_ = false;
  bool may_keep_alive_ = false;
  bool is_closed_ = false;
  // Of the current call: before its response's head (interim responses, answers
  // to other requests), and of what frames its body since the last byte of
  // that.
  size_t preamble_bytes_ = 0;
  size_t framing_bytes_ = 0;
  duration keep_alive_{};
  steady_time idle_until_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_ENDPOINT_CONNECTION_H_
