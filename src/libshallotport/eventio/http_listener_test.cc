#include "eventio/http_listener.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "eventio/boot_clock.h"
#include "eventio/loopback_test_util.h"
#include "eventio/memory_budget.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

// A listener that echoes method, target and body of each request, except that
// /hold is left without a response.
class http_listener_test : public testing::Test {
 protected:
  http_listener_test()
      : listener_(loop_,
                  clock_,
                  [this](const inbound_request& request, const auto& exchange) {
                    requests_.push_back(request);
                    if (request.target == "/hold") {
                      held_exchanges_.push_back(exchange);
                      return;
                    }
                    exchange->Respond(200, {},
                                      request.method + " " + request.target +
                                          " " + request.body);
                  }) {
    // Lets the kernel choose a free port.
    boost::asio::ip::tcp::acceptor probe(
        loop_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    port_ = probe.local_endpoint().port();
    probe.close();
    EXPECT_TRUE(IsOk(listener_.Listen("127.0.0.1", port_)));
  }

  std::shared_ptr<raw_connection> Connect() {
    return ConnectRaw(loop_, "127.0.0.1", port_);
  }
  bool Receives(const std::shared_ptr<raw_connection>& from,
                const std::string& text) {
    return RunUntil(
        loop_, [&] { return from->received.find(text) != std::string::npos; });
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  std::vector<inbound_request> requests_;
  std::vector<std::shared_ptr<http_exchange>> held_exchanges_;
  uint16_t port_ = 0;
  http_listener listener_;
};

constexpr std::string_view kPostRequest =
    "POST /p/1?q=2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

TEST_F(http_listener_test, RequestSplitAtAnyByteIsRead) {
  for (size_t at = 1; at < kPostRequest.size(); at += 3) {
    const auto caller = Connect();
    caller->Write(std::string(kPostRequest.substr(0, at)));
    loop_.restart();
    loop_.run_for(milliseconds(1));
    caller->Write(std::string(kPostRequest.substr(at)));
    EXPECT_TRUE(Receives(caller, "POST /p/1?q=2 body")) << "split at " << at;
  }
  EXPECT_EQ(requests_.back().Path(), "/p/1");
  EXPECT_EQ(requests_.back().Query(), "q=2");
}

TEST_F(http_listener_test, PipelinedRequestsAreServedInOrder) {
  const auto caller = Connect();
  caller->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Receives(caller, "GET /2"));
  EXPECT_LT(caller->received.find("GET /1"), caller->received.find("GET /2"));
  EXPECT_FALSE(caller->is_ended);
}

TEST_F(http_listener_test, ChunkedBodyIsRead) {
  const auto caller = Connect();
  caller->Write(
      "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  EXPECT_TRUE(Receives(caller, "POST /c abc"));
}

struct malformed_request {
  std::string name;
  std::string bytes;
  std::string status;
};

class rejected_requests
    : public http_listener_test,
      public testing::WithParamInterface<malformed_request> {};

TEST_P(rejected_requests, RespondWithStatusAndClose) {
  listener_limits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 64;
  listener_.SetLimits(limits);
  const auto caller = Connect();
  caller->Write(GetParam().bytes);
  EXPECT_TRUE(Receives(caller, "HTTP/1.1 " + GetParam().status));
  EXPECT_TRUE(RunUntil(loop_, [&] { return caller->is_ended; }));
  EXPECT_TRUE(requests_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    table,
    rejected_requests,
    testing::Values(
        malformed_request{"content_length_and_chunked",
                          "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                          "400"},
        malformed_request{"two_content_lengths",
                          "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
                          "Content-Length: 5\r\n\r\nabcde",
                          "400"},
        malformed_request{"bare_line_feed", "GET / HTTP/1.1\nHost: h\n\n",
                          "400"},
        malformed_request{
            "invalid_chunk_size",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "zz\r\n",
            "400"},
        malformed_request{"not_http", "\x16\x03\x01 hello\r\n\r\n", "400"},
        malformed_request{
            "large_header",
            "GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
            "431"},
        malformed_request{"large_body",
                          "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" +
                              std::string(65, 'x'),
                          "413"},
        malformed_request{"body_beyond_all_memory",
                          "POST / HTTP/1.1\r\n"
                          "Content-Length: 99999999999999\r\n\r\nx",
                          "413"}),
    [](const auto& info) { return info.param.name; });

TEST_F(http_listener_test, DisconnectOfCallerIsReported) {
  const auto caller = Connect();
  caller->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return !held_exchanges_.empty(); }));
  bool is_disconnected = false;
  held_exchanges_[0]->on_disconnected = [&] { is_disconnected = true; };
  caller->Close();
  EXPECT_TRUE(RunUntil(loop_, [&] { return is_disconnected; }));
}

TEST_F(http_listener_test, AbortedStreamNeverLooksComplete) {
  const auto caller = Connect();
  caller->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return !held_exchanges_.empty(); }));
  held_exchanges_[0]->BeginStream(200, {});
  held_exchanges_[0]->SendChunk("data: 1\n\n");
  ASSERT_TRUE(Receives(caller, "data: 1"));
  held_exchanges_[0]->Abort();
  EXPECT_TRUE(RunUntil(loop_, [&] { return caller->is_ended; }));
  EXPECT_EQ(caller->received.find("0\r\n\r\n"), std::string::npos);
}

