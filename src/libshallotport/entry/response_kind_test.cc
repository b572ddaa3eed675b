#include "entry/response_kind.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "entry/wire_profile.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

struct head_case {
  std::string name;
  response_facts facts;
  response_kind first;    // Of an answer that begins.
  response_kind joining;  // Of one that goes on with a stream.
};

void PrintTo(const head_case& each, std::ostream* out) {
  *out << each.name;
}

class response_heads : public testing::TestWithParam<head_case> {};

TEST_P(response_heads, TellWhatMayBeSentOn) {
  EXPECT_EQ(ClassifyResponse(GetParam().facts, false), GetParam().first);
  EXPECT_EQ(ClassifyResponse(GetParam().facts, true), GetParam().joining);
}

constexpr response_kind kStream = response_kind::kStream;
constexpr response_kind kWhole = response_kind::kWhole;
constexpr response_kind kFailure = response_kind::kFailure;
constexpr response_kind kNotExecuted = response_kind::kNotExecuted;
constexpr response_kind kUnusable = response_kind::kUnusable;

// Status, event stream, proof, mark of not executed.
INSTANTIATE_TEST_SUITE_P(
    table,
    response_heads,
    testing::Values(
        head_case{"stream", {200, true, true, false}, kStream, kStream},
        head_case{"other_kind", {200, false, true, false}, kWhole, kUnusable},
        head_case{"other_success", {206, true, true, false}, kWhole, kUnusable},
        head_case{"no_content", {204, false, true, false}, kWhole, kUnusable},
        head_case{"stream_without_proof",
                  {200, true, false, false},
                  kUnusable,
                  kUnusable},
        head_case{"other_kind_without_proof",
                  {200, false, false, false},
                  kUnusable,
                  kUnusable},
        head_case{"success_not_executed",
                  {200, true, true, true},
                  kUnusable,
                  kUnusable},
        head_case{"refusal",
                  {503, false, false, true},
                  kNotExecuted,
                  kNotExecuted},
        head_case{"refusal_as_stream",
                  {503, true, true, true},
                  kNotExecuted,
                  kNotExecuted},
        head_case{"other_endpoint",
                  {421, false, true, false},
                  kNotExecuted,
                  kNotExecuted},
        head_case{"error", {500, false, true, false}, kFailure, kFailure},
        head_case{"error_as_stream",
                  {503, true, true, false},
                  kFailure,
                  kFailure},
        head_case{"redirect", {307, false, true, false}, kFailure, kFailure}),
    [](const auto& info) { return info.param.name; });

TEST(response_kind_test, MediaTypeIsReadWithoutCaseAndParameters) {
  wire_profile wire;
  wire.endpoint_proof = "X-Proof";
  wire.not_executed = "X-Not-Run";
  const auto is_stream = [&](const std::string& type) {
    response_head head;
    head.headers.Add("Content-Type", type);
    return FactsOf(head, wire).is_event_stream;
  };
  EXPECT_TRUE(is_stream("text/event-stream"));
  EXPECT_TRUE(is_stream("Text/Event-Stream ; charset=utf-8"));
  EXPECT_FALSE(is_stream("text/event-streams"));
  EXPECT_FALSE(is_stream(""));
}

}  // namespace

}  // namespace shallotport
