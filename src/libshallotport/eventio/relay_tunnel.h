#ifndef SHALLOTPORT_EVENTIO_RELAY_TUNNEL_H_
#define SHALLOTPORT_EVENTIO_RELAY_TUNNEL_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "eventio/path_monitor.h"
#include "eventio/relay_frames.h"

namespace shallotport {

class relay_listener;

// One connection of another host to an endpoint, carried by this host. Each
// direction reads again only when what it read was written. Owned by the
// listener and its pending operations.
class relay_tunnel : public std::enable_shared_from_this<relay_tunnel> {
 public:
  relay_tunnel(relay_listener& listener, boost::asio::ip::tcp::socket host);

  void Begin();
  void StartDraining();
  // Closes both connections. The listener is being destroyed.
  void Detach();

 private:
  void ReadOpen();
  void OnOpenBytes();
  void Connect(const endpoint_address& to);
  void OnConnected();
  // Tells the host why there is no connection, then closes.
  void Refuse(relay_frame reason);
  void ReadFromHost();
  void WriteToEndpoint(size_t size);
  void ReadFromEndpoint();
  // A read has met the end of the endpoint's stream. Only an orderly end is
  // announced to the host.
  void OnEndpointEnd();
  // Closes both connections once all frames are written.
  void End();
  // Writes what is queued for the host, then reads on or closes.
  void WriteToHost();
  // The endpoint sees that its request was ended, the host that the connection
  // broke.
  void Close();

  relay_listener* listener_;
  boost::asio::ip::tcp::socket host_;
  boost::asio::ip::tcp::socket endpoint_;
  // Until the connection is open, and from its end until that is decided.
  boost::asio::steady_timer timer_;
  std::array<char, 8192> host_buffer_{};
  std::array<char, 8192> endpoint_buffer_{};
  std::string open_input_;  // Until the connection is open.
  std::string to_host_;     // Frames.
  std::string writing_to_host_;
  bool is_open_ = false;
  bool is_writing_to_host_ = false;
  bool is_writing_to_endpoint_ = false;
  bool has_endpoint_write_failed_ = false;
  uint32_t end_checks_ = 0;
  bool is_ending_ = false;           // Close once all frames are written.
  bool has_endpoint_bytes_ = false;  // Of which the frame is not yet written.
  bool is_closed_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_RELAY_TUNNEL_H_
