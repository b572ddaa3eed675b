#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

struct call_record {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
  std::unique_ptr<endpoint_call> call;
};

// `fields`: further lines of the head.
std::string Response(const std::string& status,
                     const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string Answer(const std::string& id) {
  return Response("200 OK", "X-Id: " + id + "\r\n", "answer to " + id);
}
std::string Refusal(const std::string& id_line) {
  return Response("503 Service Unavailable", id_line + "X-Refused: 1\r\n",
                  "full");
}

// Calls one endpoint, whose responses the test writes.
class foreign_response_test : public testing::Test {
 protected:
  std::shared_ptr<call_record> Call(const std::string& id,
                                    const std::string& method = "POST",
                                    const std::string& echo_header = "X-Id") {
    auto record = std::make_shared<call_record>();
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
    request.method = method;
    request.bytes = FormatRequest(method, "/", headers, "");
    request.echo_header = echo_header;
    request.echo_value = id;
    record->call = pool_.Start({"127.0.0.1", endpoint_.port()},
                               std::move(request), std::move(events));
    return record;
  }
  // Until the endpoint has read `count` requests in total.
  void AwaitRequests(size_t count) {
    ASSERT_TRUE(
        RunUntil(loop_, [&] { return endpoint_.requests.size() >= count; }));
  }
  call_end AwaitEnd(const std::shared_ptr<call_record>& record) {
    EXPECT_TRUE(RunUntil(loop_, [&] { return record->end.has_value(); }));
    return record->end.value_or(call_end::kNotSent);
  }
  // A call that the endpoint answers with `response`.
  std::shared_ptr<call_record> Serve(const std::string& id,
                                     const std::string& response,
                                     const std::string& method = "POST") {
    const size_t before = endpoint_.requests.size();
    auto record = Call(id, method);
    AwaitRequests(before + 1);
    last_->Write(response);
    EXPECT_EQ(AwaitEnd(record), call_end::kComplete);
    return record;
  }
  void RunFor(milliseconds period) {
    loop_.restart();
    loop_.run_for(period);
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
  scripted_endpoint endpoint_{
      loop_, [this](raw_connection& connection, const std::string&) {
        last_ = connection.shared_from_this();
      }};
  std::shared_ptr<raw_connection> last_;  // The last that brought a request.
};

// After an answer to another request, a refusal was taken for that of the
// first request on the connection.
TEST_F(foreign_response_test, FollowEachOtherOnANewConnection) {
  const auto call = Call("two");
  AwaitRequests(1);
  last_->Write(Answer("zero") + Refusal("") + Answer("two"));
  EXPECT_EQ(AwaitEnd(call), call_end::kComplete);
  EXPECT_EQ(call->status, 200);
  EXPECT_EQ(call->body, "answer to two");
  EXPECT_EQ(pool_.totals().skipped_responses, 2u);
}

struct foreign_case {
  std::string name;
  std::vector<std::string> pieces;  // Written to request "two", one by one.
  bool is_closed = false;           // By the endpoint, after the last piece.
  call_end end = call_end::kComplete;
  uint64_t skipped = 1;
  uint64_t unidentified = 0;
};

void PrintTo(const foreign_case& each, std::ostream* out) {
  *out << each.name;
}

class foreign_responses : public foreign_response_test,
                          public testing::WithParamInterface<foreign_case> {};

// A refusal that was written once more released a request that the endpoint
// ran.
TEST_P(foreign_responses, AreNotTakenForTheAnswerOnAKeptConnection) {
  EXPECT_EQ(Serve("one", Refusal("X-Id: one\r\n"))->status, 503);
  ASSERT_EQ(pool_.idle_count(), 1u);
  const auto second = Call("two");
  AwaitRequests(2);
  ASSERT_EQ(endpoint_.connections, 1);
  for (const std::string& piece : GetParam().pieces) {
    last_->Write(piece);
    RunFor(milliseconds(2));
  }
  if (GetParam().is_closed) {
    last_->Close();
  }
  EXPECT_EQ(AwaitEnd(second), GetParam().end);
  const bool is_answered = GetParam().end == call_end::kComplete;
  EXPECT_EQ(second->status, is_answered ? 200 : 0);
  EXPECT_EQ(second->body, is_answered ? "answer to two" : "");
  EXPECT_EQ(pool_.idle_count(), 0u);
  EXPECT_EQ(pool_.totals().skipped_responses, GetParam().skipped);
  EXPECT_EQ(pool_.totals().unidentified_responses, GetParam().unidentified);
}

const std::string kWithoutId = Refusal("");
const std::string kOfOne = Refusal("X-Id: one\r\n");
const std::string kMisdirected =
    Response("421 Misdirected Request", "", "other");
const std::string kInterim = "HTTP/1.1 102 Processing\r\n\r\n";

std::vector<std::string> Bytes(const std::string& text) {
  std::vector<std::string> pieces;
  for (const char each : text) {
    pieces.emplace_back(1, each);
  }
  return pieces;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    foreign_responses,
    testing::Values(
        foreign_case{"refusal_without_id",
                     {kWithoutId + Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"misdirected_without_id",
                     {kMisdirected, Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"refusal_of_the_former_request", {kOfOne + Answer("two")}},
        foreign_case{"success_without_id",
                     {Response("200 OK", "", "old"), Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"success_of_the_former_request",
                     {Answer("one"), Answer("two")}},
        foreign_case{"empty_id", {Refusal("X-Id: \r\n") + Answer("two")}},
        foreign_case{"two_ids",
                     {Refusal("X-Id: two\r\nX-Id: one\r\n") + Answer("two")}},
        foreign_case{"several",
                     {kWithoutId + kOfOne, kWithoutId, Answer("two")},
                     false,
                     call_end::kComplete,
                     3,
                     2},
        foreign_case{"chunked_without_id",
                     {"HTTP/1.1 503 Full\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n" +
                      Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"split_at_each_byte", Bytes(kWithoutId + Answer("two")),
                     false, call_end::kComplete, 1, 1},
        foreign_case{"after_an_interim_response",
                     {kInterim + kWithoutId, Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"before_an_interim_response",
                     {kWithoutId, kInterim + Answer("two")},
                     false,
                     call_end::kComplete,
                     1,
                     1},
        foreign_case{"after_the_answer",
                     {Answer("two") + kWithoutId},
                     false,
                     call_end::kComplete,
                     0,
                     0},
        foreign_case{
            "timeout_of_an_idle_connection",
            {Response("408 Request Timeout", "Connection: close\r\n", "")},
            true,
            call_end::kBroken,
            1,
            1},
        foreign_case{"alone_and_closed",
                     {kWithoutId},
                     true,
                     call_end::kBroken,
                     1,
                     1},
        foreign_case{"cut_and_closed",
                     {kWithoutId.substr(0, kWithoutId.size() - 1)},
                     true,
                     call_end::kBroken,
                     1,
                     1},
        // Where the answer begins is not known.
        foreign_case{"without_length",
                     {"HTTP/1.1 503 Full\r\n\r\nfull" + Answer("two")},
                     false,
                     call_end::kInvalidResponse,
                     1,
                     1}),
    [](const auto& info) { return info.param.name; });

// What else arrives on it is not known.
TEST_F(foreign_response_test, ConnectionWithAForeignResponseIsNotKept) {
  Serve("one", Answer("one"));
  EXPECT_EQ(Serve("two", kOfOne + Answer("two"))->status, 200);
  Serve("three", Answer("three"));
  EXPECT_EQ(endpoint_.connections, 2);
}

// An earlier refusal of the same id was taken for the answer to its next send.
TEST_F(foreign_response_test, AnIdIsSentOnceOnAConnection) {
  EXPECT_EQ(Serve("one", kOfOne)->status, 503);
  const auto again = Call("one");
  AwaitRequests(2);
  EXPECT_EQ(endpoint_.connections, 2);
  last_->Write(Answer("one"));
  EXPECT_EQ(AwaitEnd(again), call_end::kComplete);
  EXPECT_EQ(again->status, 200);
}

TEST_F(foreign_response_test, AnIdTakesAnotherIdleConnection) {
  const auto first = Call("one");
  AwaitRequests(1);
  const auto at_first = last_;
  Serve("two", Answer("two"));
  at_first->Write(kOfOne);
  EXPECT_EQ(AwaitEnd(first), call_end::kComplete);
  ASSERT_EQ(pool_.idle_count(), 2u);
  Serve("one", Answer("one"));
  EXPECT_EQ(endpoint_.connections, 2);
  EXPECT_EQ(pool_.idle_count(), 2u);
  // Both have carried it now.
  Serve("one", Answer("one"));
  EXPECT_EQ(endpoint_.connections, 3);
}

TEST_F(foreign_response_test, RecordOfIdsIsBounded) {
  constexpr int kCalls = 2'000;
  for (int i = 0; i < kCalls; ++i) {
    const std::string id = std::to_string(i);
    Serve(id, Answer(id));
  }
  EXPECT_GE(endpoint_.connections, 2);
  EXPECT_LE(endpoint_.connections, kCalls / 100);
}

// An endpoint that names no request cannot be told from a faulty one later.
TEST_F(foreign_response_test, ConnectionIsKeptOnlyAfterANamedAnswer) {
  EXPECT_EQ(Serve("one", Response("200 OK", "", "abc"))->body, "abc");
  EXPECT_EQ(pool_.idle_count(), 0u);
  EXPECT_EQ(Serve("two", Response("200 OK", "", "abc"))->body, "abc");
  EXPECT_EQ(endpoint_.connections, 2);
}

TEST_F(foreign_response_test, CallWithoutAnEchoHeaderHasItsOwnConnection) {
  Serve("one", Answer("one"));
  ASSERT_EQ(pool_.idle_count(), 1u);
  const auto call = Call("two", "POST", "");
  AwaitRequests(2);
  EXPECT_EQ(endpoint_.connections, 2);
  last_->Write(Answer("two"));
  EXPECT_EQ(AwaitEnd(call), call_end::kComplete);
  EXPECT_EQ(pool_.idle_count(), 1u);
}

// The body of a response to another request depends on that request's method.
TEST_F(foreign_response_test, HeadRequestHasItsOwnConnection) {
  Serve("one", Answer("one"));
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: two\r\n";
  Serve("two", head + "Content-Length: 9\r\n\r\n", "HEAD");
  EXPECT_EQ(endpoint_.connections, 2);
  EXPECT_EQ(pool_.idle_count(), 1u);
}

TEST_F(foreign_response_test, ConnectionWithUnreadBytesIsNotUsed) {
  Serve("one", Answer("one"));
  ASSERT_EQ(pool_.idle_count(), 1u);
  last_->Write(kOfOne);
  const auto second = Call("two");
  AwaitRequests(2);
  EXPECT_EQ(endpoint_.connections, 2);
  last_->Write(Answer("two"));
  EXPECT_EQ(AwaitEnd(second), call_end::kComplete);
  EXPECT_EQ(pool_.totals().skipped_responses, 0u);
}

// The request got lost on its way, and its caller was told nothing certain.
TEST_F(foreign_response_test, ConnectionThatHasEndedIsNotUsed) {
  Serve("one", Answer("one"));
  ASSERT_EQ(pool_.idle_count(), 1u);
  last_->Close();
  const auto second = Call("two");
  AwaitRequests(2);
  last_->Write(Answer("two"));
  EXPECT_EQ(AwaitEnd(second), call_end::kComplete);
}

TEST_F(foreign_response_test, ResponseThatCrossesTheRequestIsSkipped) {
  Serve("one", Answer("one"));
  const auto at_first = last_;
  const auto second = Call("two");
  at_first->Write(kWithoutId);
  AwaitRequests(2);
  last_->Write(Answer("two"));
  EXPECT_EQ(AwaitEnd(second), call_end::kComplete);
  EXPECT_EQ(second->status, 200);
}

}  // namespace

}  // namespace shallotport
