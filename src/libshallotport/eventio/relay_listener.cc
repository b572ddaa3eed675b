#include "eventio/relay_listener.h"

#include <utility>

#include "eventio/relay_tunnel.h"

namespace shallotport {

namespace {

// Of one host; each has two descriptors and some 40 KB.
constexpr size_t kMaxTunnels = 512;

}  // namespace

relay_listener::relay_listener(
    boost::asio::io_context& loop,
    std::function<bool(const endpoint_address& address)> is_endpoint)
    : loop_(loop),
      is_endpoint_(std::move(is_endpoint)),
      acceptor_(loop, [this](boost::asio::ip::tcp::socket socket) {
        OnAccepted(std::move(socket));
      }) {}

relay_listener::~relay_listener() {
  const auto tunnels = std::exchange(tunnels_, {});
  for (const auto& each : tunnels) {
    each->Detach();
  }
}

status relay_listener::Listen(const std::string& ip, uint16_t port) {
  return acceptor_.Listen(ip, port);
}

void relay_listener::OnAccepted(boost::asio::ip::tcp::socket socket) {
  if (tunnels_.size() >= kMaxTunnels) {
    ++counters_.declined;
    return;
  }
  const auto tunnel = std::make_shared<relay_tunnel>(*this, std::move(socket));
  tunnels_.insert(tunnel);
  tunnel->Begin();
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
