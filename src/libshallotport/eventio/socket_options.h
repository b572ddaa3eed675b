#ifndef SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
#define SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "base/result.h"

namespace shallotport {

// Disables Nagle's algorithm, and enables keep-alive and timeouts that end a
// connection whose peer no longer acknowledges anything.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket);

// Opens `acceptor` and listens on an address, even if a previous process used
// it until recently. The error names the address.
status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                    const std::string& ip,
                    uint16_t port);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
