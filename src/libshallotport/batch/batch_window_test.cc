#include "batch/batch_window.h"

#include <gtest/gtest.h>

#include "batch/item_queue.h"
#include "batch/window_ownership.h"
#include "batch/yield_notifier.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr steady_time kStart = steady_time(seconds(100));

load_report Slots(uint32_t slots, uint32_t running = 0) {
  load_report report;
  report.slots = slots;
  report.running = running;
  return report;
}

batch_window WindowOf(const std::string& strategy, uint32_t slots) {
  batch_window window = ValueOf(batch_window::Create({strategy, 2, 50}));
  window.OnReport(kStart, Slots(slots));
  return window;
}

// Advances time without online requests until the limit is fully open.
steady_time OpenFully(batch_window& window) {
  steady_time now = kStart;
  for (; now < kStart + seconds(2); now += milliseconds(50)) {
    window.StartLimit(now);
  }
  return now;
}

struct limit_case {
  const char* name;
  const char* strategy;
  uint32_t slots;
  uint32_t online;  // Arrived after the window had opened.
  uint32_t start;
  uint32_t keep;
};

class window_limit_test : public testing::TestWithParam<limit_case> {};

TEST_P(window_limit_test, FollowsTheOnlineDemand) {
  batch_window window = WindowOf(GetParam().strategy, GetParam().slots);
  steady_time now = OpenFully(window);
  if (GetParam().online > 0) {
    window.OnOnline(now, host_id("b"), 1, {1, GetParam().online});
    now += milliseconds(300);
  }
  EXPECT_EQ(window.StartLimit(now), GetParam().start);
  EXPECT_EQ(window.KeepLimit(now), GetParam().keep);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    window_limit_test,
    testing::Values(limit_case{"GuardedIdle", "guarded", 16, 0, 14, 14},
                    limit_case{"GuardedBusy", "guarded", 16, 5, 9, 9},
                    limit_case{"GuardedFull", "guarded", 16, 20, 0, 0},
                    limit_case{"Greedy", "greedy", 16, 5, 16, 16},
                    limit_case{"FixedShare", "fixed_share", 16, 5, 8, 8}),
    [](const auto& each) { return each.param.name; });

// Guards against a reserve that takes all slots of a small endpoint, so that
// accepted items never begin there. The reserve is two slots.
INSTANTIATE_TEST_SUITE_P(
    SmallEndpoints,
    window_limit_test,
    testing::Values(limit_case{"OneSlot", "guarded", 1, 0, 1, 1},
                    limit_case{"OneSlotTaken", "guarded", 1, 1, 0, 0},
                    limit_case{"TwoSlots", "guarded", 2, 0, 1, 1},
                    limit_case{"TwoSlotsOneTaken", "guarded", 2, 1, 0, 0},
                    limit_case{"ThreeSlots", "guarded", 3, 0, 1, 1}),
    [](const auto& each) { return each.param.name; });

TEST(BatchWindow, RejectsAnUnknownStrategy) {
  EXPECT_FALSE(IsOk(batch_window::Create({"eager", 1, 50})));
}

TEST(BatchWindow, OpensWithinASecondWhenIdle) {
  batch_window window = WindowOf("guarded", 16);
  EXPECT_LE(window.StartLimit(kStart), 2U);
  steady_time now = kStart;
  while (window.StartLimit(now) < 14 && now < kStart + seconds(5)) {
    now += milliseconds(10);
  }
  EXPECT_LE(now - kStart, seconds(1));
}

TEST(BatchWindow, ReservesSlotsForARecentPeakThatDecays) {
  batch_window window = WindowOf("guarded", 16);
  steady_time now = OpenFully(window);
  window.OnOnline(now, host_id("b"), 1, {1, 10});
  window.OnOnline(now + milliseconds(300), host_id("b"), 1, {2, 0});
  now += milliseconds(400);
  EXPECT_LE(window.StartLimit(now), 7U);
  EXPECT_EQ(window.KeepLimit(now), 14U);
  for (const steady_time end = now + seconds(6); now < end;
       now += milliseconds(100)) {
    window.StartLimit(now);
  }
  EXPECT_GE(window.StartLimit(now), 13U);
}

// In a burst the limits fall below the reserve at once; they recover
// afterwards.
TEST(BatchWindow, LimitsFallBelowTheReserveInABurst) {
  batch_window window = WindowOf("guarded", 16);
  const steady_time now = OpenFully(window);
  window.SetOutstanding(now, 12);
  window.OnOnline(now, host_id("b"), 1, {1, 4});
  EXPECT_LT(window.KeepLimit(now), 2U);
  EXPECT_EQ(window.StartLimit(now + milliseconds(200)), 0U);
  window.SetOutstanding(now, 1);
  EXPECT_EQ(window.StartLimit(now + milliseconds(300)), 10U);
}

