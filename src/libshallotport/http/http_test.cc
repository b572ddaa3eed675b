#include <gtest/gtest.h>

#include <atomic>
#include <future>

#include "http/endpoint_caller.h"
#include "http/http_server.h"

namespace shallotport {
namespace {

lane_settings Lane(const std::string& address) {
  return {address, 8, 4096, std::chrono::seconds(5)};
}

// A stream of `pieces` pieces; it notes when it is destroyed.
class counted_stream final : public body_stream {
 public:
  counted_stream(int pieces, state last, std::promise<void>* destroyed)
      : left_(pieces), last_(last), destroyed_(destroyed) {}
  ~counted_stream() override {
    if (destroyed_ != nullptr) {
      destroyed_->set_value();
    }
  }
  state Read(std::string& out, size_t) override {
    if (left_ == 0) {
      return last_;
    }
    --left_;
    out = "piece\n";
    return state::kMore;
  }

 private:
  int left_;
  state last_;
  std::promise<void>* destroyed_;
};

class http_pair : public ::testing::Test {
 protected:
  void SetUp() override {
    auto server = http_server::Create(
        Lane("127.0.0.1:19711"),
        [this](const http_request& request) { return Handle(request); });
    ASSERT_TRUE(IsOk(server)) << ErrorOf(server).detail;
    server_ = std::move(ValueOf(server));
    caller_ = std::move(ValueOf(endpoint_caller::Create(2)));
  }

  http_reply Handle(const http_request& request) {
    if (request.path == "/stream") {
      http_reply reply;
      reply.stream = std::make_unique<counted_stream>(
          50, body_stream::state::kEnd, nullptr);
      return reply;
    }
    if (request.path == "/broken") {
      http_reply reply;
      reply.stream = std::make_unique<counted_stream>(
          2, body_stream::state::kBroken, nullptr);
      return reply;
    }
    if (request.path == "/unwatched") {
      http_reply reply;
      reply.stream = std::make_unique<counted_stream>(
          1 << 30, body_stream::state::kEnd, nullptr);
      return reply;
    }
    if (request.path == "/endless") {
      http_reply reply;
      reply.stream = std::make_unique<counted_stream>(
          1 << 30, body_stream::state::kEnd, &destroyed_);
      return reply;
    }
    std::string text = request.method + " " + request.path + " " +
                       std::string(request.Query("q").value_or("-")) + " " +
                       std::string(request.Header("x-note").value_or("-")) +
                       " " + request.body;
    return MakeJsonReply(200, std::move(text));
  }

  result<http_reply> Call(std::string path, std::string body) {
    endpoint_call call;
    call.address = "127.0.0.1:19711";
    call.path = std::move(path);
    call.body = std::move(body);
    call.headers = {{"X-Note", "n"}};
    return CallAndWait(*caller_, std::move(call));
  }

