#include "eventio/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotport {

namespace {

// Sent bytes that stay unacknowledged this long end the connection: several
// round trips within a region, and less than half of a caller's time limit.
constexpr int kUnacknowledgedMs = 1'500;
// Keep-alive probes find a silent peer within about three seconds.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

// Options that the kernel refuses are left out: the timeouts of the
// application's own still hold.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
             sizeof(kUnacknowledgedMs));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS,
             sizeof(kKeepAliveIdleS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
             sizeof(kKeepAliveIntervalS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

}  // namespace shallotport
