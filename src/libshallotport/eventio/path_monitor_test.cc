#include "eventio/path_monitor.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const relay_address kRelayA{"10.0.0.1", 9};
const relay_address kRelayB{"10.0.0.2", 9};
const relay_address kRelayC{"10.0.0.3", 9};

endpoint_address Endpoint(uint16_t number) {
  return {"10.1.0.1", number};
}

// One thing that happens, `after_ms` after the one before. Calls and endpoints
// have the same number.
struct step {
  enum class kind : uint8_t {
    kConnected,
    kConnectFailed,
    kSent,
    kReceived,
    kEnded,
    kTimedOut
  };

  int after_ms = 0;
  kind what = kind::kConnected;
  uint16_t endpoint = 0;
};
using kind = step::kind;

void Perform(path_monitor& monitor,
             steady_time& now,
             const std::vector<step>& steps) {
  for (const step& each : steps) {
    now += milliseconds(each.after_ms);
    switch (each.what) {
      case kind::kConnected:
        monitor.RecordConnected(now);
        break;
      case kind::kConnectFailed:
        monitor.RecordConnectFailed(now, Endpoint(each.endpoint));
        break;
      case kind::kSent:
        monitor.RecordSent(now, each.endpoint, Endpoint(each.endpoint));
        break;
      case kind::kReceived:
        monitor.RecordReceived(now);
        break;
      case kind::kEnded:
        monitor.RecordEnded(each.endpoint);
        break;
      case kind::kTimedOut:
        monitor.RecordTimedOut(now, Endpoint(each.endpoint));
        break;
    }
  }
}

struct state_case {
  std::string name;
  std::vector<step> steps;
  bool is_cut_off = false;
  bool may_reuse_direct = true;
};

class path_state : public testing::TestWithParam<state_case> {};

