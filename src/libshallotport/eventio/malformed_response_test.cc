#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "base/malformed_heads_test_util.h"
#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

class malformed_response : public testing::TestWithParam<malformed_head> {
 protected:
  // Until the call has ended; the endpoint keeps the connection open.
  void Call(const std::string& response) {
    response_ = response;
    call_events events;
    events.on_head = [this](const response_head& head) {
      status_ = head.status;
    };
    events.on_body = [this](std::string_view bytes) { body_.append(bytes); };
    events.on_end = [this](call_end end) { end_ = end; };
    header_list headers;
    headers.Add("X-Id", "r");
    outbound_request request;
    request.method = "POST";
    request.bytes = FormatRequest("POST", "/r", headers, "body");
    request.echo_header = "X-Id";
    request.echo_value = "r";
    call_ = pool_.Start({"127.0.0.1", endpoint_.port()}, std::move(request),
                        std::move(events));
    RunUntil(
        loop_, [&] { return end_.has_value(); }, milliseconds(500));
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
  std::string response_;
  scripted_endpoint endpoint_{
      loop_, [this](raw_connection& connection, const std::string&) {
        connection.Write(response_);
      }};
  std::unique_ptr<endpoint_call> call_;
  int status_ = 0;
  std::string body_;
  std::optional<call_end> end_;
};

TEST_P(malformed_response, IsNoAnswer) {
  Call(GetParam().bytes);
  ASSERT_TRUE(end_);
  EXPECT_EQ(*end_, call_end::kInvalidResponse);
  EXPECT_EQ(status_, 0);
  EXPECT_EQ(body_, "");
  EXPECT_EQ(pool_.idle_count(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    status,
    malformed_response,
    testing::ValuesIn(HeadsWithMalformedStatus("X-Id: r\r\n")),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    fields,
    malformed_response,
    testing::ValuesIn(HeadsWithMalformedFields("X-Id: r\r\n")),
    [](const auto& info) { return info.param.name; });

class sound_response : public malformed_response {};

TEST_P(sound_response, IsTheAnswer) {
  Call(GetParam().bytes);
  ASSERT_TRUE(end_);
  EXPECT_EQ(*end_, call_end::kComplete);
  EXPECT_EQ(body_, "hello");
}

INSTANTIATE_TEST_SUITE_P(
    status,
    sound_response,
    testing::Values(
        malformed_head{
            "status_599",
            "HTTP/1.1 599 Odd\r\nX-Id: r\r\nContent-Length: 5\r\n\r\nhello"},
        malformed_head{
            "status_200_without_reason",
            "HTTP/1.1 200 \r\nX-Id: r\r\nContent-Length: 5\r\n\r\nhello"},
        malformed_head{"interim",
                       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nA: "
                       "b\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: "
                       "r\r\nContent-Length: 5\r\n\r\nhello"}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
