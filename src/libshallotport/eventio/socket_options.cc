#include "eventio/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>

namespace shallotport {

namespace {

// A connection ends when sent bytes stay unacknowledged for this long: several
// round trips within a region, and less than half of a caller's time limit.
constexpr int kUnacknowledgedTimeoutMs = 1'500;
// Keep-alive probes detect a silent peer within about three seconds.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;
// Connections of a burst that may wait to be accepted.
constexpr int kBacklog = 1'024;

}  // namespace

// Options that the kernel refuses are ignored: the application's own timeouts
// still apply.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
             sizeof(kUnacknowledgedTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS,
             sizeof(kKeepAliveIdleS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
             sizeof(kKeepAliveIntervalS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

void AllowSlowReading(boost::asio::ip::tcp::socket& socket) {
  const int none = 0;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &none,
             sizeof(none));
}

size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  const bool is_known = ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return is_known && bytes > 0 ? static_cast<size_t>(bytes) : 0;
}

bool WasAborted(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool is_known = getsockopt(socket.native_handle(), IPPROTO_TCP,
                                   TCP_INFO, &info, &size) == 0;
  return is_known && info.tcpi_state == TCP_CLOSE;
}

status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                    const std::string& ip,
                    uint16_t port) {
  using boost::asio::ip::tcp;
  boost::system::error_code failure;
  const tcp::endpoint local(boost::asio::ip::make_address(ip, failure), port);
  if (!failure) {
    acceptor.open(local.protocol(), failure);
  }
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(local, failure);
  }
  if (!failure) {
    acceptor.listen(kBacklog, failure);
  }
  if (failure) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    return MakeError(error_kind::kInternal, "cannot listen on " + ip + ":" +
                                                std::to_string(port) + ": " +
                                                failure.message());
  }
  return success{};
}

}  // namespace shallotport
