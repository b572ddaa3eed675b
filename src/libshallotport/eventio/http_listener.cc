#include "eventio/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "eventio/http_connection.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

http_listener::http_listener(boost::asio::io_context& loop,
                             const clock_source& clock,
                             request_handler on_request)
    : loop_(loop),
      clock_(clock),
      on_request_(std::move(on_request)),
      acceptor_(loop),
      accept_retry_timer_(loop) {}

http_listener::~http_listener() {
  const auto open = std::exchange(connections_, {});
  for (const auto& each : open) {
    each->Detach();
  }
}

status http_listener::Listen(const std::string& address, uint16_t port) {
  if (status opened = OpenAcceptor(acceptor_, address, port); !IsOk(opened)) {
    return opened;
  }
  Accept();
  return success{};
}

void http_listener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& failure,
                                boost::asio::ip::tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted ||
        !acceptor_.is_open()) {
      return;
    }
    if (!failure) {
      auto connection =
          std::make_shared<http_connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->Start();
    }
    if (failure) {
      // Most likely out of file descriptors; some will be closed soon.
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait(
          [this](boost::system::error_code cancelled) {
            if (!cancelled) {
              Accept();
            }
          });
      return;
    }
    Accept();
  });
}

void http_listener::StartDraining() {
  is_draining_ = true;
}

void http_listener::CloseIdle() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->CloseIfIdle();
  }
}

void http_listener::EndAll() {
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->EndExchange();
  }
}

void http_listener::Sweep(steady_time now) {
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->Sweep(now);
  }
}

size_t http_listener::busy_count() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& each) { return each->is_busy(); }));
}

}  // namespace shallotport
