#include "eventio/http_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/socket_options.h"

namespace shallotport {

namespace {

namespace http = boost::beast::http;
using error_code = boost::system::error_code;

// Limit of unparsed bytes buffered while a request is served; reading continues
// afterwards.
constexpr size_t kMaxPipelinedBytes = 64u << 10;
// While memory is scarce, requests with a larger body are refused.
constexpr size_t kLargeBodyBytes = 64u << 10;
// While draining, a connection that has been idle for less is not closed: a
// request may be on its way, or be sent again by the caller's kernel after
// 200 ms.
constexpr std::chrono::milliseconds kMinIdleTime{500};
// Of a request that is refused at the end of a stop.
constexpr size_t kMaxDiscardedBytes = 4u << 20;
// Pipelined requests wait while more than this waits for their caller, or one
// that reads nothing could order responses without bound.
constexpr size_t kMaxUnsentBytes = 64u << 10;

}  // namespace

http_connection::http_connection(http_listener& listener,
                                 boost::asio::ip::tcp::socket socket)
    : listener_(&listener),
      socket_(std::move(socket)),
      held_(listener.memory_) {
  BeginIdle();
}

void http_connection::BeginIdle() {
  phase_begun_at_ = listener_->clock_.Now();
  idle_timeout_ = listener_->limits_.idle_timeout;
}

void http_connection::Start() {
  SetStreamOptions(socket_);
  error_code ignored;
  socket_.non_blocking(true, ignored);
  // `watch_` closes connections to lost callers.
  AllowSlowReading(socket_);
  Read();
}

void http_connection::Read() {
  if (is_reading_ || is_closed_) {
    return;
  }
  is_reading_ = true;
  // Waits before it reads: bytes of a read whose handler has not run yet would
  // be seen neither in the socket nor in `input_`.
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code failure) {
                       self->is_reading_ = false;
                       if (self->is_closed_) {
                         return;
                       }
                       size_t size = 0;
                       if (!failure) {
                         size = self->socket_.read_some(
                             boost::asio::buffer(self->read_buffer_), failure);
                       }
                       if (failure == boost::asio::error::would_block) {
                         self->Read();
                       } else {
                         self->RunStep([&] { self->OnRead(failure, size); });
                       }
                     });
}

void http_connection::OnRead(const error_code& failure, size_t size) {
  if (failure) {
    OnDisconnected();
    return;
  }
  input_.append(read_buffer_.data(), size);
  CountHeld();
  if (!is_serving_) {
    Parse();
  }
  if (!is_closed_ && input_.size() < kMaxPipelinedBytes) {
    Read();
  }
}

// The listener's other connections go on if a step throws.
template <typename Step>
void http_connection::RunStep(Step&& step) {
  if (!RunGuarded("callers", step)) {
    Close();
  }
}

void http_connection::OnDisconnected() {
  const bool has_unsent_response =
      !is_serving_ && (is_sending_ || UnsentBytes() > 0);
  if (has_unsent_response) {
    // The caller may have half-closed the connection.
    closes_when_sent_ = true;
    return;
  }
  Close();
}

void http_connection::Close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  error_code ignored;
  if (is_delimited_by_close_) {
    // Closed in order, a part of the response would look whole.
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
  held_.Set(0);
  // Pending operations can keep the connection until after the budget's end.
  held_.Detach();
  if (const auto exchange = exchange_.lock()) {
    exchange_.reset();
    const bool was_open = !std::exchange(exchange->is_ended_, true);
    if (was_open && exchange->on_disconnected) {
      std::exchange(exchange->on_disconnected, nullptr)();
    }
  }
  if (listener_ != nullptr) {
    listener_->connections_.erase(self);
  }
}

void http_connection::Detach() {
  listener_ = nullptr;
  held_.Set(0);
  held_.Detach();
  Close();
}

void http_connection::CloseIfIdle(steady_time now) {
  const bool is_idle =
      !is_serving_ && !is_sending_ && !has_started_request_ && input_.empty();
  if (is_idle && now >= phase_begun_at_ + kMinIdleTime && !HasUnreadInput()) {
    ++listener_->counters_.closed_idle;
    Close();
  }
}

void http_connection::EndRequest() {
  if (is_serving_) {
    EndExchange();
    return;
  }
  const bool has_request =
      has_started_request_ || !input_.empty() || HasUnreadInput();
  if (has_request && !is_closed_ && !closes_when_sent_) {
    DiscardUnreadInput();
    Reject(503);
  }
}

void http_connection::EndExchange() {
  const auto exchange = exchange_.lock();
  if (exchange == nullptr || exchange->is_ended()) {
    return;
  }
  exchange->on_disconnected = nullptr;
  if (exchange->has_begun()) {
    exchange->Abort();
  } else {
    closes_after_response_ = true;
    exchange->Respond(502, {}, {});
  }
}

