#include "eventio/handler_guard.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <new>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/host_link.h"
#include "eventio/http_listener.h"
#include "eventio/link_hub.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr const char* kCallerIp = "127.0.9.3";
constexpr const char* kOtherCallerIp = "127.0.9.4";
constexpr const char* kCalledIp = "127.0.9.5";

struct thrown_case {
  std::string name;
  void (*fail)();
};

std::ostream& operator<<(std::ostream& out, const thrown_case& each) {
  return out << each.name;
}

// An exception that left a handler ended the process, with all connections.
class handler_guard_test : public testing::TestWithParam<thrown_case> {
 protected:
  void Fail() { GetParam().fail(); }
  uint64_t Failures() const { return HandlerFailureCount() - failures_before_; }

  const uint64_t failures_before_ = HandlerFailureCount();
  // Differs between test processes that run concurrently.
  const uint16_t port_ = static_cast<uint16_t>(20'000 + getpid() % 10'000);
  boost::asio::io_context loop_;
  boot_clock_source clock_;
};

TEST_P(handler_guard_test, RequestThatFailsCostsItsConnectionOnly) {
  std::shared_ptr<http_exchange> held;
  http_listener listener(
      loop_, clock_, [&](const inbound_request& request, const auto& exchange) {
        if (request.target == "/hold") {
          held = exchange;
        } else if (request.target == "/fail") {
          Fail();
        } else {
          exchange->Respond(200, {}, "served");
        }
      });
  ASSERT_TRUE(IsOk(listener.Listen("127.0.0.1", port_)));
  const auto waiting = ConnectRaw(loop_, "127.0.0.1", port_);
  waiting->Write("GET /hold HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop_, [&] { return held != nullptr; }));
  // The second one is read from the buffer, after the first's response.
  for (const char* requests :
       {"GET /fail HTTP/1.1\r\n\r\n",
        "GET /1 HTTP/1.1\r\n\r\nGET /fail HTTP/1.1\r\n\r\n"}) {
    const auto failing = ConnectRaw(loop_, "127.0.0.1", port_);
    failing->Write(requests);
    EXPECT_TRUE(RunUntil(loop_, [&] { return failing->is_ended; }));
  }
  EXPECT_EQ(Failures(), 2u);
  EXPECT_EQ(listener.counters().unanswered, 2u);
  EXPECT_EQ(listener.connection_count(), 1u);
  held->Respond(200, {}, "held");
  EXPECT_TRUE(RunUntil(loop_, [&] {
    return waiting->received.find("held") != std::string::npos;
  }));
  const auto later = ConnectRaw(loop_, "127.0.0.1", port_);
  later->Write("GET /1 HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(RunUntil(loop_, [&] {
    return later->received.find("served") != std::string::npos;
  }));
}

TEST_P(handler_guard_test, FailedStepOfAResponseEndsItsCallOnly) {
  scripted_endpoint endpoint(
      loop_, [](raw_connection& connection, const std::string& request) {
        const std::string id = request.substr(6, request.find(' ', 5) - 6);
        connection.Write("HTTP/1.1 200 OK\r\nX-Id: " + id +
                         "\r\nContent-Length: 1\r\n\r\nx");
      });
  endpoint_connection_pool pool(loop_, clock_);
  const auto call = [&](const std::string& id,
                        std::function<void(std::string_view)> on_body,
                        std::optional<call_end>& end) {
    call_events events;
    events.on_body = std::move(on_body);
    events.on_end = [&end](call_end how) { end = how; };
    header_list headers;
    headers.Add("X-Id", id);
    outbound_request request;
    request.method = "POST";
    request.bytes = FormatRequest("POST", "/" + id, headers, "body");
    request.echo_header = "X-Id";
    request.echo_value = id;
    return pool.Start({"127.0.0.1", endpoint.port()}, std::move(request),
                      std::move(events));
  };
  std::optional<call_end> failed;
  std::optional<call_end> served;
  const auto first = call(
      "one", [&](std::string_view) { Fail(); }, failed);
  const auto second = call(
      "two", [](std::string_view) {}, served);
  EXPECT_TRUE(RunUntil(loop_, [&] { return failed && served; }));
  EXPECT_EQ(failed, call_end::kInvalidResponse);
  EXPECT_EQ(served, call_end::kComplete);
  EXPECT_EQ(Failures(), 1u);
}

