#include "eventio/endpoint_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <functional>
#include <utility>

#include "base/response_head.h"
#include "eventio/handler_guard.h"
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
// While this host is cut off: a relay is tried next.
constexpr std::chrono::milliseconds kCutOffConnectTimeout{40};
// Includes the relay's own attempt to connect.
constexpr std::chrono::milliseconds kRelayTimeout{250};
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
// Interim responses and responses to other requests.
constexpr size_t kMaxPreambleBytes = 1u << 20;
constexpr size_t kMaxBodyBytes = 16u << 20;
// Bounds the record of ids.
constexpr size_t kMaxCalls = 1'000;

size_t HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

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
      connect_timer_(pool.loop_),
      end_timer_(pool.loop_) {}

bool endpoint_connection::IsReusable(steady_time now) const {
  return !is_closed_ && !is_in_call_ && input_.empty() && now < idle_until_;
}

bool endpoint_connection::HasInput() {
  char unused = 0;
  if (recv(socket_.native_handle(), &unused, sizeof(unused),
           MSG_PEEK | MSG_DONTWAIT) >= 0) {
    return true;
  }
  const error_code failure(errno, boost::system::system_category());
  NoteTimeout(failure);
  return failure != boost::asio::error::would_block;
}

// Whether a response to an earlier request has a body may depend on the method
// of that request.
bool endpoint_connection::MayCarry(const outbound_request& request) const {
  if (carried_ids_.empty() || request.is_order_trusted) {
    return true;
  }
  return !request.echo_header.empty() && request.method != "HEAD" &&
         std::find(carried_ids_.begin(), carried_ids_.end(),
                   HashOf(request.echo_value)) == carried_ids_.end();
}

void endpoint_connection::Begin(outbound_request request, call_events events) {
  request_ = std::move(request);
  events_ = std::move(events);
  is_in_call_ = true;
  is_sent_ = false;
  is_paused_ = false;
  has_head_ = false;
  is_skipping_response_ = false;
  has_skipped_response_ = false;
  is_named_ = false;
  may_keep_alive_ = false;
  preamble_bytes_ = 0;
  framing_bytes_ = 0;
  parser_.reset();
  carried_ids_.push_back(HashOf(request_.echo_value));
  if (is_connected_) {
    Send();
  } else {
    Connect();
  }
}

void endpoint_connection::Connect() {
  const steady_time now = pool_->clock_.Now();
  const auto next = pool_->paths_.NextPath(now, tried_paths_);
  if (!next) {
    Finish(connect_failure_);
    return;
  }
  path_ = *next;
  tried_paths_.push_back(path_);
  error_code failure;
  const ip::address address =
      ip::make_address(path_ ? path_->ip : address_.ip, failure);
  if (failure) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Finish(call_end::kNotSent);
    });
    return;
  }
  socket_ = ip::tcp::socket(socket_.get_executor());
  is_reading_ = false;
  if (!path_ && !pool_->source_ip_.empty()) {
    socket_.open(ip::tcp::v4(), failure);
    socket_.bind({ip::make_address(pool_->source_ip_, failure), 0}, failure);
  }
  connect_timer_.expires_after(path_ ? kRelayTimeout
                               : pool_->paths_.IsCutOff()
                                   ? kCutOffConnectTimeout
                                   : kConnectTimeout);
  const size_t attempt = tried_paths_.size();
  connect_timer_.async_wait(
      [self = shared_from_this(), attempt](error_code cancelled) {
        if (!cancelled && self->IsConnecting(attempt)) {
          self->OnPathFailed(call_end::kConnectTimeout);
        }
      });
  socket_.async_connect(
      ip::tcp::endpoint(address, path_ ? path_->port : address_.port),
      [self = shared_from_this(), attempt](error_code failure) {
        if (!self->IsConnecting(attempt)) {
          return;
        }
        if (failure) {
          self->OnPathFailed(self->ConnectFailure(failure));
          return;
        }
        SetStreamOptions(self->socket_);
        if (self->path_) {
          self->RequestRelay();
        } else {
          self->OnConnected();
        }
      });
}

bool endpoint_connection::IsConnecting(size_t attempt) const {
  return !is_closed_ && !is_connected_ && is_in_call_ &&
         attempt == tried_paths_.size();
}

void endpoint_connection::OnConnected() {
  connect_timer_.cancel();
  is_connected_ = true;
  const steady_time now = pool_->clock_.Now();
  if (path_) {
    ++pool_->counters_.relayed;
    pool_->paths_.RecordRelayUsed(now, *path_);
  } else {
    pool_->paths_.RecordConnected(now);
  }
  Send();
}

// A host that is cut off learns nothing of the endpoint.
call_end endpoint_connection::ConnectFailure(const error_code& failure) const {
  const bool is_refused = failure == boost::asio::error::connection_refused &&
                          !path_ && !pool_->paths_.IsCutOff();
  return is_refused ? call_end::kRefused : call_end::kNotSent;
}

