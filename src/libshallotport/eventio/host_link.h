#ifndef SHALLOTPORT_EVENTIO_HOST_LINK_H_
#define SHALLOTPORT_EVENTIO_HOST_LINK_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace shallotport {

class link_hub;

// A TCP connection between two hosts that carries frames: payload length (4
// bytes), kind (1 byte), payload. Owned by its hub and runs on the hub's event
// loop.
class host_link : public std::enable_shared_from_this<host_link> {
 public:
  // Creates an accepted link, or, with an address, one to be dialed.
  host_link(link_hub& hub, boost::asio::ip::tcp::socket socket);
  host_link(link_hub& hub, std::string ip);

  void StartAccepted();
  // Connects from the address `source_ip`; empty: the system chooses one.
  void Dial(uint16_t port, const std::string& source_ip);
  // The frame is dropped when the link is not up. Closes the link when the
  // other side reads so slowly that the send queue is full.
  void Send(uint8_t kind, std::string_view payload);
  void Close();
  void Detach();
  void Tick(steady_time now);
  // Excludes a stall of this process, which did not run for `stall` until now,
  // from the other side's silence.
  void ExcuseStall(duration stall, steady_time now);

  const std::string& ip() const { return ip_; }
  bool is_dialed() const { return is_dialed_; }
  bool is_up() const { return is_up_ && !is_closed_; }
  // Bytes that the other side has not taken yet.
  size_t queued_bytes() const { return output_.size() + sending_.size(); }

  // Name and start of the host at the other end, once it has announced itself;
  // set and used by the duties.
  std::string peer_name;
  uint64_t peer_start_id = 0;

 private:
  void OnConnected();
  void Read();
  bool ProcessFrames();
  void Flush();

  link_hub* hub_;
  boost::asio::ip::tcp::socket socket_;
  std::string ip_;
  const bool is_dialed_;
  bool is_up_ = false;
  bool is_closed_ = false;
  steady_time dial_begun_at_{};
  steady_time last_received_at_{};
  steady_time last_ping_at_{};
  std::array<char, 16384> read_buffer_{};
  std::string input_;
  std::string output_;
  std::string sending_;
  bool is_sending_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HOST_LINK_H_
