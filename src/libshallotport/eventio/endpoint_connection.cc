#include "eventio/endpoint_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "eventio/socket_options.h"

namespace shallotport {

namespace {

namespace http = boost::beast::http;
namespace ip = boost::asio::ip;
using error_code = boost::system::error_code;

// Many round trips within a region. TCP resends a lost SYN packet only after a
// second, which is too late for most requests: they are retried at another
// endpoint.
constexpr std::chrono::milliseconds kConnectTimeout{100};
// Time for which an idle connection may be reused if the endpoint states no
// keep-alive time.
constexpr std::chrono::milliseconds kDefaultKeepAlive{1'500};
// Subtracted from the endpoint's stated keep-alive time, so that it does not
// close a connection while a request is on its way.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};
constexpr size_t kMaxHeaderBytes = 64u << 10;
// Of a chunk's size line, of all trailers, and of other input without a whole
// element.
constexpr size_t kMaxFramingBytes = 64u << 10;
// Interim responses and late responses to earlier requests.
constexpr size_t kMaxPreambleBytes = 1u << 20;
constexpr size_t kMaxBodyBytes = 16u << 20;

// "timeout=5, max=100" -> 5 s.
duration KeepAliveTime(std::string_view header) {
  constexpr std::string_view kKey = "timeout=";
  const size_t key_position = header.find(kKey);
  if (key_position == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  unsigned seconds = 0;
  const char* begin = header.data() + key_position + kKey.size();
  std::from_chars(begin, header.data() + header.size(), seconds);
  const duration stated = std::chrono::seconds(seconds);
  return stated > kKeepAliveMargin ? stated - kKeepAliveMargin : duration(0);
}

}  // namespace

endpoint_connection::endpoint_connection(endpoint_connection_pool& pool,
                                         const endpoint_address& to)
    : pool_(&pool),
      address_(to),
      socket_(pool.loop_),
      connect_timer_(pool.loop_) {}

bool endpoint_connection::IsReusable(steady_time now) const {
  return !is_closed_ && !is_in_call_ && input_.empty() && now < idle_until_;
}

void endpoint_connection::Begin(outbound_request request, call_events events) {
  request_ = std::move(request);
  events_ = std::move(events);
  is_in_call_ = true;
  is_sent_ = false;
  has_head_ = false;
  is_skipping_response_ = false;
  may_keep_alive_ = false;
  preamble_bytes_ = 0;
  framing_bytes_ = 0;
  parser_.reset();
  if (is_connected_) {
    Send();
  } else {
    Connect();
  }
}

void endpoint_connection::Connect() {
  error_code failure;
  const ip::address address = ip::make_address(address_.ip, failure);
  if (failure) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Finish(call_end::kNotSent);
    });
    return;
  }
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->is_connected_) {
      self->Finish(call_end::kConnectTimeout);
    }
  });
  socket_.async_connect(ip::tcp::endpoint(address, address_.port),
                        [self = shared_from_this()](error_code failure) {
                          self->connect_timer_.cancel();
                          if (self->is_closed_) {
                            return;
                          }
                          if (failure) {
                            self->Finish(call_end::kNotSent);
                            return;
                          }
                          self->is_connected_ = true;
                          SetStreamOptions(self->socket_);
                          self->Send();
                        });
}

void endpoint_connection::Send() {
  boost::asio::async_write(
      socket_, boost::asio::buffer(request_.bytes),
      [self = shared_from_this()](error_code failure, size_t) {
        if (self->is_closed_) {
          return;
        }
        // After a failed write the response may still be readable; the read
        // determines how the call ended.
        self->is_sent_ = !failure;
      });
  Read();
}

void endpoint_connection::Read() {
  if (is_reading_ || is_closed_) {
    return;
  }
  is_reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](error_code failure, size_t size) {
        self->is_reading_ = false;
        if (self->is_closed_) {
          return;
        }
        if (failure == boost::asio::error::eof) {
          self->OnEndOfStream();
          return;
        }
        if (failure) {
          self->Finish(call_end::kBroken);
          return;
        }
        self->input_.append(self->read_buffer_.data(), size);
        self->OnInput();
      });
}

void endpoint_connection::OnInput() {
  if (!is_in_call_) {
    Close();  // Data outside a call belongs to no request.
    return;
  }
  while (is_in_call_ && !is_closed_ && !input_.empty() && ParseInput()) {
  }
  if (!is_closed_ && is_in_call_) {
    Read();
  }
}