TEST(BatchWindow, ArrivalThatUsesTheReserveOnlyDelaysStarts) {
  batch_window window = WindowOf("guarded", 16);
  const steady_time now = OpenFully(window);
  window.SetOutstanding(now, 14);
  window.OnOnline(now, host_id("b"), 1, {1, 1});
  EXPECT_EQ(window.KeepLimit(now), 13U);
  window.SetOutstanding(now, 8);
  EXPECT_EQ(window.StartLimit(now), 8U);
  EXPECT_EQ(window.StartLimit(now + milliseconds(101)), 13U);
}

struct count_case {
  const char* name;
  incarnation started;
  online_count count;
  duration later;
  uint32_t demand;
};

class online_count_test : public testing::TestWithParam<count_case> {};

// Each case follows a count of 4 with sequence 10 of incarnation 2.
TEST_P(online_count_test, LatestCountAppliesUntilItExpires) {
  batch_window window = WindowOf("guarded", 16);
  window.OnOnline(kStart, host_id("b"), 2, {10, 4});
  window.OnOnline(kStart, host_id("b"), GetParam().started, GetParam().count);
  EXPECT_EQ(window.OnlineDemand(kStart + GetParam().later), GetParam().demand);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    online_count_test,
    testing::Values(
        count_case{"Newer", 2, {11, 7}, seconds(0), 7},
        count_case{"Older", 2, {9, 7}, seconds(0), 4},
        count_case{"OldIncarnation", 1, {99, 7}, seconds(0), 4},
        count_case{"Restarted", 3, {1, 1}, seconds(0), 1},
        count_case{"StillYoung", 2, {11, 7}, milliseconds(1'900), 7},
        count_case{"Aged", 2, {11, 7}, seconds(2), 0}),
    [](const auto& each) { return each.param.name; });

// Guards against batch work that takes slots from online requests for which no
// yield notice arrived.
TEST(BatchWindow, UnattributedWorkCountsAsOnline) {
  batch_window window = WindowOf("guarded", 16);
  const steady_time now = OpenFully(window);
  window.SetOutstanding(now, 6);
  window.OnReport(now, Slots(16, 9));
  EXPECT_EQ(window.OnlineDemand(now), 3U);
  // A report that still includes ended own streams is not online demand.
  window.SetOutstanding(now, 1);
  window.OnReport(now + milliseconds(500), Slots(16, 6));
  EXPECT_EQ(window.OnlineDemand(now + milliseconds(500)), 0U);
}

TEST(BatchWindow, LimitFallsWhileOnlineIsLateAndRecovers) {
  batch_window window = WindowOf("guarded", 16);
  steady_time now = OpenFully(window);
  const auto run = [&](duration span, duration first_byte) {
    for (const steady_time end = now + span; now < end;
         now += milliseconds(10)) {
      window.OnOnline(
          now, host_id("b"), 1,
          {static_cast<uint64_t>(now.time_since_epoch().count()), 1});
      window.OnOnlineLatency(now, first_byte);
      window.StartLimit(now);
    }
  };
  run(seconds(2), milliseconds(50));
  EXPECT_EQ(window.StartLimit(now), 13U);
  run(milliseconds(600), milliseconds(200));
  EXPECT_LE(window.StartLimit(now), 4U);
  run(seconds(3), milliseconds(50));
  EXPECT_EQ(window.StartLimit(now), 13U);
}

// ---- Ownership ----

std::vector<host_id> Hosts(const std::string& letters) {
  std::vector<host_id> hosts;
  for (const char letter : letters) {
    hosts.emplace_back(std::string(1, letter));
  }
  return hosts;
}

std::vector<endpoint_id> Endpoints(uint32_t count) {
  std::vector<endpoint_id> endpoints;
  for (uint32_t i = 0; i < count; ++i) {
    endpoints.emplace_back("e" + std::to_string(i));
  }
  return endpoints;
}

uint32_t OwnersOf(const std::vector<window_ownership>& all,
                  steady_time now,
                  const endpoint_id& endpoint) {
  uint32_t owners = 0;
  for (const window_ownership& each : all) {
    owners += each.MaySend(now, endpoint) ? 1 : 0;
  }
  return owners;
}

TEST(WindowOwnership, AtMostOneOwnerPerEndpointAndAGapAfterAHostDies) {
  const auto endpoints = Endpoints(56);
  std::vector<window_ownership> all;
  for (const host_id& host : Hosts("abc")) {
    all.emplace_back(host, ownership_settings{});
    all.back().SetEndpoints(kStart, endpoints);
    all.back().SetHosts(kStart, Hosts("abc"));
  }
  const steady_time settled = kStart + seconds(3);
  for (const endpoint_id& endpoint : endpoints) {
    EXPECT_EQ(OwnersOf(all, kStart, endpoint), 0U);
    EXPECT_EQ(OwnersOf(all, settled, endpoint), 1U);
  }
  // Host c dies; a and b detect it at different times.
  all.pop_back();
  all[0].SetHosts(settled, Hosts("ab"));
  all[1].SetHosts(settled + seconds(1), Hosts("ab"));
  uint32_t unowned = 0;
  for (const endpoint_id& endpoint : endpoints) {
    unowned += OwnersOf(all, settled + seconds(2), endpoint) == 0 ? 1 : 0;
    EXPECT_LE(OwnersOf(all, settled + seconds(2), endpoint), 1U);
    EXPECT_EQ(OwnersOf(all, settled + seconds(4), endpoint), 1U);
  }
  EXPECT_GT(unowned, 5U);
  EXPECT_LT(unowned, 35U);
}

// Guards against two hosts that fill the same window during a change of owner.
TEST(WindowOwnership, FormerOwnerStopsAtOnceAndNewOwnerWaits) {
  const auto endpoints = Endpoints(20);
  window_ownership old_owner(host_id("a"), {});
  window_ownership new_owner(host_id("b"), {});
  old_owner.SetEndpoints(kStart, endpoints);
  old_owner.SetHosts(kStart, Hosts("a"));
  steady_time now = kStart + seconds(10);
  old_owner.SetHosts(now, Hosts("ab"));
  new_owner.SetEndpoints(now, endpoints);
  new_owner.SetHosts(now, Hosts("ab"));
  for (const endpoint_id& endpoint : endpoints) {
    EXPECT_FALSE(new_owner.MaySend(now + milliseconds(2'999), endpoint));
    EXPECT_NE(old_owner.MaySend(now, endpoint),
              new_owner.MaySend(now + seconds(3), endpoint));
  }
}

// ---- Yield notices ----

// Guards against owners that miss online requests because a datagram was lost.
TEST(YieldNotifier, NotifiesOwnersAtOnceRepeatsAndEnds) {
  window_ownership ownership(host_id("a"), {});
  ownership.SetEndpoints(kStart, Endpoints(1));
  ownership.SetHosts(kStart, Hosts("abc"));
  yield_notifier notifier(host_id("a"));
  const endpoint_id endpoint("e0");
  notifier.SetInFlight(kStart, endpoint, 1);
  const auto first = notifier.TakeDueNotices(kStart, ownership);
  ASSERT_GE(first.size(), 1U);
  EXPECT_EQ(first[0].notice.endpoints.at(0).count.in_flight, 1U);
  const auto decoded = DecodeYieldNotice(EncodeYieldNotice(first[0].notice));
  EXPECT_EQ(ValueOf(decoded).endpoints.at(0).endpoint, endpoint);
  EXPECT_TRUE(
      notifier.TakeDueNotices(kStart + milliseconds(1), ownership).empty());
  EXPECT_FALSE(notifier.TakeDueNotices(kStart + seconds(1), ownership).empty());
  notifier.SetInFlight(kStart + seconds(1), endpoint, 0);
  uint32_t rounds = 0;
  steady_time now = kStart + seconds(1);
  uint64_t sequence = 0;
  for (; notifier.NextSendAt() && rounds < 100; ++rounds) {
    now = *notifier.NextSendAt();
    const auto notices = notifier.TakeDueNotices(now, ownership);
    EXPECT_EQ(notices.at(0).notice.endpoints.at(0).count.in_flight, 0U);
    EXPECT_GE(notices[0].notice.endpoints[0].count.sequence, sequence);
    sequence = notices[0].notice.endpoints[0].count.sequence;
  }
  EXPECT_EQ(rounds, 3U);
}

// ---- Prefix locality ----

TEST(ItemQueue, KeepsToAPrefixButServesTheOldestNowAndThen) {
  item_queue queue;
  for (uint32_t i = 0; i < 30; ++i) {
    queue.PushBack({1, i}, i % 3 == 0 ? 7 : 9);
  }
  uint32_t shared = 0;
  for (int i = 0; i < 10; ++i) {
    shared += queue.Pop(7)->index % 3 == 0 ? 1 : 0;
  }
  EXPECT_GE(shared, 8U);
  EXPECT_EQ(queue.size(), 20U);
  queue.PushSuspect({2, 0});
  EXPECT_EQ(queue.PopSuspect(), (item_ref{2, 0}));
  queue.Remove({1, 2}, 9);
  EXPECT_EQ(queue.size(), 19U);
}

TEST(ItemQueue, PrefixIncludesTheAccount) {
  const std::string body(2'000, 'x');
  EXPECT_NE(PrefixHashOf(account_id("a"), body),
            PrefixHashOf(account_id("b"), body));
  EXPECT_EQ(PrefixHashOf(account_id("a"), body),
            PrefixHashOf(account_id("a"), body + "tail"));
}

}  // namespace
}  // namespace shallotport
