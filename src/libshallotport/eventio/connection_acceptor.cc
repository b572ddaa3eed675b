#include "eventio/connection_acceptor.h"

#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

connection_acceptor::connection_acceptor(boost::asio::io_context& loop,
                                         accept_handler on_accepted)
    : on_accepted_(std::move(on_accepted)),
      acceptor_(loop),
      retry_timer_(loop) {}

status connection_acceptor::Listen(const std::string& ip, uint16_t port) {
  if (status opened = OpenAcceptor(acceptor_, ip, port); !IsOk(opened)) {
    return opened;
  }
  Accept();
  return success{};
}

void connection_acceptor::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

uint16_t connection_acceptor::port() const {
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void connection_acceptor::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& failure,
                                boost::asio::ip::tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted ||
        !acceptor_.is_open()) {
      return;
    }
    if (!failure) {
      RunGuarded("accept", [&] { on_accepted_(std::move(socket)); });
      Accept();
      return;
    }
    // Most likely out of file descriptors; some will be closed soon.
    retry_timer_.expires_after(kRetryDelay);
    retry_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) {
        Accept();
      }
    });
  });
}

}  // namespace shallotport
