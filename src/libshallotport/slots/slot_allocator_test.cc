#include "slots/slot_allocator.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 4;
const service_id kService("llm");
const steady_time kStart{milliseconds(1'000'000)};

endpoint_report MakeReport(const std::string& name,
                           const std::string& domain = "a",
                           endpoint_stage stage = endpoint_stage::kReady) {
  endpoint_report report;
  report.endpoint = endpoint_id(name);
  report.service = kService;
  report.domain = domain_id(domain);
  report.slots = kSlots;
  report.stage = stage;
  report.start_time_ms = 1;
  return report;
}

slot_request MakeRequest(uint32_t max_wait_ms = 150) {
  slot_request request;
  request.service = kService;
  request.domain = domain_id("a");
  request.max_wait_ms = max_wait_ms;
  request.max_retry_after_ms = 1'600;
  return request;
}

uint32_t Key(const std::string& name) {
  return LoadKey(endpoint_id(name));
}

load_report MakeLoad(const std::string& name, uint16_t running) {
  load_report report;
  if (running > 0) {
    report.entries.push_back({Key(name), running});
  }
  return report;
}

// Each case fills two endpoints in the own domain and one in another, and
// states where the next request goes.
struct preference_case {
  const char* name;
  struct load {
    uint32_t online;
    uint32_t batch;
  };
  load near;
  load near_too;
  load far;
  const char* expected;
  bool needs_yield;
};

class preference : public testing::TestWithParam<preference_case> {};

