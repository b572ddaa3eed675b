#include "serving/batch_lane.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace shallotport {
namespace {

// Remembers calls and lets the test give their answers.
class scripted_caller final : public endpoint_caller {
 public:
  result<call_number> Start(endpoint_call call,
                            std::shared_ptr<endpoint_call_sink> sink) override {
    if (is_full) {
      return MakeError(error_kind::kNoCapacity, "full");
    }
    calls.push_back(std::move(call));
    sinks.push_back(std::move(sink));
    return call_number{calls.size()};
  }
  void Cancel(call_number call) override { cancelled.push_back(call); }
  void Stop() override {}
  void WriteState(nlohmann::json&) const override {}

  bool is_full = false;
  std::vector<endpoint_call> calls;
  std::vector<std::shared_ptr<endpoint_call_sink>> sinks;
  std::vector<call_number> cancelled;
};

start_batch_call Call(const std::string& path, const std::string& body) {
  leased_job job;
  job.id = job_id("job-1-1");
  job.account = account_id("north");
  job.service = service_id("assistant");
  job.path = path;
  start_batch_call call;
  call.call = 7;
  call.address = "127.0.0.1:1";
  call.item = {1, 3};
  call.job = std::make_shared<const leased_job>(job);
  call.body = body;
  return call;
}

const std::string kAttempt = "batch.a.1.7";
const std::string kStream = "text/event-stream";

std::string Token(const std::string& id, const std::string& text) {
  return "data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"" + text +
         "\"}]}\n\n";
}

struct lane_case {
  const char* name;
  int status;  // 0: no head.
  std::string type;
  std::string not_run;
  std::string bytes;
  endpoint_call_end end;
  bool is_cancelled;
  call_outcome outcome;
  uint64_t partial_tokens;
  bool has_stated_end = true;
};

class batch_lane_test : public testing::TestWithParam<lane_case> {};

TEST_P(batch_lane_test, JudgesTheEnd) {
  const lane_case& given = GetParam();
  const system_clock_source clock;
  scripted_caller caller;
  batch_lane lane({host_id("a"), 1}, clock, caller);
  std::optional<batch_call_end> ended;
  lane.Start(Call("/v1/completions", "{}"), [&](batch_call_end end) {
    EXPECT_FALSE(ended) << "two ends";
    ended = std::move(end);
  });
  if (given.status != 0) {
    std::vector<http_field> headers = {{"Content-Type", given.type}};
    if (given.has_stated_end) {
      headers.push_back({"Content-Length", std::to_string(given.bytes.size())});
    }
    if (!given.not_run.empty()) {
      headers.push_back({"X-Not-Run", given.not_run});
    }
    caller.sinks[0]->OnHead(given.status, headers);
  }
  if (!given.bytes.empty()) {
    caller.sinks[0]->OnBytes(given.bytes);
  }
  if (given.is_cancelled) {
    lane.Cancel(7);
    EXPECT_EQ(caller.cancelled.size(), 1U);
    EXPECT_EQ(caller.calls.back().path, "/control/cancel");
  }
  caller.sinks[0]->OnEnd(given.end);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->outcome, given.outcome);
  EXPECT_EQ(ended->partial.tokens, given.partial_tokens);
}