// Parses the buffered input; false when more bytes are needed or the call has
// ended.
bool endpoint_connection::ParseInput() {
  if (!parser_) {
    parser_.emplace();
    // An eager parser reserves memory for a body whose length it has refused.
    parser_->eager(false);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    parser_->skip(request_.method == "HEAD");
    has_head_ = false;
  }
  error_code failure;
  const size_t used = parser_->put(boost::asio::buffer(input_), failure);
  input_.erase(0, used);
  CountParsed(used);
  if ((failure && failure != http::error::need_more) || IsTooLong()) {
    Finish(call_end::kInvalidResponse);
    return false;
  }
  if (!has_head_ && parser_->is_header_done() && !ProcessHead()) {
    return !is_closed_;
  }
  ProcessBody();
  if (is_closed_ || !is_in_call_) {
    return false;
  }
  if (parser_ && parser_->is_done()) {
    FinishResponse();
    return true;
  }
  return !failure && used > 0;
}

void endpoint_connection::CountParsed(size_t parsed_bytes) {
  if (!has_head_ || is_skipping_response_) {
    preamble_bytes_ += parsed_bytes;
    return;
  }
  const bool has_body_bytes = !parser_->get().body().empty();
  framing_bytes_ = has_body_bytes ? 0 : framing_bytes_ + parsed_bytes;
}

bool endpoint_connection::IsTooLong() const {
  return preamble_bytes_ > kMaxPreambleBytes ||
         framing_bytes_ > kMaxFramingBytes || input_.size() > kMaxFramingBytes;
}

// False for an interim response.
bool endpoint_connection::ProcessHead() {
  has_head_ = true;
  parser_->eager(true);
  const auto& message = parser_->get();
  if (message.result_int() < 200) {
    parser_.reset();  // An interim response; the final one follows.
    return false;
  }
  response_head head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& each : message) {
    head.headers.Add({each.name_string().data(), each.name_string().size()},
                     {each.value().data(), each.value().size()});
  }
  const std::string* echo = request_.echo_header.empty()
                                ? nullptr
                                : head.headers.Find(request_.echo_header);
  is_skipping_response_ = echo != nullptr && *echo != request_.echo_value;
  if (is_skipping_response_) {
    if (pool_ != nullptr) {
      ++pool_->counters_.skipped_responses;
    }
    return true;
  }
  may_keep_alive_ = parser_->keep_alive();
  keep_alive_ = KeepAliveTime(head.headers.Value("Keep-Alive"));
  if (events_.on_head) {
    events_.on_head(std::move(head));
  }
  return true;
}

void endpoint_connection::ProcessBody() {
  if (!parser_ || !has_head_ || is_closed_ || !is_in_call_) {
    return;
  }
  std::string body;
  std::swap(body, parser_->get().body());
  if (!body.empty() && !is_skipping_response_ && events_.on_body) {
    events_.on_body(body);
  }
}

void endpoint_connection::FinishResponse() {
  if (is_skipping_response_) {
    parser_.reset();
    is_skipping_response_ = false;
    return;
  }
  Finish(call_end::kComplete);
}

// Only a response without a length or chunked encoding may be delimited by the
// end of its connection.
void endpoint_connection::OnEndOfStream() {
  if (!is_in_call_) {
    Close();
    return;
  }
  const bool is_delimited_by_close = parser_ && parser_->is_header_done() &&
                                     parser_->need_eof() &&
                                     !is_skipping_response_;
  may_keep_alive_ = false;
  Finish(is_delimited_by_close ? call_end::kComplete : call_end::kBroken);
}

void endpoint_connection::Finish(call_end end) {
  if (!is_in_call_) {
    Close();
    return;
  }
  const auto self = shared_from_this();
  is_in_call_ = false;
  // If the response is complete before the whole request was sent, the rest of
  // its body would precede the next request on this connection.
  const bool keeps_connection = end == call_end::kComplete && may_keep_alive_ &&
                                is_sent_ && input_.empty() &&
                                pool_ != nullptr && keep_alive_ > duration(0);
  call_events events = std::exchange(events_, {});
  parser_.reset();
  if (keeps_connection) {
    idle_until_ = pool_->clock_.Now() + keep_alive_;
    pool_->AddIdle(self);
    Read();
  } else {
    if ((end == call_end::kNotSent || end == call_end::kConnectTimeout) &&
        pool_ != nullptr) {
      ++pool_->counters_.connect_failures;
    }
    Close();
  }
  if (events.on_end) {
    events.on_end(end);
  }
}

void endpoint_connection::Close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  is_in_call_ = false;
  // Destroys the callbacks later, because one of them may be running now.
  boost::asio::post(socket_.get_executor(),
                    [released_events = std::exchange(events_, {})] {});
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  if (pool_ != nullptr) {
    pool_->RemoveIdle(this);
  }
}

void endpoint_connection::Detach() {
  pool_ = nullptr;
  Close();
}

}  // namespace shallotport
