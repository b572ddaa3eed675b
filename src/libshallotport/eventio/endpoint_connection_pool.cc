#include "eventio/endpoint_connection_pool.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "eventio/endpoint_connection.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{100};

// One connection that finds out whether anything listens at an address. Owned
// by its pending operations.
struct connection_probe {
  explicit connection_probe(boost::asio::io_context& loop)
      : socket(loop), timer(loop) {}

  void Finish(probe_result result) {
    boost::system::error_code ignored;
    socket.close(ignored);
    timer.cancel();
    if (on_result) {
      std::exchange(on_result, nullptr)(result);
    }
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(probe_result result)> on_result;
};

// Handle of a call; cancels it when destroyed.
class pooled_call final : public endpoint_call {
 public:
  explicit pooled_call(std::shared_ptr<endpoint_connection> connection)
      : connection_(std::move(connection)) {}
  ~pooled_call() override {
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }
  // Called when the call has ended; its connection may serve another one.
  void Release() { connection_.reset(); }

 private:
  std::shared_ptr<endpoint_connection> connection_;
};

}  // namespace

endpoint_connection_pool::endpoint_connection_pool(
    boost::asio::io_context& loop,
    const clock_source& clock)
    : loop_(loop), clock_(clock) {}

endpoint_connection_pool::~endpoint_connection_pool() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& [address, connections] : idle) {
    for (const auto& each : connections) {
      each->Detach();
    }
  }
}

std::unique_ptr<endpoint_call> endpoint_connection_pool::Start(
    const endpoint_address& to,
    outbound_request request,
    call_events events) {
  std::shared_ptr<endpoint_connection> connection = TakeReusable(to);
  if (connection == nullptr) {
    ++counters_.opened;
    connection = std::make_shared<endpoint_connection>(*this, to);
  } else {
    ++counters_.reused;
  }
  auto call = std::make_unique<pooled_call>(connection);
  // Releases the handle's reference before reporting the end: by then the
  // connection may be idle again, or in use by another call.
  events.on_end = [handle = call.get(),
                   on_end = std::move(events.on_end)](call_end end) {
    handle->Release();
    on_end(end);
  };
  connection->Begin(std::move(request), std::move(events));
  return call;
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::TakeReusable(
    const endpoint_address& to) {
  const steady_time now = clock_.Now();
  // Looked up anew for each connection: closing one changes the map.
  for (auto found = idle_.find(to); found != idle_.end();
       found = idle_.find(to)) {
    std::shared_ptr<endpoint_connection> connection = found->second.back();
    RemoveIdle(connection.get());
    if (connection->IsReusable(now)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void endpoint_connection_pool::AddIdle(
    std::shared_ptr<endpoint_connection> connection) {
  auto& idle = idle_[connection->address()];
  idle.push_back(std::move(connection));
}

void endpoint_connection_pool::RemoveIdle(
    const endpoint_connection* connection) {
  const auto found = idle_.find(connection->address());
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [connection](const auto& each) {
    return each.get() == connection;
  });
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

void endpoint_connection_pool::Probe(
    const endpoint_address& to,
    std::function<void(probe_result result)> on_result) {
  namespace ip = boost::asio::ip;
  using error_code = boost::system::error_code;
  ++counters_.probes;
  const auto probe = std::make_shared<connection_probe>(loop_);
  probe->on_result = std::move(on_result);
  error_code failure;
  const ip::address address = ip::make_address(to.ip, failure);
  if (failure) {
    boost::asio::post(loop_,
                      [probe] { probe->Finish(probe_result::kUnknown); });
    return;
  }
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([probe](error_code cancelled) {
    if (!cancelled) {
      probe->Finish(probe_result::kUnknown);
    }
  });
  probe->socket.async_connect(
      ip::tcp::endpoint(address, to.port), [probe](error_code failure) {
        probe->Finish(!failure ? probe_result::kAccepted
                      : failure == boost::asio::error::connection_refused
                          ? probe_result::kRefused
                          : probe_result::kUnknown);
      });
}

void endpoint_connection_pool::Sweep(steady_time now) {
  std::vector<std::shared_ptr<endpoint_connection>> expired;
  for (const auto& [address, connections] : idle_) {
    for (const auto& each : connections) {
      if (!each->IsReusable(now)) {
        expired.push_back(each);
      }
    }
  }
  for (const auto& each : expired) {
    each->Close();
  }
}

void endpoint_connection_pool::CloseIdle(const endpoint_address& to) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) {
    return;
  }
  const auto closing = found->second;
  for (const auto& each : closing) {
    each->Close();
  }
}

size_t endpoint_connection_pool::idle_count() const {
  size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

}  // namespace shallotport
