#include "eventio/endpoint_connection_pool.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "eventio/endpoint_connection.h"
#include "eventio/relay_frames.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{100};

namespace ip = boost::asio::ip;
using error_code = boost::system::error_code;

// Finds out whether anything listens at an address. Where it seems that nothing
// does, a relay is asked as well: this host may be cut off. Owned by its
// pending operations.
class connection_probe : public std::enable_shared_from_this<connection_probe> {
 public:
  connection_probe(boost::asio::io_context& loop,
                   const endpoint_address& to,
                   std::optional<relay_address> relay,
                   std::function<void(probe_result result)> on_result)
      : socket_(loop),
        timer_(loop),
        to_(to),
        relay_(std::move(relay)),
        on_result_(std::move(on_result)) {}

  void Begin(bool is_cut_off) {
    timer_.expires_after(kProbeTimeout);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) {
        self->Finish(probe_result::kUnknown);
      }
    });
    if (is_cut_off && relay_) {
      AskRelay();
      return;
    }
    Connect(to_.ip, to_.port, [this](error_code failure) {
      if (!failure) {
        Finish(probe_result::kAccepted);
      } else if (failure != boost::asio::error::connection_refused) {
        Finish(probe_result::kUnknown);
      } else if (relay_) {
        AskRelay();
      } else {
        Finish(probe_result::kRefused);
      }
    });
  }

 private:
  void Connect(const std::string& address,
               uint16_t port,
               std::function<void(error_code failure)> on_connected) {
    error_code failure;
    const ip::address target = ip::make_address(address, failure);
    if (failure) {
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->Finish(probe_result::kUnknown);
      });
      return;
    }
    socket_ = ip::tcp::socket(socket_.get_executor());
    socket_.async_connect(
        ip::tcp::endpoint(target, port),
        [self = shared_from_this(),
         on_connected = std::move(on_connected)](error_code failure) {
          if (self->on_result_) {
            on_connected(failure);
          }
        });
  }
  void AskRelay() {
    Connect(relay_->ip, relay_->port, [this](error_code failure) {
      if (failure) {
        Finish(probe_result::kUnknown);
        return;
      }
      open_request_ = EncodeRelayOpen(to_);
      boost::asio::async_write(
          socket_, boost::asio::buffer(open_request_),
          [self = shared_from_this()](error_code, size_t) {});
      ReadReply();
    });
  }
  void ReadReply() {
    socket_.async_read_some(
        boost::asio::buffer(reply_),
        [self = shared_from_this()](error_code failure, size_t size) {
          if (!self->on_result_) {
            return;
          }
          if (failure) {
            self->Finish(probe_result::kUnknown);
            return;
          }
          self->OnReply({self->reply_.data(), size});
        });
  }
  void OnReply(std::string_view bytes) {
    const status read =
        frames_.Feed(bytes, [this](relay_frame kind, std::string_view) {
          Finish(kind == relay_frame::kOpened    ? probe_result::kAccepted
                 : kind == relay_frame::kRefused ? probe_result::kRefused
                                                 : probe_result::kUnknown);
          return false;
        });
    if (!IsOk(read)) {
      Finish(probe_result::kUnknown);
    } else if (on_result_) {
      ReadReply();
    }
  }
  void Finish(probe_result result) {
    const auto self = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (on_result_) {
      std::exchange(on_result_, nullptr)(result);
    }
  }

  ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const endpoint_address to_;
  const std::optional<relay_address> relay_;
  std::function<void(probe_result result)> on_result_;
  std::string open_request_;
  std::array<char, 256> reply_{};
  relay_frame_reader frames_;
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
    const clock_source& clock,
    std::string source_ip)
    : loop_(loop), clock_(clock), source_ip_(std::move(source_ip)) {}

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
    if (connection->IsReusable(now) &&
        paths_.MayReuse(now, connection->is_relayed())) {
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
  ++counters_.probes;
  std::make_shared<connection_probe>(loop_, to, paths_.FirstRelay(clock_.Now()),
                                     std::move(on_result))
      ->Begin(paths_.IsCutOff());
}

void endpoint_connection_pool::Sweep(steady_time now) {
  std::vector<std::shared_ptr<endpoint_connection>> expired;
  for (const auto& [address, connections] : idle_) {
    for (const auto& each : connections) {
      const bool has_direct_path = !paths_.IsCutOff();
      if (!each->IsReusable(now) || (each->is_relayed() && has_direct_path)) {
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