struct stream_end_case {
  const char* name;
  bool is_whole;
  boost::system::error_code end;  // That the caller's read meets.
};

void PrintTo(const stream_end_case& each, std::ostream* out) {
  *out << each.name;
}

class http_1_0_stream : public http_listener_test,
                        public testing::WithParamInterface<stream_end_case> {};

// A stream that was cut off was closed like a whole one.
TEST_P(http_1_0_stream, IsClosedInOrderOnlyIfItIsWhole) {
  boost::asio::ip::tcp::socket caller(loop_);
  caller.connect({boost::asio::ip::make_address("127.0.0.1"), port_});
  boost::asio::write(
      caller, boost::asio::buffer(std::string("GET /hold HTTP/1.0\r\n\r\n")));
  ASSERT_TRUE(RunUntil(loop_, [&] { return !held_exchanges_.empty(); }));
  http_exchange& exchange = *held_exchanges_[0];
  exchange.BeginStream(200, {});
  exchange.SendChunk("data: 1\n\n");
  if (GetParam().is_whole) {
    exchange.EndStream();
  } else {
    RunUntil(
        loop_, [] { return false; }, milliseconds(20));
    exchange.Abort();
  }
  std::string received;
  std::optional<boost::system::error_code> end;
  std::array<char, 256> buffer{};
  std::function<void()> read = [&] {
    caller.async_read_some(boost::asio::buffer(buffer),
                           [&](boost::system::error_code failure, size_t size) {
                             received.append(buffer.data(), size);
                             if (failure) {
                               end = failure;
                             } else {
                               read();
                             }
                           });
  };
  read();
  ASSERT_TRUE(RunUntil(loop_, [&] { return end.has_value(); }));
  EXPECT_EQ(*end, GetParam().end);
  EXPECT_TRUE(received.ends_with("data: 1\n\n")) << received;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    http_1_0_stream,
    testing::Values(stream_end_case{"whole", true, boost::asio::error::eof},
                    stream_end_case{"cut_off", false,
                                    boost::asio::error::connection_reset}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(http_listener_test, DrainingClosesConnectionsAfterTheirResponse) {
  const auto idle = Connect();
  const auto busy = Connect();
  busy->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] {
    return !held_exchanges_.empty() && listener_.connection_count() == 2;
  }));
  listener_.StartDraining();
  listener_.CloseIdle(clock_.Now() + std::chrono::seconds(1));
  EXPECT_TRUE(RunUntil(loop_, [&] { return idle->is_ended; }));
  held_exchanges_[0]->Respond(200, {}, "late");
  EXPECT_TRUE(Receives(busy, "Connection: close"));
  EXPECT_TRUE(Receives(busy, "late"));
  EXPECT_TRUE(
      RunUntil(loop_, [&] { return listener_.connection_count() == 0; }));
}

// At the end of a stop, requests got the end of their connection for an answer.
TEST_F(http_listener_test, RequestsInProgressGetAnAnswerAtTheEnd) {
  const auto held = Connect();
  held->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return held_exchanges_.size() == 1; }));
  const auto stream = Connect();
  stream->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return held_exchanges_.size() == 2; }));
  held_exchanges_[1]->BeginStream(200, {});
  ASSERT_TRUE(Receives(stream, "HTTP/1.1 200"));
  listener_.EndAll();
  EXPECT_TRUE(Receives(held, "HTTP/1.1 502"));
  EXPECT_TRUE(RunUntil(loop_, [&] { return stream->is_ended; }));
  EXPECT_FALSE(stream->received.ends_with("0\r\n\r\n"));
}

