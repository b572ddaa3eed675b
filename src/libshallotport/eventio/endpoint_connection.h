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
#include <string_view>
#include <vector>

#include "eventio/endpoint_connection_pool.h"
#include "eventio/relay_frames.h"
#include "eventio/stream_end.h"

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
  // Of the current call's response.
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();
  // Closes the connection and drops its reference to the pool, which is being
  // destroyed.
  void Detach();

  const endpoint_address& address() const { return address_; }
  bool is_relayed() const { return path_.has_value(); }
  bool IsReusable(steady_time now) const;
  // Whether bytes wait to be read, or the connection has ended.
  bool HasInput();
  // Whether the response to the request can be told from those to requests
  // that the connection has carried.
  bool MayCarry(const outbound_request& request) const;

 private:
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  // Tries the next way to the endpoint, if one is left.
  void Connect();
  // Whether the attempt with this number is under way.
  bool IsConnecting(size_t attempt) const;
  void OnConnected();
  // `failure`: how the call ends if no other way is left.
  call_end ConnectFailure(const boost::system::error_code& failure) const;
  void OnPathFailed(call_end failure);
  void RequestRelay();
  void OnRelayRefused(relay_frame reason);
  void Send();
  void Read();
  void OnRead(size_t attempt,
              const boost::system::error_code& failure,
              size_t size);
  void NoteTimeout(const boost::system::error_code& failure);
  void OnBytes(std::string_view bytes);
  // False if the rest of the frames is of no interest.
  bool OnRelayFrame(relay_frame kind, std::string_view payload);
  void OnInput();
  void OnEndOfStream();
  stream_end JudgeEnd();
  bool ParseInput();
  bool ProcessHead();
  bool IsAnswer(const response_head& head);
  void Skip(const response_head& head);
  void ProcessBody();
  void FinishResponse();
  void Finish(call_end end);
  bool MayCarryMore() const;
  void EndCall();
  void CountParsed(size_t parsed_bytes);
  // An endpoint in trouble may write without end.
  bool IsTooLong() const;

  endpoint_connection_pool* pool_;
  const endpoint_address address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer end_timer_;  // Until the stream's end is decided.
  uint32_t end_checks_ = 0;
  std::array<char, 8192> read_buffer_{};
  std::string input_;
  std::vector<endpoint_path> tried_paths_;  // The last one is `path_`.
  endpoint_path path_;
  std::string relay_request_;
  relay_frame_reader relay_frames_;
  call_end connect_failure_ = call_end::kNotSent;  // Of the last path.
  bool has_relay_end_ = false;  // The endpoint has ended the connection.
  bool is_relay_leaving_ = false;
  uint64_t call_ = 0;                // For the pool's path_monitor.
  std::vector<size_t> carried_ids_;  // Hashes.
  std::optional<response_parser> parser_;
  outbound_request request_;
  call_events events_;
  bool is_connected_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_in_call_ = false;
  bool is_sent_ = false;  // The whole request has been written.
  bool has_write_failed_ = false;
  bool has_head_ = false;
  std::string head_;  // As received, until it is whole.
  // Discards a response that belongs to no waiting request.
  bool is_skipping_response_ = false;
  bool has_skipped_response_ = false;
  bool is_named_ = false;  // The response names the request.
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