bool http_connection::HasUnreadInput() const {
  error_code failure;
  return socket_.available(failure) > 0;
}

void http_connection::DiscardUnreadInput() {
  error_code failure;
  size_t discarded = 0;
  while (!failure && discarded < kMaxDiscardedBytes) {
    discarded += socket_.read_some(boost::asio::buffer(read_buffer_), failure);
  }
}

void http_connection::Sweep(steady_time now) {
  if (unacknowledged_ > 0 || UnsentBytes() > 0) {
    CountAcknowledged(now);
  }
  if (watch_.HasStalled(now)) {
    ++listener_->counters_.closed_stalled;
    Close();
    return;
  }
  if (is_serving_ || is_sending_) {
    return;
  }
  const bool is_header_late =
      has_started_request_ &&
      now > phase_begun_at_ + listener_->limits_.header_timeout && parser_ &&
      !parser_->is_header_done();
  const bool is_over_idle_timeout =
      now > phase_begun_at_ +
                std::max(idle_timeout_, listener_->limits_.idle_timeout);
  if ((!is_header_late && !is_over_idle_timeout) || HasUnreadInput()) {
    return;
  }
  if (has_started_request_) {
    Reject(408);
    return;
  }
  ++listener_->counters_.closed_idle;
  Close();
}

void http_connection::Parse() {
  while (!input_.empty() && !is_serving_ && !is_closed_ && !closes_when_sent_ &&
         !IsBehind()) {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(listener_->limits_.header_bytes);
      parser_->body_limit(listener_->limits_.body_bytes);
      parser_->eager(true);
    }
    if (!std::exchange(has_started_request_, true)) {
      phase_begun_at_ = listener_->clock_.Now();
    }
    error_code failure;
    const size_t used = parser_->put(boost::asio::buffer(input_), failure);
    input_.erase(0, used);
    if (failure == http::error::need_more) {
      return;
    }
    if (failure == http::error::header_limit) {
      Reject(431);
      return;
    }
    if (failure == http::error::body_limit) {
      Reject(413);
      return;
    }
    if (failure) {
      Reject(400);
      return;
    }
    if (!AcceptsBody()) {
      ++listener_->counters_.refused_large;
      Reject(503);
      return;
    }
    if (parser_->is_done()) {
      Dispatch();
    } else if (used == 0) {
      return;
    }
  }
}

void http_connection::Dispatch() {
  auto message = parser_->release();
  parser_.reset();
  has_started_request_ = false;
  inbound_request request;
  request.method.assign(message.method_string().data(),
                        message.method_string().size());
  request.target.assign(message.target().data(), message.target().size());
  for (const auto& each : message) {
    request.headers.Add({each.name_string().data(), each.name_string().size()},
                        {each.value().data(), each.value().size()});
  }
  request.body = std::move(message.body());
  is_serving_ = true;
  is_head_request_ = message.method() == http::verb::head;
  is_http_1_0_ = message.version() < 11;
  closes_after_response_ = !message.keep_alive();
  auto exchange = std::make_shared<http_exchange>(shared_from_this());
  exchange_ = exchange;
  listener_->on_request_(std::move(request), std::move(exchange));
}

void http_connection::Reject(int status) {
  closes_after_response_ = true;
  parser_.reset();
  input_.clear();
  header_list headers;
  if (status == 503) {
    headers.Add("Retry-After", "1");
  }
  std::string bytes = FormatHead(status, headers);
  bytes += "Content-Length: 0\r\n\r\n";
  closes_when_sent_ = true;
  Write(bytes);
}

std::string http_connection::FormatHead(int status,
                                        const header_list& headers) const {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ReasonPhrase(status)).append("\r\n");
  for (const auto& [name, value] : headers.fields()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  if (closes_after_response_) {
    out += "Connection: close\r\n";
  }
  return out;
}

void http_connection::Write(std::string_view bytes) {
  if (is_closed_) {
    return;
  }
  output_ += bytes;
  CountHeld();
  Flush();
}

void http_connection::Flush() {
  if (is_sending_ || is_closed_) {
    return;
  }
  if (UnsentBytes() == 0) {
    if (closes_when_sent_) {
      is_delimited_by_close_ = false;
      error_code ignored;
      socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
      Close();
    }
    return;
  }
  is_sending_ = true;
  if (sent_ == sending_.size()) {
    sending_.clear();
    sent_ = 0;
    std::swap(sending_, output_);
  }
  if (listener_ != nullptr) {
    watch_.OnWaiting(listener_->clock_.Now());
  }
  socket_.async_write_some(
      boost::asio::buffer(sending_) + sent_,
      [self = shared_from_this()](const error_code& failure, size_t size) {
        self->is_sending_ = false;
        if (failure) {
          self->Close();
          return;
        }
        self->RunStep([&] { self->OnSent(size); });
      });
}