// Requests that had not been begun at the end of a stop got no answer.
TEST_F(http_listener_test, RequestsNotBegunAreRefusedAtTheEnd) {
  const auto idle = Connect();
  const auto unread = Connect();
  const auto half_read = Connect();
  half_read->Write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nb");
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return listener_.connection_count() == 3; }));
  loop_.restart();
  loop_.run_for(milliseconds(20));
  const auto not_accepted = Connect();
  not_accepted->Write(std::string(kPostRequest));
  unread->Write(std::string(kPostRequest));
  listener_.EndAll();
  for (const auto& each : {unread, half_read, not_accepted}) {
    EXPECT_TRUE(Receives(each, "HTTP/1.1 503"));
    EXPECT_TRUE(Receives(each, "Connection: close"));
    EXPECT_TRUE(RunUntil(loop_, [&] { return each->is_ended; }));
  }
  EXPECT_TRUE(idle->received.empty());
  EXPECT_TRUE(requests_.empty());
}

class connections_at_the_close : public http_listener_test,
                                 public testing::WithParamInterface<size_t> {};

// Connections that waited to be accepted when the listener stopped accepting
// were reset. The parameter is the number of those accepted before.
TEST_P(connections_at_the_close, AreServed) {
  std::vector<std::shared_ptr<raw_connection>> callers;
  for (int count = 0; count < 4; ++count) {
    callers.push_back(Connect());
    callers.back()->Write(std::string(kPostRequest));
  }
  ASSERT_TRUE(RunUntil(
      loop_, [&] { return listener_.connection_count() == GetParam(); }));
  listener_.StartDraining();
  listener_.CloseIdle(clock_.Now() + std::chrono::seconds(1));
  for (const auto& each : callers) {
    EXPECT_TRUE(RunUntil(
        loop_, [&] { return each->is_ended || !each->received.empty(); }));
    EXPECT_TRUE(each->received.starts_with("HTTP/1.1 200")) << each->received;
  }
  EXPECT_TRUE(Connect()->is_ended);
}

INSTANTIATE_TEST_SUITE_P(accepted_before,
                         connections_at_the_close,
                         testing::Values(0u, 1u, 2u));

TEST_F(http_listener_test, IdleAndSlowConnectionsAreClosed) {
  const auto idle = Connect();
  const auto slow = Connect();
  slow->Write("GET / HT");
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return listener_.connection_count() == 2; }));
  loop_.restart();
  loop_.run_for(milliseconds(20));
  listener_.Sweep(clock_.Now() + std::chrono::seconds(4));
  EXPECT_TRUE(Receives(slow, "408"));
  EXPECT_FALSE(idle->is_ended);
  listener_.Sweep(clock_.Now() + std::chrono::seconds(16));
  EXPECT_TRUE(RunUntil(loop_, [&] { return idle->is_ended; }));
}

using std::chrono::seconds;

struct waiting_connection {
  std::string name;
  std::string sent_before;  // And read, before the connection is looked at.
  std::string sent;         // Not read yet.
  seconds former_idle_timeout;
  seconds idle_for;
  bool is_draining;
  std::string response;  // Empty: closed without one.
};

class connections_kept_by_sweep
    : public http_listener_test,
      public testing::WithParamInterface<waiting_connection> {};

// A request whose bytes waited in the socket lost its connection.
TEST_P(connections_kept_by_sweep, RequestIsAnswered) {
  const waiting_connection& param = GetParam();
  listener_limits limits;
  limits.idle_timeout = param.former_idle_timeout;
  listener_.SetLimits(limits);
  const auto caller = Connect();
  caller->Write(param.sent_before);
  ASSERT_TRUE(
      RunUntil(loop_, [&] { return listener_.connection_count() == 1; }));
  loop_.restart();
  loop_.run_for(milliseconds(20));
  limits.idle_timeout = seconds(2);
  listener_.SetLimits(limits);
  caller->Write(param.sent);
  if (param.is_draining) {
    listener_.StartDraining();
    listener_.CloseIdle(clock_.Now() + param.idle_for);
  } else {
    listener_.Sweep(clock_.Now() + param.idle_for);
  }
  // Its caller reuses an open connection; a closed one shows as ended.
  RunUntil(
      loop_, [&] { return caller->is_ended; }, milliseconds(20));
  if (!caller->is_ended && param.sent.empty()) {
    caller->Write("GET /next HTTP/1.1\r\n\r\n");
  }
  EXPECT_TRUE(RunUntil(
      loop_, [&] { return caller->is_ended || !caller->received.empty(); }));
  EXPECT_EQ(caller->received.substr(0, param.response.size()), param.response);
  EXPECT_EQ(caller->received.empty(), param.response.empty());
}

