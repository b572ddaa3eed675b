#include "eventio/relay_tunnel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/relay_listener.h"
#include "eventio/socket_options.h"
#include "eventio/stream_end.h"

namespace shallotport {

namespace {

namespace ip = boost::asio::ip;
using error_code = boost::system::error_code;

// For a host to send its request to open, and then for an endpoint to accept.
constexpr std::chrono::milliseconds kOpenTimeout{1'000};
constexpr std::chrono::milliseconds kConnectTimeout{100};
constexpr size_t kMaxOpenInput = 16u << 10;

}  // namespace

relay_tunnel::relay_tunnel(relay_listener& listener, ip::tcp::socket host)
    : listener_(&listener),
      host_(std::move(host)),
      endpoint_(listener.loop_),
      timer_(listener.loop_) {}

void relay_tunnel::Begin() {
  SetStreamOptions(host_);
  timer_.expires_after(kOpenTimeout);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->is_open_) {
      self->Close();
    }
  });
  ReadOpen();
}

void relay_tunnel::ReadOpen() {
  host_.async_read_some(
      boost::asio::buffer(host_buffer_),
      [self = shared_from_this()](error_code failure, size_t size) {
        if (self->is_closed_) {
          return;
        }
        if (failure) {
          self->Close();
          return;
        }
        const bool is_handled = RunGuarded("relay", [&] {
          self->open_input_.append(self->host_buffer_.data(), size);
          self->OnOpenBytes();
        });
        if (!is_handled) {
          self->Close();
        }
      });
}

void relay_tunnel::OnOpenBytes() {
  const auto request = ReadRelayOpen(open_input_);
  if (!IsOk(request) || open_input_.size() > kMaxOpenInput) {
    Close();
    return;
  }
  if (!ValueOf(request)) {
    ReadOpen();
    return;
  }
  if (!open_input_.empty()) {
    Close();  // A host sends nothing before it knows that there is a
              // connection.
    return;
  }
  const endpoint_address& to = *ValueOf(request);
  if (listener_ == nullptr || listener_->is_draining_ ||
      !listener_->is_endpoint_(to)) {
    Refuse(relay_frame::kDeclined);
    return;
  }
  Connect(to);
}

void relay_tunnel::Connect(const endpoint_address& to) {
  error_code failure;
  const ip::address address = ip::make_address(to.ip, failure);
  if (failure) {
    Refuse(relay_frame::kDeclined);
    return;
  }
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->is_open_ && !self->is_closed_) {
      self->Refuse(relay_frame::kNoAnswer);
    }
  });
  endpoint_.async_connect(
      ip::tcp::endpoint(address, to.port),
      [self = shared_from_this()](error_code failure) {
        if (self->is_closed_ || self->is_ending_) {
          return;
        }
        if (failure) {
          self->Refuse(failure == boost::asio::error::connection_refused
                           ? relay_frame::kRefused
                           : relay_frame::kNoAnswer);
          return;
        }
        self->OnConnected();
      });
}

void relay_tunnel::OnConnected() {
  is_open_ = true;
  timer_.cancel();
  SetStreamOptions(endpoint_);
  if (listener_ != nullptr) {
    ++listener_->counters_.opened;
  }
  to_host_ += EncodeRelayFrame(relay_frame::kOpened);
  WriteToHost();
  ReadFromEndpoint();
  ReadFromHost();
}

void relay_tunnel::Refuse(relay_frame reason) {
  if (listener_ != nullptr) {
    ++(reason == relay_frame::kDeclined ? listener_->counters_.declined
                                        : listener_->counters_.refused);
  }
  timer_.cancel();
  error_code ignored;
  endpoint_.close(ignored);
  to_host_ += EncodeRelayFrame(reason);
  is_ending_ = true;
  WriteToHost();
}

