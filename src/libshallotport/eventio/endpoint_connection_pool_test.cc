#include "eventio/endpoint_connection_pool.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "eventio/boot_clock.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

// Records what a call reported.
struct call_recorder {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
  std::unique_ptr<endpoint_call> call;
};

class endpoint_connection_pool_test : public testing::Test {
 protected:
  std::shared_ptr<call_recorder> Call(uint16_t port, const std::string& id) {
    auto record = std::make_shared<call_recorder>();
    call_events events;
    events.on_head = [record](const response_head& head) {
      record->status = head.status;
    };
    events.on_body = [record](std::string_view bytes) {
      record->body.append(bytes);
    };
    events.on_end = [record](call_end end) { record->end = end; };
    header_list headers;
    headers.Add("X-Id", id);
    outbound_request request;
    request.method = "POST";
    request.bytes = FormatRequest("POST", "/" + id, headers, "body");
    request.echo_header = "X-Id";
    request.echo_value = id;
    record->call =
        pool_.Start({"127.0.0.1", port}, std::move(request), std::move(events));
    return record;
  }
  call_end Await(const std::shared_ptr<call_recorder>& record) {
    EXPECT_TRUE(RunUntil(loop_, [&] { return record->end.has_value(); }));
    return record->end.value_or(call_end::kInvalidResponse);
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
};

std::string CompleteResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct response_case {
  std::string name;
  std::string response;  // To the request with id "one".
  bool is_closed;        // The endpoint closes the connection after it.
  call_end end;
  std::string body;
  bool is_reused;  // The connection serves the next call.
};

class endpoint_responses : public endpoint_connection_pool_test,
                           public testing::WithParamInterface<response_case> {};

TEST_P(endpoint_responses, DetermineCallEndAndConnectionReuse) {
  scripted_endpoint endpoint(
      loop_, [&](raw_connection& connection, const std::string& request) {
        if (request.starts_with("POST /two")) {
          connection.Write(CompleteResponse("two", "second"));
          return;
        }
        connection.Write(GetParam().response);
        if (GetParam().is_closed) {
          connection.Close();
        }
      });
  const auto first = Call(endpoint.port(), "one");
  EXPECT_EQ(Await(first), GetParam().end);
  if (first->end == call_end::kComplete) {
    EXPECT_EQ(first->body, GetParam().body);
  }
  loop_.restart();
  loop_.run_for(std::chrono::milliseconds(10));
  const auto second = Call(endpoint.port(), "two");
  EXPECT_EQ(Await(second), call_end::kComplete);
  EXPECT_EQ(second->body, "second");
  EXPECT_EQ(endpoint.connections, GetParam().is_reused ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    endpoint_responses,
    testing::Values(
        response_case{"whole", CompleteResponse("one", "abc"), false,
                      call_end::kComplete, "abc", true},
        response_case{"chunked",
                      "HTTP/1.1 200 OK\r\nX-Id: one\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                      false, call_end::kComplete, "abc", true},
        response_case{"chunked_without_id",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                      false, call_end::kComplete, "abc", false},
        response_case{"unframed", "HTTP/1.1 200 OK\r\n\r\nabc", true,
                      call_end::kComplete, "abc", false},
        response_case{"truncated",
                      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true,
                      call_end::kBroken, "", false},
        response_case{"truncated_in_chunked_body",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n",
                      true, call_end::kBroken, "", false},
        response_case{"no_response", "", true, call_end::kBroken, "", false},
        response_case{"not_http", "garbage\r\n\r\n", false,
                      call_end::kInvalidResponse, "", false},
        response_case{
            "bytes_after_the_response",
            CompleteResponse("one", "abc") + CompleteResponse("one", "abc"),
            false, call_end::kComplete, "abc", false},
        response_case{
            "late_response_to_earlier_request_first",
            CompleteResponse("zero", "old") + CompleteResponse("one", "abc"),
            false, call_end::kComplete, "abc", false},
        response_case{
            "interim_response_first",
            "HTTP/1.1 102 Processing\r\n\r\n" + CompleteResponse("one", "abc"),
            false, call_end::kComplete, "abc", true},
        response_case{"connection_close",
                      "HTTP/1.1 200 OK\r\nX-Id: one\r\nConnection: close\r\n"
                      "Content-Length: 3\r\n\r\nabc",
                      false, call_end::kComplete, "abc", false},
        response_case{
            "keep_alive_of_zero",
            "HTTP/1.1 200 OK\r\nX-Id: one\r\nKeep-Alive: timeout=0\r\n"
            "Content-Length: 3\r\n\r\nabc",
            false, call_end::kComplete, "abc", false}),
    [](const auto& info) { return info.param.name; });

TEST_F(endpoint_connection_pool_test, RefusedConnectionIsReportedAsNotSent) {
  scripted_endpoint endpoint(loop_, [](raw_connection&, const std::string&) {});
  const uint16_t port = endpoint.port();
  endpoint.Close();
  EXPECT_EQ(Await(Call(port, "one")), call_end::kRefused);
}

TEST_F(endpoint_connection_pool_test, DestroyingCallHandleClosesConnection) {
  bool is_closed = false;
  std::shared_ptr<raw_connection> at_endpoint;
  scripted_endpoint endpoint(
      loop_, [&](raw_connection& connection, const std::string&) {
        at_endpoint = connection.shared_from_this();
      });
  const auto record = Call(endpoint.port(), "one");
  ASSERT_TRUE(RunUntil(loop_, [&] { return at_endpoint != nullptr; }));
  record->call.reset();
  is_closed = RunUntil(loop_, [&] { return at_endpoint->is_ended; });
  EXPECT_TRUE(is_closed);
  EXPECT_FALSE(record->end.has_value());
}

TEST_F(endpoint_connection_pool_test,
       IdleConnectionClosedByEndpointIsNotReused) {
  std::shared_ptr<raw_connection> at_endpoint;
  scripted_endpoint endpoint(
      loop_, [&](raw_connection& connection, const std::string& request) {
        at_endpoint = connection.shared_from_this();
        connection.Write(CompleteResponse(
            request.starts_with("POST /two") ? "two" : "one", "abc"));
      });
  EXPECT_EQ(Await(Call(endpoint.port(), "one")), call_end::kComplete);
  EXPECT_EQ(pool_.idle_count(), 1u);
  at_endpoint->Close();
  EXPECT_TRUE(RunUntil(loop_, [&] { return pool_.idle_count() == 0; }));
  EXPECT_EQ(Await(Call(endpoint.port(), "two")), call_end::kComplete);
}

// Read freed memory when the only idle connection had expired.
TEST_F(endpoint_connection_pool_test, ExpiredConnectionIsReplaced) {
  scripted_endpoint endpoint(
      loop_, [](raw_connection& connection, const std::string& request) {
        const size_t at = request.find("X-Id: ") + 6;
        connection.Write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nX-Id: " +
                         request.substr(at, request.find('\r', at) - at) +
                         "\r\nContent-Length: 0\r\n\r\n");
      });
  EXPECT_EQ(Await(Call(endpoint.port(), "one")), call_end::kComplete);
  EXPECT_EQ(pool_.idle_count(), 1u);
  loop_.restart();
  loop_.run_for(std::chrono::milliseconds(600));
  EXPECT_EQ(Await(Call(endpoint.port(), "two")), call_end::kComplete);
  EXPECT_EQ(endpoint.connections, 2);
  EXPECT_EQ(pool_.idle_count(), 1u);
}

}  // namespace

}  // namespace shallotport