INSTANTIATE_TEST_SUITE_P(
    table,
    connections_kept_by_sweep,
    testing::Values(
        waiting_connection{"unread_request", "", "GET /1 HTTP/1.1\r\n\r\n",
                           seconds(2), seconds(3), false, "HTTP/1.1 200"},
        waiting_connection{"unread_request_while_draining", "",
                           "GET /1 HTTP/1.1\r\n\r\n", seconds(2), seconds(1),
                           true, "HTTP/1.1 200"},
        waiting_connection{"half_read_request_while_draining", "GET /1 HT",
                           "TP/1.1\r\n\r\n", seconds(2), seconds(1), true,
                           "HTTP/1.1 200"},
        waiting_connection{"request_on_its_way_while_draining", "", "",
                           seconds(2), seconds(0), true, "HTTP/1.1 200"},
        waiting_connection{"idle_while_draining", "", "", seconds(2),
                           seconds(1), true, ""},
        waiting_connection{"idle_since_before_a_lower_limit", "", "",
                           seconds(15), seconds(12), false, "HTTP/1.1 200"},
        waiting_connection{"idle_for_too_long", "", "", seconds(2), seconds(3),
                           false, ""},
        waiting_connection{"unread_rest_of_a_late_header", "GET /1 HT",
                           "TP/1.1\r\n\r\n", seconds(15), seconds(4), false,
                           "HTTP/1.1 200"},
        waiting_connection{"late_body",
                           "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nb", "",
                           seconds(2), seconds(3), false, "HTTP/1.1 408"}),
    [](const auto& info) { return info.param.name; });

// A clock that a test sets forward where it would have to wait.
struct forwarded_clock final : clock_source {
  steady_time Now() const override { return boot.Now() + offset; }
  wall_milliseconds WallNow() const override { return boot.WallNow(); }
  boot_clock_source boot;
  duration offset{};
};

// Callers that take their responses slowly or not at all.
class slow_callers : public http_listener_test {
 protected:
  slow_callers() : memory_(64u << 20) {
    slow_listener_ = std::make_unique<http_listener>(
        loop_, slow_clock_,
        [this](const inbound_request& request, const auto& exchange) {
          ++served_;
          exchange->Respond(200, {},
                            request.target == "/large"
                                ? std::string(kLargeBytes, 'x')
                                : "small " + request.target);
        });
    slow_listener_->SetMemoryBudget(&memory_);
    boost::asio::ip::tcp::acceptor probe(
        loop_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    slow_port_ = probe.local_endpoint().port();
    probe.close();
    EXPECT_TRUE(IsOk(slow_listener_->Listen("127.0.0.1", slow_port_)));
  }

  // A caller whose socket holds little, and that reads only when told to.
  boost::asio::ip::tcp::socket ConnectSlow() {
    boost::asio::ip::tcp::socket socket(loop_);
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), slow_port_});
    return socket;
  }
  void Run(milliseconds time) {
    loop_.restart();
    loop_.run_for(time);
  }
  static void Write(boost::asio::ip::tcp::socket& to,
                    const std::string& bytes) {
    boost::asio::write(to, boost::asio::buffer(bytes));
  }
  // What is there, up to `limit` bytes.
  static size_t Take(boost::asio::ip::tcp::socket& from, size_t limit) {
    std::string bytes(std::min(limit, from.available()), 0);
    return bytes.empty() ? 0 : from.read_some(boost::asio::buffer(bytes));
  }

  static constexpr size_t kLargeBytes = 12u << 20;
  forwarded_clock slow_clock_;
  memory_budget memory_;
  std::unique_ptr<http_listener> slow_listener_;
  uint16_t slow_port_ = 0;
  int served_ = 0;
};

