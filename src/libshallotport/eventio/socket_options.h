#ifndef SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
#define SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "base/result.h"

namespace shallotport {

// Sends small pieces at once, and ends a connection whose other end no longer
// acknowledges anything.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket);

// Opens `acceptor` and listens at an address, which may have been in use a
// moment ago. The error names the address.
status OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                    const std::string& ip,
                    uint16_t port);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
