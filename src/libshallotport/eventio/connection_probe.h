#ifndef SHALLOTPORT_EVENTIO_CONNECTION_PROBE_H_
#define SHALLOTPORT_EVENTIO_CONNECTION_PROBE_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "eventio/path_monitor.h"
#include "eventio/relay_frames.h"

namespace shallotport {

// What listens at an endpoint's address.
enum class probe_result : uint8_t {
  kAccepted,  // A connection was accepted, and closed without a request.
  kRefused,   // Nothing: the process has ended.
  kUnknown,   // No answer in time, or another error.
};

// Finds out by a connection whether anything listens at an address. Where it
// seems that nothing does, a relay is asked as well: this host may be cut off.
// Owned by its pending operations.
class connection_probe : public std::enable_shared_from_this<connection_probe> {
 public:
  connection_probe(boost::asio::io_context& loop,
                   endpoint_address to,
                   std::optional<relay_address> relay,
                   std::function<void(probe_result result)> on_result);

  // `is_cut_off`: only a relay, if there is one, can tell.
  void Begin(bool is_cut_off);

 private:
  using connect_handler =
      std::function<void(const boost::system::error_code& failure)>;

  void Connect(const std::string& host_ip,
               uint16_t port,
               connect_handler on_connected);
  void OnConnected(const boost::system::error_code& failure);
  void AskRelay();
  void ReadReply();
  void OnReply(std::string_view bytes);
  void Finish(probe_result result);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const endpoint_address to_;
  const std::optional<relay_address> relay_;
  std::function<void(probe_result result)> on_result_;  // Until it is known.
  std::string open_request_;
  std::array<char, 256> reply_{};
  relay_frame_reader frames_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_CONNECTION_PROBE_H_
