#ifndef SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
#define SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/result.h"

namespace shallotport {

// Disables Nagle's algorithm, and enables keep-alive and timeouts that end a
// connection whose peer no longer acknowledges anything.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket);
// Call after SetStreamOptions(), where the peer may read slowly. Otherwise the
// kernel ends a connection whose peer leaves no room in its window for that
// long; the owner has to notice lost peers itself.
void AllowSlowReading(boost::asio::ip::tcp::socket& socket);
// Bytes that have been written and that the peer has not acknowledged.
size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);
// Whether a reset or a timeout has ended the connection. The kernel reports the
// error once, to the first call that meets it: after a write that failed, reads
// end as if the peer had closed its side. False where the kernel does not tell.
bool WasAborted(boost::asio::ip::tcp::socket& socket);

// Opens `acceptor` and listens on an address, even if a previous process used
// it until recently. The error names the address.
status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                    const std::string& ip,
                    uint16_t port);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
