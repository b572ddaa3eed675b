#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"
#include "eventio/relay_listener.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRelayIp = "127.0.0.1";

struct call_record {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
  std::unique_ptr<endpoint_call> call;
};

std::string Response(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: r\r\n" + fields + "\r\n" + body;
}

// A host that is cut off from all endpoints, a relay and one endpoint.
class relayed_connection_test : public testing::Test {
 protected:
  relayed_connection_test() {
    StartRelay();
    CutOff();
  }

  void StartRelay() {
    relay_ = std::make_unique<relay_listener>(
        loop_, [this](const endpoint_address& address) {
          return address.port == port_;
        });
    ASSERT_TRUE(IsOk(relay_->Listen(std::string(kRelayIp), 0)));
    pool_.paths().SetRelays({{std::string(kRelayIp), relay_->port()}});
  }
  void CutOff() {
    for (uint16_t port = 1; port <= 3; ++port) {
      pool_.paths().RecordConnectFailed(clock_.Now(), {"10.0.0.1", port});
    }
    ASSERT_TRUE(pool_.paths().IsCutOff());
  }
  std::shared_ptr<call_record> Call(uint16_t port,
                                    const std::string& id = "r") {
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
    request.method = "POST";
    request.bytes = FormatRequest("POST", "/", headers, "body");
    request.echo_header = "X-Id";
    request.echo_value = id;
    record->call =
        pool_.Start({"127.0.0.1", port}, std::move(request), std::move(events));
    return record;
  }
  bool Await(const std::function<bool()>& is_done) {
    return RunUntil(loop_, is_done, milliseconds(3'000));
  }
  call_end AwaitEnd(const std::shared_ptr<call_record>& record) {
    EXPECT_TRUE(Await([&] { return record->end.has_value(); }));
    return record->end.value_or(call_end::kInvalidResponse);
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
  std::function<void(raw_connection&)> respond_;
  scripted_endpoint endpoint_{
      loop_, [this](raw_connection& connection, const std::string&) {
        last_ = connection.shared_from_this();
        respond_(connection);
      }};
  const uint16_t port_ = endpoint_.port();
  std::shared_ptr<raw_connection> last_;  // The last that brought a request.
  std::unique_ptr<relay_listener> relay_;
};

void Reset(raw_connection& connection) {
  connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
  connection.Close();
}

struct ending_case {
  std::string name;
  std::function<void(raw_connection& connection)> respond;
  call_end end;
  std::string body;
};

class relayed_ending : public relayed_connection_test,
                       public testing::WithParamInterface<ending_case> {
 protected:
  // A connection that breaks may lose what was sent before.
  static void ExpectBody(const call_record& record) {
    if (GetParam().end == call_end::kBroken) {
      EXPECT_TRUE(GetParam().body.starts_with(record.body)) << record.body;
    } else {
      EXPECT_EQ(record.body, GetParam().body);
    }
  }
};

TEST_P(relayed_ending, IsSeenAsOnADirectConnection) {
  respond_ = GetParam().respond;
  const auto relayed = Call(port_);
  EXPECT_EQ(AwaitEnd(relayed), GetParam().end);
  ExpectBody(*relayed);
  EXPECT_EQ(pool_.totals().relayed, 1u);
  pool_.paths().RecordConnected(clock_.Now());
  const auto direct = Call(port_);
  EXPECT_EQ(AwaitEnd(direct), GetParam().end);
  ExpectBody(*direct);
  EXPECT_EQ(pool_.totals().relayed, 1u);
  EXPECT_EQ(endpoint_.requests.size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    relayed_ending,
    testing::Values(ending_case{"whole",
                                [](raw_connection& connection) {
                                  connection.Write(Response(
                                      "Content-Length: 5\r\n", "hello"));
                                },
                                call_end::kComplete, "hello"},
                    ending_case{"large",
                                [](raw_connection& connection) {
                                  connection.Write(
                                      Response("Content-Length: 300000\r\n",
                                               std::string(300'000, 'x')));
                                },
                                call_end::kComplete, std::string(300'000, 'x')},
                    ending_case{"ended_by_its_connection",
                                [](raw_connection& connection) {
                                  connection.Write(Response("", "hello"));
                                  connection.Close();
                                },
                                call_end::kComplete, "hello"},
                    ending_case{"reset",
                                [](raw_connection& connection) {
                                  connection.Write(Response("", "hello"));
                                  Reset(connection);
                                },
                                call_end::kBroken, "hello"},
                    ending_case{"closed_early",
                                [](raw_connection& connection) {
                                  connection.Write(Response(
                                      "Content-Length: 9\r\n", "hello"));
                                  connection.Close();
                                },
                                call_end::kBroken, "hello"},
                    ending_case{
                        "closed_without_an_answer",
                        [](raw_connection& connection) { connection.Close(); },
                        call_end::kBroken, ""},
                    ending_case{"no_response",
                                [](raw_connection& connection) {
                                  connection.Write("what is this\r\n\r\n");
                                },
                                call_end::kInvalidResponse, ""}),
    [](const auto& info) { return info.param.name; });

// The end of a relay looked like the end of a body that its connection ends.
TEST_F(relayed_connection_test, EndOfTheRelayIsNoEndOfAResponse) {
  respond_ = [](raw_connection& connection) {
    connection.Write(Response("", "hello"));
  };
  const auto call = Call(port_);
  ASSERT_TRUE(Await([&] { return call->body == "hello"; }));
  relay_.reset();
  EXPECT_EQ(AwaitEnd(call), call_end::kBroken);
}

TEST_F(relayed_connection_test, EndpointIsLeftAtOnceWhenACallIsCancelled) {
  respond_ = [](raw_connection&) {};
  const auto call = Call(port_);
  ASSERT_TRUE(Await([&] { return last_ != nullptr; }));
  call->call.reset();
  EXPECT_TRUE(Await([&] { return last_->is_ended; }));
  EXPECT_EQ(relay_->tunnel_count(), 0u);
}

TEST_F(relayed_connection_test, RequestsThatWereNotSentAreKnown) {
  respond_ = [](raw_connection&) { FAIL() << "a request was sent"; };
  // Nothing listens at the endpoint's address.
  scripted_endpoint down(loop_, [](raw_connection&, const std::string&) {});
  endpoint_.Close();
  EXPECT_EQ(AwaitEnd(Call(down.port())), call_end::kNotSent);  // Declined.
  relay_.reset();
  StartRelay();
  EXPECT_EQ(AwaitEnd(Call(port_)), call_end::kRefused);  // By the endpoint.
  EXPECT_EQ(down.connections, 0);
  EXPECT_EQ(endpoint_.connections, 0);
  relay_.reset();
  EXPECT_EQ(AwaitEnd(Call(port_)), call_end::kNotSent);
}

TEST_F(relayed_connection_test, ConnectionIsKeptUntilTheRelayLeaves) {
  std::string id;
  respond_ = [&id](raw_connection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: " + id +
                     "\r\nContent-Length: 5\r\nKeep-Alive: "
                     "timeout=9\r\n\r\nhello");
  };
  for (const char* each : {"r", "s"}) {
    id = each;
    EXPECT_EQ(AwaitEnd(Call(port_, id)), call_end::kComplete);
  }
  EXPECT_EQ(endpoint_.connections, 1);
  EXPECT_EQ(pool_.idle_count(), 1u);
  relay_->StartDraining();
  EXPECT_TRUE(Await([&] { return pool_.idle_count() == 0; }));
  EXPECT_TRUE(Await([&] { return relay_->tunnel_count() == 0; }));
  EXPECT_EQ(AwaitEnd(Call(port_)), call_end::kNotSent);
  EXPECT_EQ(relay_->totals().declined, 1u);
}

TEST_F(relayed_connection_test, CallInProgressOutlivesTheStopOfItsRelay) {
  respond_ = [](raw_connection& connection) {
    connection.Write(Response("Content-Length: 10\r\n", "hello"));
  };
  const auto call = Call(port_);
  ASSERT_TRUE(Await([&] { return call->body == "hello"; }));
  relay_->StartDraining();
  last_->Write("world");
  EXPECT_EQ(AwaitEnd(call), call_end::kComplete);
  EXPECT_TRUE(Await([&] { return relay_->tunnel_count() == 0; }));
}

// An endpoint that a cut-off host could not reach was taken for a crashed one.
TEST_F(relayed_connection_test, ProbesAskTheRelay) {
  std::optional<probe_result> result;
  const auto probe = [&](const endpoint_address& to) {
    result.reset();
    pool_.Probe(to, [&](probe_result found) { result = found; });
    EXPECT_TRUE(Await([&] { return result.has_value(); }));
    return result.value_or(probe_result::kUnknown);
  };
  const endpoint_address to{"127.0.0.1", port_};
  EXPECT_EQ(probe(to), probe_result::kAccepted);
  EXPECT_GE(relay_->totals().opened, 1u);
  endpoint_.Close();
  EXPECT_EQ(probe(to), probe_result::kRefused);
  pool_.paths().RecordConnected(clock_.Now());
  EXPECT_EQ(probe(to), probe_result::kRefused);
  EXPECT_EQ(relay_->totals().refused, 2u);
  relay_.reset();
  EXPECT_EQ(probe(to), probe_result::kUnknown);
}

}  // namespace

}  // namespace shallotport
