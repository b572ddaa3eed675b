#include "eventio/relay_listener.h"

#include <utility>

#include "eventio/relay_tunnel.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

// Of one host; each has two descriptors and some 40 KB.
constexpr size_t kMaxTunnels = 512;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

relay_listener::relay_listener(
    boost::asio::io_context& loop,
    std::function<bool(const endpoint_address& address)> is_endpoint)
    : loop_(loop),
      is_endpoint_(std::move(is_endpoint)),
      acceptor_(loop),
      accept_retry_timer_(loop) {}

relay_listener::~relay_listener() {
  const auto tunnels = std::exchange(tunnels_, {});
  for (const auto& each : tunnels) {
    each->Detach();
  }
}

status relay_listener::Listen(const std::string& ip, uint16_t port) {
  if (status opened = OpenAcceptor(acceptor_, ip, port); !IsOk(opened)) {
    return opened;
  }
  Accept();
  return success{};
}

void relay_listener::Accept() {
  acceptor_.async_accept([this](boost::system::error_code failure,
                                boost::asio::ip::tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted ||
        !acceptor_.is_open()) {
      return;
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
    if (tunnels_.size() < kMaxTunnels) {
      const auto tunnel =
          std::make_shared<relay_tunnel>(*this, std::move(socket));
      tunnels_.insert(tunnel);
      tunnel->Begin();
    } else {
      ++counters_.declined;
    }
    Accept();
  });
}

void relay_listener::Remove(const std::shared_ptr<relay_tunnel>& tunnel) {
  tunnels_.erase(tunnel);
}

void relay_listener::StartDraining() {
  is_draining_ = true;
  for (const auto& each : tunnels_) {
    each->StartDraining();
  }
}

}  // namespace shallotport