  std::unique_ptr<http_server> server_;
  std::unique_ptr<endpoint_caller> caller_;
  std::promise<void> destroyed_;
};

TEST_F(http_pair, CarriesMethodPathQueryHeadersAndBody) {
  const auto reply = Call("/some/path?q=7", "body");
  ASSERT_TRUE(IsOk(reply)) << ErrorOf(reply).detail;
  EXPECT_EQ(ValueOf(reply).body, "POST /some/path 7 n body");
}

TEST_F(http_pair, RefusesABodyAboveTheLanesBound) {
  const auto reply = Call("/x", std::string(5000, 'b'));
  ASSERT_TRUE(IsOk(reply)) << ErrorOf(reply).detail;
  EXPECT_EQ(ValueOf(reply).status, 413);
}

TEST_F(http_pair, StreamsAWholeBody) {
  const auto reply = Call("/stream", "");
  ASSERT_TRUE(IsOk(reply)) << ErrorOf(reply).detail;
  EXPECT_EQ(ValueOf(reply).body.size(), 50 * 6U);
}

TEST_F(http_pair, ABrokenStreamIsNoWholeAnswer) {
  const auto reply = Call("/broken", "");
  ASSERT_FALSE(IsOk(reply));
  EXPECT_EQ(ErrorOf(reply).kind, error_kind::kEndpointFailed);
}

struct noting_sink final : endpoint_call_sink {
  void OnHead(int, std::vector<http_field>) override {}
  void OnBytes(std::string_view) override {
    if (!has_bytes.exchange(true)) {
      first_bytes.set_value();
    }
  }
  void OnEnd(const endpoint_call_end& ended) override { end.set_value(ended); }
  std::atomic<bool> has_bytes{false};
  std::promise<void> first_bytes;
  std::promise<endpoint_call_end> end;
};

TEST_F(http_pair, CancelClosesTheConnectionAndFreesTheStream) {
  auto sink = std::make_shared<noting_sink>();
  endpoint_call call;
  call.address = "127.0.0.1:19711";
  call.path = "/endless";
  const auto number = caller_->Start(call, sink);
  ASSERT_TRUE(IsOk(number));
  sink->first_bytes.get_future().get();
  caller_->Cancel(ValueOf(number));
  const endpoint_call_end end = sink->end.get_future().get();
  EXPECT_FALSE(end.is_whole);
  EXPECT_TRUE(end.is_sent);
  destroyed_.get_future().get();
  EXPECT_TRUE(server_->WaitUntilIdle(std::chrono::seconds(10)));
}

TEST_F(http_pair, ARefusedConnectionWasNotSent) {
  auto sink = std::make_shared<noting_sink>();
  endpoint_call call;
  call.address = "127.0.0.1:1";
  call.path = "/";
  ASSERT_TRUE(IsOk(caller_->Start(call, sink)));
  const endpoint_call_end end = sink->end.get_future().get();
  EXPECT_FALSE(end.is_whole);
  EXPECT_FALSE(end.is_sent);
}

// A connection that is established before the lane stops accepting is served,
// however late its request comes.
TEST_F(http_pair, ServesConnectionsFromBeforeTheStop) {
  auto sink = std::make_shared<noting_sink>();
  endpoint_call call;
  call.address = "127.0.0.1:19711";
  call.path = "/endless";
  const auto number = caller_->Start(call, sink);
  ASSERT_TRUE(IsOk(number));
  sink->first_bytes.get_future().get();
  server_->StopAccepting();
  call.path = "/late";
  call.connect_timeout = std::chrono::milliseconds(200);
  auto late = std::make_shared<noting_sink>();
  ASSERT_TRUE(IsOk(caller_->Start(call, late)));
  EXPECT_FALSE(late->end.get_future().get().is_sent);
  caller_->Cancel(ValueOf(number));
  EXPECT_TRUE(sink->end.get_future().get().is_sent);
  destroyed_.get_future().get();
  EXPECT_TRUE(server_->WaitUntilIdle(std::chrono::seconds(10)));
}

TEST_F(http_pair, ALaneRefusesMoreCallsThanItsBound) {
  endpoint_call call;
  call.address = "127.0.0.1:19711";
  call.path = "/unwatched";
  const auto first = caller_->Start(call, std::make_shared<noting_sink>());
  const auto second = caller_->Start(call, std::make_shared<noting_sink>());
  ASSERT_TRUE(IsOk(first));
  ASSERT_TRUE(IsOk(second));
  const auto third = caller_->Start(call, std::make_shared<noting_sink>());
  ASSERT_FALSE(IsOk(third));
  EXPECT_EQ(ErrorOf(third).kind, error_kind::kNoCapacity);
}

TEST(HttpMessage, SplitsPathsAndFindsFieldsInAnyCase) {
  EXPECT_EQ(PathSegments("/v1//batches/7/").size(), 3U);
  EXPECT_TRUE(PathSegments("/").empty());
  const std::vector<http_field> fields = {{"X-Request-Id", "r"}};
  EXPECT_EQ(FindField(fields, "x-request-id"), "r");
  EXPECT_EQ(FindField(fields, "x-request"), std::nullopt);
}

TEST(HttpMessage, AnErrorNamesItsKindRunAndRetry) {
  const http_reply reply =
      MakeErrorReply({error_kind::kNoCapacity, "all endpoints are full",
                      std::chrono::milliseconds(1500)},
                     "r1");
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(FindField(reply.headers, "Retry-After"), "2");
  EXPECT_NE(reply.body.find("\"run\":\"not_run\""), std::string::npos);
  EXPECT_NE(reply.body.find("\"code\":\"no_capacity\""), std::string::npos);
}

}  // namespace
}  // namespace shallotport