const endpoint_call_end kWhole{true, true, ""};
const endpoint_call_end kBroken{false, true, "reset"};
const endpoint_call_end kUnsent{false, false, "refused"};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    batch_lane_test,
    testing::Values(
        lane_case{"Whole", 200, "application/json", "", "{}", kWhole, false,
                  call_outcome::kDone, 0},
        lane_case{"WholeThoughCancelled", 200, "application/json", "", "{}",
                  kWhole, true, call_outcome::kDone, 0},
        // An endpoint that crashes closes its connections, too.
        lane_case{"WithoutStatedEnd", 200, "application/json", "", "{}", kWhole,
                  false, call_outcome::kFailed, 0, false},
        lane_case{"CutOff", 200, "application/json", "", "{", kBroken, false,
                  call_outcome::kEndpointDied, 0},
        lane_case{"NoHead", 0, "", "", "", kBroken, false,
                  call_outcome::kEndpointDied, 0},
        lane_case{"NotConnected", 0, "", "", "", kUnsent, false,
                  call_outcome::kNotRun, 0},
        lane_case{"Refused", 503, "text/plain", "1", "", kWhole, false,
                  call_outcome::kNotRun, 0},
        lane_case{"Rejected", 400, "text/plain", "", "bad", kWhole, false,
                  call_outcome::kRejected, 0},
        lane_case{"ServerError", 500, "text/plain", "", "oops", kWhole, false,
                  call_outcome::kFailed, 0},
        // Its tokens went into the text that is resumed.
        lane_case{"ServerErrorAsStream", 500, kStream, "", Token(kAttempt, "x"),
                  kWhole, false, call_outcome::kFailed, 0},
        lane_case{"Stream", 200, kStream, "",
                  Token(kAttempt, "x") + "data: [DONE]\n\n", kWhole, false,
                  call_outcome::kDone, 1},
        lane_case{"StreamWithoutEnd", 200, kStream, "", Token(kAttempt, "x"),
                  kWhole, false, call_outcome::kEndpointDied, 1},
        lane_case{"ForeignStream", 200, kStream, "",
                  Token("batch.a.1.8", "x") + "data: [DONE]\n\n", kWhole, false,
                  call_outcome::kFailed, 0},
        lane_case{"CancelledStream", 200, kStream, "",
                  Token(kAttempt, "x") + Token(kAttempt, "y"), kBroken, true,
                  call_outcome::kCancelled, 2}),
    [](const auto& each) { return each.param.name; });

TEST(BatchLane, ResumedStreamEndsAsOneWholeAnswer) {
  const system_clock_source clock;
  scripted_caller caller;
  batch_lane lane({host_id("a"), 1}, clock, caller);
  start_batch_call call = Call("/v1/chat/completions", "{\"messages\":[]}");
  call.resume = {"one ", 2};
  call.can_resume = true;
  std::optional<batch_call_end> ended;
  lane.Start(call, [&](batch_call_end end) { ended = std::move(end); });
  EXPECT_EQ(FindField(caller.calls[0].headers, "X-Resume-From"), "2");
  const auto sent = nlohmann::json::parse(caller.calls[0].body);
  EXPECT_EQ(sent["stream"], true);
  caller.sinks[0]->OnHead(200, {{"Content-Type", kStream}});
  caller.sinks[0]->OnBytes(Token(kAttempt, "two") + "data: [DONE]\n\n");
  caller.sinks[0]->OnEnd(kWhole);
  ASSERT_TRUE(ended);
  const auto answer = nlohmann::json::parse(ended->body);
  EXPECT_EQ(answer["choices"][0]["message"]["content"], "one two");
  EXPECT_EQ(answer["usage"]["completion_tokens"], 3);
}

TEST(BatchLane, RefusesWhatCannotBeSent) {
  const system_clock_source clock;
  scripted_caller caller;
  batch_lane lane({host_id("a"), 1}, clock, caller);
  std::vector<call_outcome> outcomes;
  const auto remember = [&](const batch_call_end& end) {
    outcomes.push_back(end.outcome);
  };
  lane.Start(Call("/v1/completions", "no object"), remember);
  caller.is_full = true;
  lane.Start(Call("/v1/completions", "{}"), remember);
  EXPECT_EQ(outcomes, (std::vector<call_outcome>{call_outcome::kRejected,
                                                 call_outcome::kNotRun}));
}

TEST(BatchLane, OnlyCallsThatMayNotBeRepeatedCarryAKey) {
  const system_clock_source clock;
  scripted_caller caller;
  batch_lane lane({host_id("a"), 1}, clock, caller);
  start_batch_call call = Call("/v1/services/unlock/issue", "{}");
  lane.Start(call, [](const batch_call_end&) {});
  leased_job job = *call.job;
  job.is_idempotent = false;
  call.job = std::make_shared<const leased_job>(job);
  lane.Start(call, [](const batch_call_end&) {});
  EXPECT_FALSE(FindField(caller.calls[0].headers, "Idempotency-Key"));
  EXPECT_TRUE(FindField(caller.calls[1].headers, "Idempotency-Key"));
}

}  // namespace
}  // namespace shallotport