TEST_P(path_state, TellsHostsThatAreCutOffFromEndpointsThatAreDown) {
  path_monitor monitor;
  monitor.SetRelays({kRelayA});
  steady_time now{std::chrono::seconds(100)};
  Perform(monitor, now, {{0, kind::kConnected, 9}});
  Perform(monitor, now, GetParam().steps);
  EXPECT_EQ(monitor.IsCutOff(), GetParam().is_cut_off);
  EXPECT_EQ(monitor.MayReuse(now, false), GetParam().may_reuse_direct);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    path_state,
    testing::Values(
        state_case{"calm", {}},
        state_case{"all_refuse",
                   {{20, kind::kConnectFailed, 1},
                    {20, kind::kConnectFailed, 2},
                    {20, kind::kConnectFailed, 3}},
                   true},
        // Connections that were there before live on.
        state_case{"all_refuse_while_streams_go_on",
                   {{20, kind::kConnectFailed, 1},
                    {20, kind::kReceived, 9},
                    {20, kind::kConnectFailed, 2},
                    {20, kind::kReceived, 9},
                    {20, kind::kConnectFailed, 3}},
                   true},
        state_case{"all_hang",
                   {{0, kind::kSent, 1},
                    {100, kind::kSent, 2},
                    {600, kind::kConnectFailed, 3}},
                   true,
                   false},
        state_case{
            "established_connections_hang",
            {{0, kind::kSent, 1}, {100, kind::kSent, 2}, {600, kind::kSent, 3}},
            false,
            false},
        state_case{"still_silent_after_the_callers_left",
                   {{0, kind::kSent, 1},
                    {100, kind::kSent, 2},
                    {600, kind::kConnectFailed, 3},
                    {100, kind::kEnded, 1},
                    {0, kind::kEnded, 2}},
                   true,
                   false},
        state_case{"kept_connections_time_out",
                   {{2'500, kind::kTimedOut, 1},
                    {20, kind::kTimedOut, 2},
                    {20, kind::kTimedOut, 3}},
                   true},
        state_case{"hosts_of_some_endpoints_are_down",
                   {{2'500, kind::kTimedOut, 1},
                    {20, kind::kReceived, 9},
                    {20, kind::kTimedOut, 2},
                    {20, kind::kTimedOut, 3},
                    {20, kind::kTimedOut, 4}}},
        state_case{"some_endpoints_crash",
                   {{20, kind::kConnectFailed, 1},
                    {20, kind::kConnectFailed, 2},
                    {20, kind::kConnected, 4},
                    {20, kind::kConnectFailed, 3}}},
        state_case{"one_endpoint_refuses_again_and_again",
                   {{20, kind::kConnectFailed, 1},
                    {300, kind::kConnectFailed, 1},
                    {600, kind::kConnectFailed, 1}}},
        state_case{"endpoints_refuse_now_and_then",
                   {{0, kind::kConnectFailed, 1},
                    {6'000, kind::kConnectFailed, 2},
                    {6'000, kind::kConnectFailed, 3}}},
        // Sound endpoints are silent for a second or so.
        state_case{"one_is_silent_and_one_cannot_be_reached",
                   {{0, kind::kSent, 1}, {600, kind::kConnectFailed, 2}},
                   true,
                   false},
        state_case{"one_endpoint_is_silent",
                   {{0, kind::kSent, 1}, {1'200, kind::kSent, 2}}},
        state_case{"two_endpoints_are_silent_and_others_send",
                   {{0, kind::kSent, 1},
                    {0, kind::kSent, 2},
                    {900, kind::kReceived, 9},
                    {100, kind::kConnectFailed, 3}}},
        state_case{"silence_ends",
                   {{0, kind::kSent, 1},
                    {0, kind::kSent, 2},
                    {900, kind::kConnectFailed, 3},
                    {100, kind::kReceived, 1}},
                   true},
        state_case{"partition_ends",
                   {{20, kind::kConnectFailed, 1},
                    {20, kind::kConnectFailed, 2},
                    {20, kind::kConnectFailed, 3},
                    {900, kind::kConnected, 1}}}),
    [](const auto& info) { return info.param.name; });

// The ways that one connection tries, each of which fails, in order.
std::vector<std::string> Ways(path_monitor& monitor, steady_time now) {
  std::vector<endpoint_path> tried;
  std::vector<std::string> ways;
  while (const auto next = monitor.NextPath(now, tried)) {
    tried.push_back(*next);
    ways.push_back(*next ? (*next)->ip : "direct");
    if (ways.size() > 8) {
      break;
    }
  }
  return ways;
}

void CutOff(path_monitor& monitor, steady_time now) {
  for (uint16_t i = 1; i <= 3; ++i) {
    monitor.RecordConnectFailed(now, Endpoint(i));
  }
}

using relay_list = std::vector<relay_address>;
using way_list = std::vector<std::string>;

struct way_case {
  std::string name;
  relay_list relays;
  bool is_cut_off = true;
  int after_ms = 0;
  relay_list unreachable = {};
  relay_list unanswered = {};
  way_list ways;
};

class path_choice : public testing::TestWithParam<way_case> {};

TEST_P(path_choice, UsesRelaysOnlyWhileCutOff) {
  path_monitor monitor;
  monitor.SetRelays(GetParam().relays);
  steady_time now{std::chrono::seconds(100)};
  if (GetParam().is_cut_off) {
    CutOff(monitor, now);
  }
  for (const relay_address& each : GetParam().unreachable) {
    monitor.RecordRelayFailed(now, each);
  }
  for (const relay_address& each : GetParam().unanswered) {
    monitor.RecordRelayUnanswered(each);
  }
  now += milliseconds(GetParam().after_ms);
  EXPECT_EQ(Ways(monitor, now), GetParam().ways);
}

const relay_list kAllRelays = {kRelayA, kRelayB, kRelayC};

INSTANTIATE_TEST_SUITE_P(
    table,
    path_choice,
    testing::Values(way_case{"calm", kAllRelays, false, 0, {}, {}, {"direct"}},
                    way_case{"cut_off",
                             kAllRelays,
                             true,
                             0,
                             {},
                             {},
                             {kRelayA.ip, kRelayB.ip}},
                    way_case{"direct_is_due",
                             kAllRelays,
                             true,
                             1'000,
                             {},
                             {},
                             {"direct", kRelayA.ip, kRelayB.ip}},
                    way_case{"no_relay", {}, true, 0, {}, {}, {"direct"}},
                    way_case{"relay_is_down",
                             kAllRelays,
                             true,
                             200,
                             {kRelayA},
                             {},
                             {kRelayB.ip, kRelayC.ip}},
                    way_case{"relay_is_tried_again",
                             kAllRelays,
                             true,
                             400,
                             {kRelayA},
                             {},
                             {kRelayA.ip, kRelayB.ip}},
                    way_case{"relay_is_cut_off_too",
                             kAllRelays,
                             true,
                             0,
                             {},
                             {kRelayA},
                             {kRelayB.ip, kRelayC.ip}},
                    way_case{"all_relays_are_down",
                             kAllRelays,
                             true,
                             100,
                             kAllRelays,
                             {},
                             {"direct"}}),
    [](const auto& info) { return info.param.name; });

TEST(path_monitor_test, TriesOneDirectConnectionASecond) {
  path_monitor monitor;
  monitor.SetRelays(kAllRelays);
  steady_time now{std::chrono::seconds(100)};
  CutOff(monitor, now);
  int direct = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    now += milliseconds(10);
    direct += Ways(monitor, now).front() == "direct" ? 1 : 0;
  }
  EXPECT_EQ(direct, 10);
  EXPECT_TRUE(monitor.IsCutOff());
}

TEST(path_monitor_test, KeptRelayedConnectionsEndWithThePartition) {
  path_monitor monitor;
  monitor.SetRelays(kAllRelays);
  steady_time now{std::chrono::seconds(100)};
  EXPECT_FALSE(monitor.MayReuse(now, true));
  CutOff(monitor, now);
  EXPECT_TRUE(monitor.MayReuse(now, true));
  now += milliseconds(1'000);
  EXPECT_FALSE(monitor.MayReuse(now, true));  // A direct one is due.
  monitor.RecordConnected(now);
  EXPECT_FALSE(monitor.MayReuse(now, true));
  EXPECT_TRUE(monitor.MayReuse(now, false));
}

TEST(path_monitor_test, IsStrandedOnlyWithoutRelays) {
  path_monitor monitor;
  steady_time now{std::chrono::seconds(100)};
  EXPECT_FALSE(monitor.IsStranded(now));
  CutOff(monitor, now);
  EXPECT_FALSE(monitor.IsStranded(now + milliseconds(500)));
  EXPECT_TRUE(monitor.IsStranded(now + milliseconds(1'500)));
  monitor.SetRelays({kRelayA});
  EXPECT_FALSE(monitor.IsStranded(now + milliseconds(1'500)));
  now += milliseconds(1'500);
  monitor.RecordRelayFailed(now, kRelayA);
  EXPECT_TRUE(monitor.IsStranded(now));
  monitor.RecordRelayUsed(now, kRelayA);
  EXPECT_FALSE(monitor.IsStranded(now));
  monitor.RecordRelayFailed(now, kRelayA);
  EXPECT_FALSE(monitor.IsStranded(now + milliseconds(200)));
}

}  // namespace

}  // namespace shallotport