// Guards against memory that is held for callers that never read.
TEST_F(slow_callers, OneThatReadsNothingIsClosedAfterItsBound) {
  auto caller = ConnectSlow();
  Write(caller, "GET /large HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return memory_.held() > 1u << 20; }));
  Run(milliseconds(50));
  slow_listener_->Sweep(slow_clock_.Now());
  slow_listener_->Sweep(slow_clock_.Now() + seconds(4));
  EXPECT_EQ(slow_listener_->connection_count(), 1u);
  slow_listener_->Sweep(slow_clock_.Now() + seconds(5));
  EXPECT_EQ(slow_listener_->connection_count(), 0u);
  EXPECT_EQ(slow_listener_->counters().closed_stalled, 1u);
  EXPECT_EQ(memory_.held(), 0u);
}

// Guards against the kernel's limit on unacknowledged bytes, which ended the
// connection of a caller that read nothing for 1.5 s.
TEST_F(slow_callers, OneThatPausesAndGoesOnGetsAll) {
  auto caller = ConnectSlow();
  Write(caller, "GET /large HTTP/1.1\r\n\r\n");
  Run(milliseconds(2'500));
  size_t taken = 0;
  EXPECT_TRUE(RunUntil(loop_, [&] {
    slow_listener_->Sweep(slow_clock_.Now());
    taken += Take(caller, 256u << 10);
    return taken > kLargeBytes;
  }));
  EXPECT_TRUE(RunUntil(loop_, [&] { return memory_.held() == 0; }));
  EXPECT_EQ(slow_listener_->counters().closed_stalled, 0u);
}

// Guards against a measure of what the kernel takes at once, in parts of its
// buffer, instead of what the caller takes.
TEST_F(slow_callers, ASteadyOneIsNotClosed) {
  auto caller = ConnectSlow();
  Write(caller, "GET /large HTTP/1.1\r\n\r\n");
  Run(milliseconds(50));
  // 32 KiB a second, by the times that the sweeps are told.
  for (int second = 0; second < 60; ++second) {
    Take(caller, 32u << 10);
    Run(milliseconds(5));
    slow_clock_.offset = seconds(second);
    slow_listener_->Sweep(slow_clock_.Now());
    ASSERT_EQ(slow_listener_->connection_count(), 1u) << second;
  }
}

// Guards against responses that pile up for a caller that pipelines requests
// and reads nothing, and against requests that are forgotten afterwards.
TEST_F(slow_callers, PipelinedRequestsWaitForTheirCaller) {
  auto caller = ConnectSlow();
  std::string requests;
  for (int i = 0; i < 5; ++i) {
    requests += "GET /large HTTP/1.1\r\n\r\n";
  }
  Write(caller, requests);
  Run(milliseconds(100));
  EXPECT_EQ(served_, 1);
  EXPECT_LT(memory_.held(), 2 * kLargeBytes);
  size_t taken = 0;
  EXPECT_TRUE(RunUntil(loop_, [&] {
    taken += Take(caller, 1u << 20);
    return taken > 5 * kLargeBytes;
  }));
  EXPECT_EQ(served_, 5);
  EXPECT_TRUE(RunUntil(loop_, [&] { return memory_.held() == 0; }));
}

// Guards against a use of the budget after its end by a connection that its
// last operation still owns.
TEST(http_connection_test, ClosedConnectionMayOutliveTheBudget) {
  boot_clock_source clock;
  boost::asio::io_context loop;
  auto memory = std::make_unique<memory_budget>(1u << 20);
  auto listener = std::make_unique<http_listener>(
      loop, clock, [](const inbound_request&, const auto&) {});
  listener->SetMemoryBudget(memory.get());
  boost::asio::ip::tcp::acceptor probe(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const uint16_t port = probe.local_endpoint().port();
  probe.close();
  ASSERT_TRUE(IsOk(listener->Listen("127.0.0.1", port)));
  const auto caller = ConnectRaw(loop, "127.0.0.1", port);
  ASSERT_TRUE(
      RunUntil(loop, [&] { return listener->connection_count() == 1; }));
  listener->Sweep(clock.Now() + seconds(60));
  EXPECT_EQ(listener->connection_count(), 0u);
  listener.reset();
  memory.reset();
}

}  // namespace

}  // namespace shallotport
