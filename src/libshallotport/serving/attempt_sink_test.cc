#include "serving/attempt_sink.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

const endpoint_call_end kWhole{true, true, ""};
const endpoint_call_end kCutOff{false, true, "closed"};
const endpoint_call_end kRefusedConnection{false, false, "refused"};

struct sink_case {
  const char* name;
  int status;  // 0: no head came.
  std::vector<http_field> headers;
  std::string body;
  endpoint_call_end end;
  attempt_end_kind expected_end;
  std::string expected_body;
};

class attempt_sink_test : public ::testing::TestWithParam<sink_case> {};

TEST_P(attempt_sink_test, JudgesTheEnd) {
  const sink_case& given = GetParam();
  auto mailbox = std::make_shared<event_mailbox>();
  attempt_sink sink({1, attempt_id("r.1"), request_id("req"), true}, mailbox);
  if (given.status != 0) {
    sink.OnHead(given.status, given.headers);
  }
  if (!given.body.empty()) {
    sink.OnBytes(given.body);
  }
  sink.OnEnd(given.end);
  std::string body;
  std::optional<attempt_end_kind> end;
  while (auto event = mailbox->PopUntil(steady_time{})) {
    if (const auto* piece = std::get_if<attempt_chunk>(&*event)) {
      body += piece->bytes;
    } else if (const auto* ended = std::get_if<attempt_ended>(&*event)) {
      EXPECT_FALSE(end) << "two ends";
      end = ended->end;
    }
  }
  ASSERT_TRUE(end);
  EXPECT_EQ(*end, given.expected_end);
  EXPECT_EQ(body, given.expected_body);
}

const std::vector<http_field> kLengthStated = {{"Content-Length", "1"},
                                               {"X-Request-Id", "r.1"}};
const std::vector<http_field> kEventStream = {
    {"Content-Type", "text/event-stream"},
    {"Transfer-Encoding", "chunked"},
    {"X-Request-Id", "r.1"}};
const std::string kToken =
    "data: {\"id\":\"r.1\",\"choices\":[{\"text\":\"t\"}]}\n\n";

INSTANTIATE_TEST_SUITE_P(
    Cases,
    attempt_sink_test,
    ::testing::Values(
        sink_case{"WholeBodyGetsTheCallersId", 200, kLengthStated,
                  R"({"id":"r.1"})", kWhole, attempt_end_kind::kComplete,
                  R"({"id":"req"})"},
        sink_case{"BodyOfAnotherAttempt", 200, kLengthStated, R"({"id":"r.2"})",
                  kWhole, attempt_end_kind::kTruncated, ""},
        sink_case{"CutOffBody", 200, kLengthStated, R"({"id":)", kCutOff,
                  attempt_end_kind::kTruncated, ""},
        sink_case{"BodyWithoutStatedEnd",
                  200,
                  {{"X-Request-Id", "r.1"}},
                  R"({"id":"r.1"})",
                  kWhole,
                  attempt_end_kind::kTruncated,
                  ""},
        sink_case{"StreamWithEndMarker", 200, kEventStream,
                  kToken + "data: [DONE]\n\n", kWhole,
                  attempt_end_kind::kComplete, "t"},
        sink_case{"StreamWithoutEndMarker", 200, kEventStream, kToken, kWhole,
                  attempt_end_kind::kTruncated, "t"},
        sink_case{"RefusedConnection",
                  0,
                  {},
                  "",
                  kRefusedConnection,
                  attempt_end_kind::kNotSent,
                  ""},
        sink_case{"ClosedBeforeAnyByte",
                  0,
                  {},
                  "",
                  kCutOff,
                  attempt_end_kind::kBroken,
                  ""},
        sink_case{"RefusalThatPromisesNotRun",
                  503,
                  {{"X-Not-Run", "1"}, {"Content-Length", "2"}},
                  "{}",
                  kWhole,
                  attempt_end_kind::kRefusedNotExecuted,
                  ""},
        sink_case{"ErrorWithoutThePromise", 503, kLengthStated, "{}", kWhole,
                  attempt_end_kind::kComplete, "{}"},
        sink_case{"PromiseOnASuccessCountsNothing",
                  200,
                  {{"X-Not-Run", "1"},
                   {"Content-Length", "12"},
                   {"X-Request-Id", "r.1"}},
                  R"({"id":"r.1"})",
                  kWhole,
                  attempt_end_kind::kComplete,
                  R"({"id":"req"})"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace shallotport