TEST_P(preference, SelectsTheEndpointThatStartsTheRequestFirst) {
  const preference_case& each = GetParam();
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("near"));
  allocator.Update(MakeReport("near_too"));
  allocator.Update(MakeReport("far", "b"));
  const auto fill = [&](const char* name, preference_case::load load) {
    allocator.RecordLoad(kStart, std::string("host of ") + name,
                         MakeLoad(name, static_cast<uint16_t>(load.online)));
    allocator.SetBatchLoad(Key(name), load.batch);
  };
  fill("near", each.near);
  fill("near_too", each.near_too);
  fill("far", each.far);
  const slot_decision decision =
      allocator.Allocate(kStart, "host", MakeRequest(2'000));
  EXPECT_EQ(decision.reply.kind, slot_reply_kind::kGranted);
  EXPECT_EQ(decision.reply.endpoint, endpoint_id(each.expected));
  EXPECT_EQ(decision.needs_yield, each.needs_yield);
}

INSTANTIATE_TEST_SUITE_P(
    loads,
    preference,
    testing::Values(preference_case{"least_loaded_at_home",
                                    {3, 0},
                                    {1, 0},
                                    {0, 0},
                                    "near_too",
                                    false},
                    preference_case{"free_at_home_before_batch_at_home",
                                    {3, 0},
                                    {0, 4},
                                    {0, 0},
                                    "near",
                                    false},
                    preference_case{"batch_at_home_before_free_elsewhere",
                                    {4, 0},
                                    {2, 2},
                                    {0, 0},
                                    "near_too",
                                    true},
                    preference_case{"free_elsewhere_before_a_queue_at_home",
                                    {4, 0},
                                    {4, 0},
                                    {3, 0},
                                    "far",
                                    false},
                    preference_case{"batch_elsewhere_before_a_queue_at_home",
                                    {4, 0},
                                    {4, 0},
                                    {3, 1},
                                    "far",
                                    true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(slot_allocator_test, FullEndpointsQueueUpToTheUsefulWaitThenRefuse) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  for (uint32_t i = 0; i < kSlots; ++i) {
    EXPECT_EQ(allocator.Allocate(kStart, "host", MakeRequest(0)).reply.kind,
              slot_reply_kind::kGranted)
        << i;
  }
  const slot_decision refused =
      allocator.Allocate(kStart, "host", MakeRequest(150));
  EXPECT_EQ(refused.reply.kind, slot_reply_kind::kRefused);
  EXPECT_GT(refused.expected_wait, milliseconds(150));
  // A caller that came back may wait for longer.
  const slot_decision queued =
      allocator.Allocate(kStart, "host", MakeRequest(1'000));
  EXPECT_EQ(queued.reply.kind, slot_reply_kind::kGranted);
  EXPECT_EQ(queued.expected_wait, refused.expected_wait);
  // A slot that became free is granted at once.
  const steady_time later = kStart + milliseconds(100);
  allocator.RecordLoad(later, "host", MakeLoad("e", kSlots - 1));
  EXPECT_EQ(allocator.Allocate(later, "host", MakeRequest(0)).reply.kind,
            slot_reply_kind::kGranted);
}

TEST(slot_allocator_test, ExpectedWaitFollowsMeasuredDurations) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  steady_time now = kStart;
  for (int i = 0; i < 40; ++i) {
    allocator.Allocate(now, "host", MakeRequest(0));
    now += milliseconds(200);
    allocator.RecordLoad(now, "host", MakeLoad("e", 0));
  }
  for (uint32_t i = 0; i < kSlots; ++i) {
    allocator.Allocate(now, "host", MakeRequest(0));
  }
  now += milliseconds(50);
  const slot_decision queued =
      allocator.Allocate(now, "host", MakeRequest(1'000));
  EXPECT_NEAR(static_cast<double>(queued.expected_wait.count()), 150'000,
              30'000);
}

TEST(slot_allocator_test, RefusedCallersReturnAtABoundedRate) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  for (uint32_t i = 0; i < kSlots; ++i) {
    allocator.Allocate(kStart, "host", MakeRequest(0));
  }
  std::vector<uint32_t> delays;
  for (int i = 0; i < 20; ++i) {
    const slot_decision refused =
        allocator.Allocate(kStart, "host", MakeRequest(0));
    ASSERT_EQ(refused.reply.kind, slot_reply_kind::kRefused);
    delays.push_back(refused.reply.retry_after_ms);
  }
  // Four slots of half a second each free one every 125 ms; a quarter of them
  // is for callers who return.
  EXPECT_GE(delays.front(), 400u);
  EXPECT_GE(delays[2], delays[0] + 900);
  // No caller is told to return later than it waits.
  EXPECT_EQ(delays.back(), 1'600u);
}

TEST(slot_allocator_test, LoadReportSentBeforeAGrantDoesNotEraseIt) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  allocator.Allocate(kStart, "host", MakeRequest());
  allocator.RecordLoad(kStart + milliseconds(3), "host", MakeLoad("e", 0));
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 1u);
  // A grant that the host did not use is forgotten with a later report.
  allocator.RecordLoad(kStart + milliseconds(300), "host", MakeLoad("e", 0));
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 0u);
}

TEST(slot_allocator_test, ReportedLoadOfOwnSelectionsIsCounted) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  allocator.RecordLoad(kStart, "host", MakeLoad("e", 3));
  allocator.RecordLoad(kStart, "other", MakeLoad("e", 2));
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 5u);
  allocator.RemoveHost("host");
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 2u);
  allocator.RemoveHost("never heard of");
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 2u);
}

TEST(slot_allocator_test, EndpointThatTwoHostsAvoidIsAvoidedForAll) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("broken"));
  allocator.Update(MakeReport("sound", "b"));
  slot_request avoiding = MakeRequest();
  avoiding.avoided_endpoints = {Key("broken")};
  EXPECT_EQ(allocator.Allocate(kStart, "one", avoiding).reply.endpoint,
            endpoint_id("sound"));
  // One host alone may be partitioned from it.
  EXPECT_EQ(allocator.Allocate(kStart, "two", MakeRequest()).reply.endpoint,
            endpoint_id("broken"));
  allocator.Allocate(kStart, "two", avoiding);
  EXPECT_EQ(allocator.Allocate(kStart, "three", MakeRequest()).reply.endpoint,
            endpoint_id("sound"));
  EXPECT_EQ(
      allocator.Allocate(kStart + milliseconds(600), "three", MakeRequest())
          .reply.endpoint,
      endpoint_id("broken"));
}