// Two hosts with links to a third one.
class guarded_links : public handler_guard_test {
 protected:
  void SetUp() override {
    called_.on_call = [this](host_link&, uint8_t method, std::string_view,
                             const std::function<void(std::string)>& reply) {
      if (method == 1) {
        Fail();
      }
      reply("done");
    };
    called_.on_frame = [this](host_link&, uint8_t kind, std::string_view) {
      if (kind == kFailingFrame) {
        Fail();
      }
      ++frames_;
    };
    called_.on_link_down = [this](host_link&) { ++links_down_; };
    ASSERT_TRUE(IsOk(called_.Listen()));
    caller_.SetTargets({kCalledIp});
    other_.SetTargets({kCalledIp});
    ASSERT_TRUE(RunUntil(loop_, [this] {
      return caller_.IsUp(kCalledIp) && other_.IsUp(kCalledIp) &&
             called_.accepted().size() == 2;
    }));
  }

  // The reply; nothing if the call fails.
  std::optional<std::string> Call(link_hub& from, uint8_t method) {
    std::optional<result<std::string>> outcome;
    from.Call(kCalledIp, method, {}, milliseconds(100),
              [&](result<std::string> reply) { outcome = std::move(reply); });
    RunUntil(loop_, [&] {
      from.Tick(clock_.Now());
      return outcome.has_value();
    });
    return outcome && IsOk(*outcome) ? std::optional(ValueOf(*outcome))
                                     : std::nullopt;
  }

  static constexpr uint8_t kFrame =
      static_cast<uint8_t>(link_frame::kFirstDutyFrame);
  static constexpr uint8_t kFailingFrame = kFrame + 1;
  link_hub called_{loop_, clock_, kCalledIp, port_};
  link_hub caller_{loop_, clock_, kCallerIp, port_, kCallerIp};
  link_hub other_{loop_, clock_, kOtherCallerIp, port_, kOtherCallerIp};
  int frames_ = 0;
  int links_down_ = 0;
};

TEST_P(guarded_links, CallThatFailsGetsNoReplyAndOthersDo) {
  EXPECT_EQ(Call(caller_, 1), std::nullopt);
  EXPECT_EQ(Call(caller_, 2), "done");
  EXPECT_EQ(Call(other_, 2), "done");
  EXPECT_EQ(links_down_, 0);
  EXPECT_EQ(Failures(), 1u);
}

TEST_P(guarded_links, FailedStepOfAReplyKeepsTheLink) {
  caller_.Call(kCalledIp, 2, {}, milliseconds(100),
               [this](const result<std::string>&) { Fail(); });
  EXPECT_TRUE(RunUntil(loop_, [this] { return Failures() == 1; }));
  EXPECT_EQ(Call(caller_, 2), "done");
  EXPECT_EQ(links_down_, 0);
}

// The link is replaced: on one that stays up, a dropped update would be
// missing.
TEST_P(guarded_links, FrameThatFailsCostsItsLinkOnly) {
  caller_.Send(kCalledIp, kFailingFrame, {});
  EXPECT_TRUE(RunUntil(loop_, [this] { return links_down_ == 1; }));
  EXPECT_TRUE(other_.IsUp(kCalledIp));
  other_.Send(kCalledIp, kFrame, {});
  EXPECT_TRUE(RunUntil(loop_, [this] { return frames_ == 1; }));
  EXPECT_TRUE(RunUntil(loop_, [this] {
    caller_.Tick(clock_.Now());
    return caller_.IsUp(kCalledIp) && called_.accepted().size() == 2;
  }));
  caller_.Send(kCalledIp, kFrame, {});
  EXPECT_TRUE(RunUntil(loop_, [this] { return frames_ == 2; }));
  EXPECT_EQ(Failures(), 1u);
}

const auto kThrown = testing::Values(
    thrown_case{"out_of_memory", [] { throw std::bad_alloc(); }},
    thrown_case{"out_of_range", [] { throw std::out_of_range("at"); }},
    thrown_case{"no_standard_exception", [] { throw 1; }});
const auto kName = [](const auto& each) { return each.param.name; };

INSTANTIATE_TEST_SUITE_P(table, handler_guard_test, kThrown, kName);
INSTANTIATE_TEST_SUITE_P(table, guarded_links, kThrown, kName);

}  // namespace

}  // namespace shallotport
