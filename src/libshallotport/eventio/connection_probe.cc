#include "eventio/connection_probe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace shallotport {

namespace {

namespace ip = boost::asio::ip;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds kProbeTimeout{100};

}  // namespace

connection_probe::connection_probe(
    boost::asio::io_context& loop,
    endpoint_address to,
    std::optional<relay_address> relay,
    std::function<void(probe_result result)> on_result)
    : socket_(loop),
      timer_(loop),
      to_(std::move(to)),
      relay_(std::move(relay)),
      on_result_(std::move(on_result)) {}

void connection_probe::Begin(bool is_cut_off) {
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
  Connect(to_.ip, to_.port,
          [this](const error_code& failure) { OnConnected(failure); });
}

void connection_probe::Connect(const std::string& host_ip,
                               uint16_t port,
                               connect_handler on_connected) {
  error_code failure;
  const ip::address address = ip::make_address(host_ip, failure);
  if (failure) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Finish(probe_result::kUnknown);
    });
    return;
  }
  socket_ = ip::tcp::socket(socket_.get_executor());
  socket_.async_connect(
      ip::tcp::endpoint(address, port),
      [self = shared_from_this(),
       on_connected = std::move(on_connected)](const error_code& failure) {
        if (self->on_result_) {
          on_connected(failure);
        }
      });
}

void connection_probe::OnConnected(const error_code& failure) {
  if (!failure) {
    Finish(probe_result::kAccepted);
  } else if (failure != boost::asio::error::connection_refused) {
    Finish(probe_result::kUnknown);
  } else if (relay_) {
    AskRelay();
  } else {
    Finish(probe_result::kRefused);
  }
}

void connection_probe::AskRelay() {
  Connect(relay_->ip, relay_->port, [this](const error_code& failure) {
    if (failure) {
      Finish(probe_result::kUnknown);
      return;
    }
    open_request_ = EncodeRelayOpen(to_);
    boost::asio::async_write(
        socket_, boost::asio::buffer(open_request_),
        [self = shared_from_this()](const error_code&, size_t) {
          // The read determines how it ended.
        });
    ReadReply();
  });
}

void connection_probe::ReadReply() {
  socket_.async_read_some(
      boost::asio::buffer(reply_),
      [self = shared_from_this()](const error_code& failure, size_t size) {
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

void connection_probe::OnReply(std::string_view bytes) {
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

void connection_probe::Finish(probe_result result) {
  const auto self = shared_from_this();
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (on_result_) {
    std::exchange(on_result_, nullptr)(result);
  }
}

}  // namespace shallotport
