#include "eventio/connection_acceptor.h"

#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};
// Of connections accepted at the close, so that a flood does not delay it:
// twice the kernel's queue.
constexpr int kMaxAcceptedAtClose = 2'048;

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
  if (!acceptor_.is_open()) {
    return;
  }
  boost::system::error_code failure;
  acceptor_.non_blocking(true, failure);
  for (int count = 0; !failure && count < kMaxAcceptedAtClose; ++count) {
    boost::asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, failure);
    if (!failure) {
      RunGuarded("accept", [&] { on_accepted_(std::move(socket)); });
    }
  }
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
    // The acceptor may have been closed after this connection was accepted.
    if (!failure) {
      RunGuarded("accept", [&] { on_accepted_(std::move(socket)); });
    }
    if (failure == boost::asio::error::operation_aborted ||
        !acceptor_.is_open()) {
      return;
    }
    if (!failure) {
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
