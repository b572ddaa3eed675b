#ifndef SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
#define SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace shallotport {

// Sends small pieces at once, and ends a connection whose other end no longer
// acknowledges anything.
void SetStreamOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_SOCKET_OPTIONS_H_