void http_connection::OnSent(size_t size) {
  const bool was_behind = IsBehind();
  sent_ += size;
  unacknowledged_ += size;
  if (UnsentBytes() == 0) {
    // An idle connection would keep the memory of its largest response.
    sending_ = {};
    output_ = {};
    sent_ = 0;
  }
  if (listener_ != nullptr) {
    CountAcknowledged(listener_->clock_.Now());
  }
  CountHeld();
  const auto exchange = exchange_.lock();
  if (exchange != nullptr && exchange->on_taken) {
    const auto on_taken = exchange->on_taken;
    on_taken();
  }
  Flush();
  if (was_behind && !IsBehind() && !is_serving_ && !is_closed_) {
    Parse();
    Read();
  }
}

// The kernel takes bytes in large parts and long before the caller does.
void http_connection::CountAcknowledged(steady_time now) {
  const size_t left = is_closed_ ? 0 : UnacknowledgedBytes(socket_);
  if (left < unacknowledged_) {
    watch_.OnTaken(now, unacknowledged_ - left);
  }
  unacknowledged_ = left;
  if (left == 0 && UnsentBytes() == 0) {
    watch_.OnEmpty();
  }
}

bool http_connection::IsBehind() const {
  return UnsentBytes() > kMaxUnsentBytes;
}

size_t http_connection::UnsentBytes() const {
  return sending_.size() - sent_ + output_.size();
}

// What the parser has read is in `input_` no more, but in its message.
void http_connection::CountHeld() {
  if (!is_closed_) {
    const size_t body = parser_ ? parser_->get().body().size() : 0;
    held_.Set(sending_.size() + output_.size() + input_.size() + body);
  }
}

bool http_connection::AcceptsBody() const {
  if (listener_ == nullptr || listener_->memory_ == nullptr ||
      listener_->memory_->Pressure() == memory_pressure::kNone) {
    return true;
  }
  const auto length = parser_->content_length();
  return parser_->get().body().size() <= kLargeBodyBytes &&
         (!length || *length <= kLargeBodyBytes);
}

void http_connection::FinishExchange(bool is_closing) {
  exchange_.reset();
  is_serving_ = false;
  if (is_closed_) {
    return;
  }
  if (listener_ != nullptr) {
    BeginIdle();
  }
  if (is_closing) {
    closes_when_sent_ = true;
    Flush();
    return;
  }
  // Posted, so that a response given within the request's handler does not
  // recurse into the next request.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->is_closed_ && !self->is_serving_) {
      self->RunStep([&] {
        self->Parse();
        self->Read();
      });
    }
  });
}

http_exchange::http_exchange(std::shared_ptr<http_connection> connection)
    : connection_(std::move(connection)) {}

http_exchange::~http_exchange() {
  if (!is_ended_) {
    on_disconnected = nullptr;
    Abort();
  }
}

void http_exchange::Respond(int status,
                            const header_list& headers,
                            std::string_view body) {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  has_begun_ = true;
  http_connection& to = *connection_;
  const bool is_draining =
      to.listener_ != nullptr && to.listener_->is_draining();
  to.closes_after_response_ = to.closes_after_response_ || is_draining;
  std::string bytes = to.FormatHead(status, headers);
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!to.is_head_request_) {
    bytes.append(body);
  }
  to.Write(bytes);
  to.FinishExchange(to.closes_after_response_);
}

size_t http_exchange::held() const {
  return is_ended_ ? 0 : connection_->UnsentBytes();
}

void http_exchange::BeginStream(int status, const header_list& headers) {
  has_begun_ = true;
  http_connection& to = *connection_;
  const bool is_draining =
      to.listener_ != nullptr && to.listener_->is_draining();
  to.closes_after_response_ =
      to.closes_after_response_ || is_draining || to.is_http_1_0_;
  to.is_delimited_by_close_ = to.is_http_1_0_;
  std::string bytes = to.FormatHead(status, headers);
  bytes += to.is_http_1_0_ ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
  to.Write(bytes);
}

void http_exchange::SendChunk(std::string_view data) {
  if (data.empty() || is_ended_) {
    return;
  }
  if (connection_->is_http_1_0_) {
    connection_->Write(data);
    return;
  }
  char length[20];
  const int digits =
      std::snprintf(length, sizeof(length), "%zx\r\n", data.size());
  std::string bytes(length, static_cast<size_t>(digits));
  bytes.append(data).append("\r\n");
  connection_->Write(bytes);
}

void http_exchange::EndStream() {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  if (!connection_->is_http_1_0_) {
    connection_->Write("0\r\n\r\n");
  }
  connection_->FinishExchange(connection_->closes_after_response_);
}

void http_exchange::Abort() {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  if (connection_->listener_ != nullptr && !has_begun_) {
    ++connection_->listener_->counters_.unanswered;
  }
  connection_->exchange_.reset();
  connection_->is_serving_ = false;
  connection_->Close();
}

}  // namespace shallotport