// It ends its requests at once, so that its slots always seem to be free.
TEST(slot_allocator_test, EndpointThatFailsManyRequestsIsUsedAfterOthers) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("failing"));
  allocator.Update(MakeReport("sound"));
  steady_time now = kStart;
  std::map<endpoint_id, int> granted;
  std::vector<uint32_t> failed;
  for (int i = 0; i < 100; ++i) {
    slot_request request = MakeRequest(0);
    request.failed_endpoints = failed;
    failed.clear();
    const slot_decision decision = allocator.Allocate(now, "host", request);
    ASSERT_EQ(decision.reply.kind, slot_reply_kind::kGranted);
    ++granted[decision.reply.endpoint];
    now += milliseconds(40);
    // The sound one takes 100 ms, which keeps two or three of its slots.
    const bool has_failed = decision.reply.endpoint == endpoint_id("failing");
    if (has_failed) {
      failed.push_back(Key("failing"));
    }
    allocator.RecordLoad(now, "host", MakeLoad("sound", has_failed ? 1 : 2));
  }
  EXPECT_LE(granted[endpoint_id("failing")], 15);
  // All slots of the other are taken.
  allocator.RecordLoad(now, "host", MakeLoad("sound", kSlots));
  EXPECT_EQ(allocator.Allocate(now, "host", MakeRequest(0)).reply.endpoint,
            endpoint_id("failing"));
}

struct unusable_case {
  const char* name;
  void (*make_unusable)(slot_allocator& allocator, slot_request& request);
};

class unusable_endpoint : public testing::TestWithParam<unusable_case> {};

TEST_P(unusable_endpoint, IsNotGranted) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  slot_request request = MakeRequest();
  EXPECT_EQ(allocator.Allocate(kStart, "host", request).reply.kind,
            slot_reply_kind::kGranted);
  GetParam().make_unusable(allocator, request);
  EXPECT_EQ(allocator.Allocate(kStart, "host", request).reply.kind,
            slot_reply_kind::kNoEndpoint);
}

INSTANTIATE_TEST_SUITE_P(
    causes,
    unusable_endpoint,
    testing::Values(unusable_case{"draining",
                                  [](slot_allocator& allocator, slot_request&) {
                                    allocator.Update(MakeReport(
                                        "e", "a", endpoint_stage::kDraining));
                                  }},
                    unusable_case{"left",
                                  [](slot_allocator& allocator, slot_request&) {
                                    allocator.Update(MakeReport(
                                        "e", "a", endpoint_stage::kLeft));
                                  }},
                    unusable_case{
                        "says_leaving",
                        [](slot_allocator& allocator, slot_request&) {
                          load_report report;
                          report.leaving.push_back({endpoint_id("e"), 1});
                          allocator.RecordLoad(kStart, "other", report);
                          allocator.Update(MakeReport("e"));
                        }},
                    unusable_case{"domain_avoided",
                                  [](slot_allocator&, slot_request& request) {
                                    request.avoided_domains = {domain_id("a")};
                                  }},
                    unusable_case{"attempted_before",
                                  [](slot_allocator&, slot_request& request) {
                                    request.avoided_endpoints = {Key("e")};
                                  }},
                    unusable_case{"other_service",
                                  [](slot_allocator&, slot_request& request) {
                                    request.service = service_id("other");
                                  }}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(slot_allocator_test, NewStartOfAnEndpointHasNoLoad) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  allocator.Update(MakeReport("e"));
  allocator.RecordLoad(kStart, "host", MakeLoad("e", 4));
  endpoint_report restarted = MakeReport("e");
  restarted.start_time_ms = 2;
  allocator.Update(restarted);
  EXPECT_EQ(allocator.OnlineLoad(Key("e")), 0u);
}

}  // namespace

}  // namespace shallotport
