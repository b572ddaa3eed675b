#ifndef SHALLOTPORT_EVENTIO_RELAY_LISTENER_H_
#define SHALLOTPORT_EVENTIO_RELAY_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/result.h"
#include "eventio/connection_acceptor.h"
#include "eventio/path_monitor.h"

namespace shallotport {

class relay_tunnel;

// Opens connections to endpoints for hosts that cannot, and carries the bytes
// both ways (relay_frame). It reads nothing of what it carries: the other host
// chooses the endpoint and keeps all promises; how a connection ends at one
// side, whole or broken, is what the other side sees. Connections to endpoints
// are always direct ones, so that relays cannot form a circle. Memory is
// bounded by the number of tunnels: each holds one buffer a direction. Runs on
// the thread of `loop`.
class relay_listener {
 public:
  struct counters {
    uint64_t opened = 0;
    uint64_t refused = 0;   // By the endpoint's address, or no answer.
    uint64_t declined = 0;  // Not an endpoint's address, too many, or stopping.
  };

  // `is_endpoint` says to which addresses connections are opened.
  relay_listener(
      boost::asio::io_context& loop,
      std::function<bool(const endpoint_address& address)> is_endpoint);
  ~relay_listener();

  // Port 0: the system chooses one.
  status Listen(const std::string& ip, uint16_t port);
  uint16_t port() const { return acceptor_.port(); }
  // Opens no more connections and asks the other hosts to end theirs.
  void StartDraining();

  size_t tunnel_count() const { return tunnels_.size(); }
  const counters& totals() const { return counters_; }

 private:
  friend class relay_tunnel;

  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void Remove(const std::shared_ptr<relay_tunnel>& tunnel);

  boost::asio::io_context& loop_;
  const std::function<bool(const endpoint_address& address)> is_endpoint_;
  connection_acceptor acceptor_;
  std::set<std::shared_ptr<relay_tunnel>> tunnels_;
  counters counters_;
  bool is_draining_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_RELAY_LISTENER_H_