void endpoint_connection::OnPathFailed(call_end failure) {
  connect_timer_.cancel();
  connect_failure_ = failure;
  const steady_time now = pool_->clock_.Now();
  if (path_) {
    pool_->paths_.RecordRelayFailed(now, *path_);
  } else {
    pool_->paths_.RecordConnectFailed(now, address_);
  }
  error_code ignored;
  socket_.close(ignored);
  Connect();
}

void endpoint_connection::RequestRelay() {
  relay_frames_ = {};
  relay_request_ = EncodeRelayOpen(address_);
  boost::asio::async_write(socket_, boost::asio::buffer(relay_request_),
                           [self = shared_from_this()](error_code, size_t) {
                             // The read determines how it ended.
                           });
  Read();
}

void endpoint_connection::Send() {
  if (!path_) {
    call_ = pool_->next_call_++;
    pool_->paths_.RecordSent(pool_->clock_.Now(), call_, address_);
  }
  boost::asio::async_write(
      socket_, boost::asio::buffer(request_.bytes),
      [self = shared_from_this()](error_code failure, size_t) {
        if (self->is_closed_) {
          return;
        }
        // After a failed write the response may still be readable; the read
        // determines how the call ended.
        self->is_sent_ = !failure;
        self->has_write_failed_ = static_cast<bool>(failure);
        self->NoteTimeout(failure);
        self->request_.bytes = {};  // Or kept for as long as the connection.
      });
  Read();
}

void endpoint_connection::ResumeReading() {
  is_paused_ = false;
  if (is_in_call_ && is_connected_) {
    Read();
  }
}

void endpoint_connection::Read() {
  if (is_reading_ || is_closed_ || (is_paused_ && is_in_call_)) {
    return;
  }
  is_reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this(), attempt = tried_paths_.size()](
          error_code failure, size_t size) {
        if (self->is_closed_ || attempt != self->tried_paths_.size()) {
          return;
        }
        self->is_reading_ = false;
        const bool is_handled = RunGuarded(
            "endpoints", [&] { self->OnRead(attempt, failure, size); });
        if (!is_handled) {
          // Ending the call may run the code that failed once more.
          RunGuarded("endpoints",
                     [&] { self->Finish(call_end::kInvalidResponse); });
          self->Close();
        }
      });
}

void endpoint_connection::OnRead(size_t attempt,
                                 const error_code& failure,
                                 size_t size) {
  // The end of a relayed connection is announced, if it is sound.
  if (failure == boost::asio::error::eof && !path_) {
    OnEndOfStream();
    return;
  }
  if (failure) {
    NoteTimeout(failure);
    if (IsConnecting(attempt)) {
      OnPathFailed(call_end::kNotSent);
    } else {
      Finish(call_end::kBroken);
    }
    return;
  }
  OnBytes({read_buffer_.data(), size});
}

void endpoint_connection::NoteTimeout(const error_code& failure) {
  if (!path_ && pool_ != nullptr && failure == boost::asio::error::timed_out) {
    pool_->paths_.RecordTimedOut(pool_->clock_.Now(), address_);
  }
}

void endpoint_connection::OnBytes(std::string_view bytes) {
  if (!path_) {
    if (pool_ != nullptr) {
      pool_->paths_.RecordReceived(pool_->clock_.Now());
    }
    input_.append(bytes);
    OnInput();
    return;
  }
  const size_t attempt = tried_paths_.size();
  const status read = relay_frames_.Feed(
      bytes, [this](relay_frame kind, std::string_view payload) {
        return OnRelayFrame(kind, payload);
      });
  if (is_closed_ || attempt != tried_paths_.size()) {
    return;
  }
  if (!IsOk(read)) {
    Finish(is_connected_ ? call_end::kBroken : call_end::kNotSent);
    return;
  }
  if (!input_.empty()) {
    OnInput();
  }
  if (has_relay_end_ && !is_closed_) {
    OnEndOfStream();
  } else if (is_relay_leaving_ && !is_in_call_) {
    Close();
  } else {
    Read();
  }
}

bool endpoint_connection::OnRelayFrame(relay_frame kind,
                                       std::string_view payload) {
  switch (kind) {
    case relay_frame::kData:
      input_.append(payload);
      return is_connected_;
    case relay_frame::kEnd:
      has_relay_end_ = true;
      return false;
    case relay_frame::kLeaving:
      is_relay_leaving_ = true;
      return true;
    case relay_frame::kOpened:
      if (!is_connected_) {
        OnConnected();
      }
      return true;
    case relay_frame::kRefused:
    case relay_frame::kNoAnswer:
    case relay_frame::kDeclined:
      break;
  }
  if (!is_connected_) {
    OnRelayRefused(kind);
  }
  return false;
}