void relay_tunnel::ReadFromHost() {
  host_.async_read_some(
      boost::asio::buffer(host_buffer_),
      [self = shared_from_this()](error_code failure, size_t size) {
        if (self->is_closed_) {
          return;
        }
        if (failure) {
          // The host ends the call, or is gone: the endpoint must stop, too.
          self->Close();
          return;
        }
        self->WriteToEndpoint(size);
      });
}

void relay_tunnel::WriteToEndpoint(size_t size) {
  is_writing_to_endpoint_ = true;
  boost::asio::async_write(
      endpoint_, boost::asio::buffer(host_buffer_.data(), size),
      [self = shared_from_this()](error_code failure, size_t) {
        // After a failed write a response may still be readable; reading from
        // the endpoint finds out how the connection ended.
        self->is_writing_to_endpoint_ = false;
        self->has_endpoint_write_failed_ |= static_cast<bool>(failure);
        if (!self->is_closed_) {
          self->ReadFromHost();
        }
      });
}

void relay_tunnel::ReadFromEndpoint() {
  endpoint_.async_read_some(
      boost::asio::buffer(endpoint_buffer_),
      [self = shared_from_this()](error_code failure, size_t size) {
        if (self->is_closed_) {
          return;
        }
        if (failure == boost::asio::error::eof) {
          self->OnEndpointEnd();
          return;
        }
        if (failure) {
          self->End();
          return;
        }
        const bool is_handled = RunGuarded("relay", [&] {
          self->has_endpoint_bytes_ = true;
          self->to_host_ += EncodeRelayFrame(
              relay_frame::kData, {self->endpoint_buffer_.data(), size});
          self->WriteToHost();
        });
        if (!is_handled) {
          self->Close();
        }
      });
}

// What the host sends goes on to the endpoint until the end is decided.
void relay_tunnel::OnEndpointEnd() {
  error_code ignored;
  stream_end_facts facts;
  facts.has_failed = has_endpoint_write_failed_ || WasAborted(endpoint_);
  facts.is_all_acknowledged = !is_writing_to_endpoint_ &&
                              UnacknowledgedBytes(endpoint_) == 0 &&
                              host_.available(ignored) == 0;
  facts.checks = end_checks_++;
  switch (JudgeStreamEnd(facts)) {
    case stream_end::kOrderly:
      to_host_ += EncodeRelayFrame(relay_frame::kEnd);
      End();
      return;
    case stream_end::kBroken:
      End();
      return;
    case stream_end::kUndecided:
      timer_.expires_after(kStreamEndCheckInterval);
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->is_closed_) {
          self->OnEndpointEnd();
        }
      });
      return;
  }
}

void relay_tunnel::End() {
  is_ending_ = true;
  WriteToHost();
}

void relay_tunnel::WriteToHost() {
  if (is_writing_to_host_ || is_closed_) {
    return;
  }
  if (to_host_.empty()) {
    if (is_ending_) {
      Close();
    } else if (std::exchange(has_endpoint_bytes_, false)) {
      ReadFromEndpoint();
    }
    return;
  }
  is_writing_to_host_ = true;
  writing_to_host_.clear();
  std::swap(writing_to_host_, to_host_);
  boost::asio::async_write(
      host_, boost::asio::buffer(writing_to_host_),
      [self = shared_from_this()](error_code failure, size_t) {
        self->is_writing_to_host_ = false;
        if (failure) {
          self->Close();
          return;
        }
        self->WriteToHost();
      });
}

void relay_tunnel::StartDraining() {
  if (is_open_ && !is_ending_ && !is_closed_) {
    to_host_ += EncodeRelayFrame(relay_frame::kLeaving);
    WriteToHost();
  }
}

void relay_tunnel::Close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  timer_.cancel();
  error_code ignored;
  host_.close(ignored);
  endpoint_.close(ignored);
  if (listener_ != nullptr) {
    listener_->Remove(self);
  }
}

void relay_tunnel::Detach() {
  listener_ = nullptr;
  Close();
}

}  // namespace shallotport
