#ifndef SHALLOTPORT_EVENTIO_CONNECTION_ACCEPTOR_H_
#define SHALLOTPORT_EVENTIO_CONNECTION_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"

namespace shallotport {

// Accepts connections on one address, and goes on after failures, such as a
// lack of file descriptors. Owned by the component that serves the connections,
// which outlives its pending operations or the event loop's last turn.
class connection_acceptor {
 public:
  using accept_handler =
      std::function<void(boost::asio::ip::tcp::socket socket)>;

  connection_acceptor(boost::asio::io_context& loop,
                      accept_handler on_accepted);

  // Port 0: the system chooses one. May be called again after a failure.
  status Listen(const std::string& ip, uint16_t port);
  // Stops listening. Connections that wait to be accepted are handed over
  // first: the kernel would reset them, and their callers may have sent a
  // request.
  void Close();
  // 0 if it does not listen.
  uint16_t port() const;

 private:
  void Accept();

  const accept_handler on_accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_CONNECTION_ACCEPTOR_H_