// The relay itself works.
void endpoint_connection::OnRelayRefused(relay_frame reason) {
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  if (reason == relay_frame::kRefused) {
    pool_->paths_.RecordRelayUsed(pool_->clock_.Now(), *path_);
    Finish(call_end::kRefused);
    return;
  }
  if (reason == relay_frame::kNoAnswer) {
    pool_->paths_.RecordRelayUnanswered(*path_);
    connect_failure_ = call_end::kConnectTimeout;
  }
  Connect();
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
    head_.clear();
  }
  error_code failure;
  const size_t used = parser_->put(boost::asio::buffer(input_), failure);
  if (!has_head_) {
    head_.append(input_, 0, used);
  }
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

// False for an interim response, and if the call has ended.
bool endpoint_connection::ProcessHead() {
  has_head_ = true;
  if (CheckResponseHead(std::exchange(head_, {})) != head_fault::kNone) {
    Finish(call_end::kInvalidResponse);
    return false;
  }
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
  head.is_close_delimited = parser_->need_eof();
  is_skipping_response_ = !IsAnswer(head);
  if (is_skipping_response_) {
    Skip(head);
    return !is_closed_;
  }
  may_keep_alive_ = parser_->keep_alive();
  keep_alive_ = KeepAliveTime(head.headers.Value("Keep-Alive"));
  if (events_.on_head) {
    events_.on_head(std::move(head));
  }
  return true;
}

// On a connection that has carried other requests only a response that names
// the request is its answer: an endpoint may write an earlier one once more.
bool endpoint_connection::IsAnswer(const response_head& head) {
  if (request_.echo_header.empty()) {
    return true;
  }
  for (const auto& [name, value] : head.headers.fields()) {
    if (EqualsIgnoringCase(name, request_.echo_header)) {
      if (value != request_.echo_value) {
        is_named_ = false;
        return false;
      }
      is_named_ = true;
    }
  }
  const bool is_first = carried_ids_.size() == 1 && !has_skipped_response_;
  return is_named_ || is_first;
}

void endpoint_connection::Skip(const response_head& head) {
  has_skipped_response_ = true;
  if (pool_ != nullptr) {
    pool_->RecordSkipped(address_, head,
                         head.headers.Find(request_.echo_header) != nullptr);
  }
  // Where the next response begins is not known.
  if (parser_->need_eof() || request_.method == "HEAD") {
    Finish(call_end::kInvalidResponse);
  }
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
  switch (is_delimited_by_close ? JudgeEnd() : stream_end::kBroken) {
    case stream_end::kOrderly:
      Finish(call_end::kComplete);
      return;
    case stream_end::kBroken:
      Finish(call_end::kBroken);
      return;
    case stream_end::kUndecided:
      end_timer_.expires_after(kStreamEndCheckInterval);
      end_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->is_closed_) {
          self->OnEndOfStream();
        }
      });
      return;
  }
}

// A relay has judged the end that it announces.
stream_end endpoint_connection::JudgeEnd() {
  if (path_) {
    return stream_end::kOrderly;
  }
  stream_end_facts facts;
  facts.has_failed = has_write_failed_ || WasAborted(socket_);
  facts.is_all_acknowledged = is_sent_ && UnacknowledgedBytes(socket_) == 0;
  facts.checks = end_checks_++;
  return JudgeStreamEnd(facts);
}

void endpoint_connection::Finish(call_end end) {
  if (!is_in_call_) {
    Close();
    return;
  }
  const auto self = shared_from_this();
  is_in_call_ = false;
  EndCall();
  // If the response is complete before the whole request was sent, the rest of
  // its body would precede the next request on this connection.
  const bool keeps_connection =
      end == call_end::kComplete && may_keep_alive_ && is_sent_ &&
      input_.empty() && !is_relay_leaving_ && !has_relay_end_ &&
      pool_ != nullptr && keep_alive_ > duration(0) && MayCarryMore();
  call_events events = std::exchange(events_, {});
  parser_.reset();
  if (keeps_connection) {
    idle_until_ = pool_->clock_.Now() + keep_alive_;
    pool_->AddIdle(self);
    Read();
  } else {
    const bool has_connected = end != call_end::kNotSent &&
                               end != call_end::kRefused &&
                               end != call_end::kConnectTimeout;
    if (!has_connected && pool_ != nullptr) {
      ++pool_->counters_.connect_failures;
    }
    Close();
  }
  if (events.on_end) {
    events.on_end(end);
  }
}

// Responses that follow are told apart by the ids that they name.
bool endpoint_connection::MayCarryMore() const {
  return (is_named_ || request_.is_order_trusted) && !has_skipped_response_ &&
         request_.method != "HEAD" && carried_ids_.size() < kMaxCalls;
}

void endpoint_connection::EndCall() {
  if (pool_ != nullptr) {
    pool_->paths_.RecordEnded(call_);
  }
}

void endpoint_connection::Close() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  is_in_call_ = false;
  EndCall();
  // Destroys the callbacks later, because one of them may be running now.
  boost::asio::post(socket_.get_executor(),
                    [released_events = std::exchange(events_, {})] {});
  connect_timer_.cancel();
  end_timer_.cancel();
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
