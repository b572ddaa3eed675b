#include "eventio/host_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/link_hub.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

namespace ip = boost::asio::ip;
using error_code = boost::system::error_code;

// Many round trips within a region, and short enough to dial a host that is
// just starting again soon.
constexpr std::chrono::milliseconds kConnectTimeout{250};
constexpr std::chrono::milliseconds kPingInterval{400};
// Three lost pings. A silent link is replaced well within the three seconds for
// which a host still counts as connected.
constexpr std::chrono::milliseconds kSilenceTimeout{1'300};
constexpr size_t kHeaderBytes = 5;
constexpr size_t kMaxFrameBytes = 16u << 20;
constexpr size_t kMaxQueuedBytes = 24u << 20;

}  // namespace

host_link::host_link(link_hub& hub, ip::tcp::socket socket)
    : hub_(&hub), socket_(std::move(socket)), is_dialed_(false) {
  error_code failure;
  const auto remote = socket_.remote_endpoint(failure);
  if (!failure) {
    ip_ = remote.address().to_string();
  }
}

host_link::host_link(link_hub& hub, std::string ip)
    : hub_(&hub), socket_(hub.loop_), ip_(std::move(ip)), is_dialed_(true) {}

void host_link::StartAccepted() {
  OnConnected();
}

void host_link::Dial(uint16_t port, const std::string& source_ip) {
  dial_begun_at_ = hub_->clock_.Now();
  error_code failure;
  const ip::address address = ip::make_address(ip_, failure);
  if (!failure && !source_ip.empty()) {
    socket_.open(ip::tcp::v4(), failure);
    if (!failure) {
      socket_.bind({ip::make_address(source_ip, failure), 0}, failure);
    }
  }
  if (failure) {
    Close();
    return;
  }
  socket_.async_connect(ip::tcp::endpoint(address, port),
                        [self = shared_from_this()](error_code failure) {
                          if (self->is_closed_) {
                            return;
                          }
                          if (failure) {
                            self->Close();
                            return;
                          }
                          self->OnConnected();
                        });
}

void host_link::OnConnected() {
  is_up_ = true;
  SetStreamOptions(socket_);
  last_received_at_ = hub_->clock_.Now();
  last_ping_at_ = last_received_at_;
  Read();
  if (is_dialed_ && hub_->on_link_up) {
    hub_->on_link_up(*this);
  }
}

void host_link::Tick(steady_time now) {
  if (!is_up_) {
    if (is_dialed_ && now > dial_begun_at_ + kConnectTimeout) {
      Close();
    }
    return;
  }
  if (now > last_received_at_ + kSilenceTimeout) {
    Close();
    return;
  }
  // Only the dialing side sends pings; the other side receives them.
  if (is_dialed_ && now >= last_ping_at_ + kPingInterval) {
    last_ping_at_ = now;
    Send(static_cast<uint8_t>(link_frame::kPing), {});
  }
}

void host_link::ExcuseStall(duration stall, steady_time now) {
  last_received_at_ = std::min(last_received_at_ + stall, now);
}

void host_link::Send(uint8_t kind, std::string_view payload) {
  if (!is_up()) {
    return;
  }
  if (output_.size() + payload.size() > kMaxQueuedBytes) {
    ++hub_->totals_.closed_full;
    Close();
    return;
  }
  hub_->totals_.sent_bytes[kind] += kHeaderBytes + payload.size();
  const auto length = static_cast<uint32_t>(payload.size());
  char header[kHeaderBytes];
  std::memcpy(header, &length, sizeof(length));
  header[4] = static_cast<char>(kind);
  output_.append(header, sizeof(header)).append(payload);
  if (!is_sending_) {
    // Frames sent during one handler of the event loop share a write.
    is_sending_ = true;
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->Flush(); });
  }
}

void host_link::Flush() {
  if (is_closed_ || output_.empty()) {
    is_sending_ = false;
    return;
  }
  sending_.clear();
  std::swap(sending_, output_);
  boost::asio::async_write(
      socket_, boost::asio::buffer(sending_),
      [self = shared_from_this()](error_code failure, size_t) {
        if (failure) {
          self->Close();
          return;
        }
        self->sending_.clear();
        self->Flush();
      });
}

void host_link::Read() {
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](error_code failure, size_t size) {
        if (self->is_closed_) {
          return;
        }
        if (failure) {
          self->Close();
          return;
        }
        const bool is_handled = RunGuarded("links", [&] {
          self->last_received_at_ = self->hub_->clock_.Now();
          self->input_.append(self->read_buffer_.data(), size);
          if (self->ProcessFrames()) {
            self->Read();
          }
        });
        if (!is_handled) {
          self->Close();
        }
      });
}

// False when the link was closed.
bool host_link::ProcessFrames() {
  size_t offset = 0;
  while (!is_closed_ && input_.size() - offset >= kHeaderBytes) {
    uint32_t length = 0;
    std::memcpy(&length, input_.data() + offset, sizeof(length));
    if (length > kMaxFrameBytes) {
      Close();
      return false;
    }
    if (input_.size() - offset < kHeaderBytes + length) {
      break;
    }
    const auto kind = static_cast<uint8_t>(input_[offset + 4]);
    const std::string_view payload(input_.data() + offset + kHeaderBytes,
                                   length);
    offset += kHeaderBytes + length;
    hub_->OnFrame(*this, kind, payload);
  }
  if (is_closed_) {
    return false;
  }
  input_.erase(0, offset);
  return true;
}

void host_link::Close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  error_code ignored;
  socket_.close(ignored);
  if (hub_ != nullptr) {
    hub_->OnDown(*this);
  }
}

void host_link::Detach() {
  hub_ = nullptr;
  Close();
}

}  // namespace shallotport
