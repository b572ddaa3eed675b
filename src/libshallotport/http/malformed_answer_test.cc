#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "base/malformed_heads_test_util.h"
#include "eventio/early_endpoint_test_util.h"
#include "http/endpoint_caller.h"

namespace shallotport {
namespace {

struct head_sink final : endpoint_call_sink {
  void OnHead(int head_status, std::vector<http_field>) override {
    ++heads;
    status = head_status;
  }
  void OnBytes(std::string_view bytes) override { body.append(bytes); }
  void OnEnd(const endpoint_call_end& ended) override { end.set_value(ended); }
  int heads = 0;
  int status = 0;
  std::string body;
  std::promise<endpoint_call_end> end;
};

class malformed_answer : public testing::TestWithParam<malformed_head> {
 protected:
  // The endpoint closes the connection after its answer.
  endpoint_call_end Call() {
    boost::asio::io_context loop;
    early_endpoint endpoint(loop, [](const std::string&) {
      return early_answer{GetParam().bytes, early_ending::kHalfClose};
    });
    std::thread thread([&] { loop.run(); });
    const auto caller = std::move(ValueOf(endpoint_caller::Create(2)));
    endpoint_call call;
    call.address = "127.0.0.1:" + std::to_string(endpoint.port());
    call.path = "/";
    call.body = "body";
    call.timeout = std::chrono::milliseconds(2'000);
    EXPECT_TRUE(IsOk(caller->Start(std::move(call), sink_)));
    endpoint_call_end end = sink_->end.get_future().get();
    loop.stop();
    thread.join();
    return end;
  }

  std::shared_ptr<head_sink> sink_ = std::make_shared<head_sink>();
};

TEST_P(malformed_answer, IsNoAnswer) {
  const endpoint_call_end end = Call();
  EXPECT_FALSE(end.is_whole);
  EXPECT_TRUE(end.is_sent);
  EXPECT_FALSE(end.detail.empty());
  EXPECT_EQ(sink_->heads, 0) << sink_->status;
  EXPECT_EQ(sink_->body, "");
}

INSTANTIATE_TEST_SUITE_P(
    status,
    malformed_answer,
    testing::ValuesIn(HeadsWithMalformedStatus("X-Request-Id: r\r\n")),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    fields,
    malformed_answer,
    testing::ValuesIn(HeadsWithMalformedFields("X-Request-Id: r\r\n")),
    [](const auto& info) { return info.param.name; });

class sound_answer : public malformed_answer {};

TEST_P(sound_answer, IsTheAnswer) {
  const endpoint_call_end end = Call();
  EXPECT_TRUE(end.is_whole) << end.detail;
  EXPECT_EQ(sink_->heads, 1);
  EXPECT_EQ(sink_->body, "hello");
}

INSTANTIATE_TEST_SUITE_P(
    status,
    sound_answer,
    testing::Values(
        malformed_head{"status_599",
                       "HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nhello"},
        malformed_head{"status_200_without_reason",
                       "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello"},
        malformed_head{"interim",
                       "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 "
                       "OK\r\nContent-Length: 5\r\n\r\nhello"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
