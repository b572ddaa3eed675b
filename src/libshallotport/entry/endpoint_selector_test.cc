#include "entry/endpoint_selector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const service_id kService("llm");

endpoint_report MakeReport(int number,
                           const std::string& domain = "a",
                           uint32_t slots = 8) {
  endpoint_report report;
  report.endpoint = endpoint_id("e" + std::to_string(number));
  report.service = kService;
  report.ip = "10.0.0." + std::to_string(number);
  report.port = 80;
  report.domain = domain_id(domain);
  report.slots = slots;
  report.start_time_ms = 1;
  report.sequence = 1;
  return report;
}

endpoint_selector MakeSelector(int endpoints,
                               uint64_t seed = 1,
                               const std::string& domain = "a") {
  endpoint_selector made({domain_id(domain), 2, seed});
  for (int i = 0; i < endpoints; ++i) {
    made.Update(MakeReport(i));
  }
  return made;
}

const selected_endpoint* Selected(
    const std::variant<selected_endpoint, selection_failure>& outcome) {
  return std::get_if<selected_endpoint>(&outcome);
}

TEST(endpoint_selector_test,
     RefusesOnlyWhenAllSlotsAndWaitingPositionsAreTaken) {
  endpoint_selector selector = MakeSelector(2);
  const steady_time now{};
  for (int i = 0; i < 2 * (8 + 2); ++i) {
    EXPECT_NE(Selected(selector.Acquire(now, kService, {})), nullptr) << i;
  }
  const auto refused = selector.Acquire(now, kService, {});
  EXPECT_EQ(std::get<selection_failure>(refused), selection_failure::kAllBusy);
  selector.Release(now, endpoint_id("e1"), endpoint_outcome::kServed);
  EXPECT_NE(Selected(selector.Acquire(now, kService, {})), nullptr);
}

TEST(endpoint_selector_test, BatchRequestsLeaveReservedSlotsFree) {
  endpoint_selector selector = MakeSelector(1);
  const steady_time now{};
  selection_constraints batch;
  batch.is_batch = true;
  batch.reserved_slots = 2;
  for (int i = 0; i < 6; ++i) {
    EXPECT_NE(Selected(selector.Acquire(now, kService, batch)), nullptr);
  }
  EXPECT_EQ(Selected(selector.Acquire(now, kService, batch)), nullptr);
  EXPECT_NE(Selected(selector.Acquire(now, kService, {})), nullptr);
}

TEST(endpoint_selector_test, DrainingAndLeftEndpointsAreNotSelected) {
  endpoint_selector selector = MakeSelector(2);
  endpoint_report leaving = MakeReport(0);
  leaving.stage = endpoint_stage::kDraining;
  leaving.sequence = 2;
  selector.Update(leaving);
  for (int i = 0; i < 10; ++i) {
    const auto selection = selector.Acquire({}, kService, {});
    EXPECT_EQ(Selected(selection)->endpoint, endpoint_id("e1"));
  }
  leaving.stage = endpoint_stage::kLeft;
  selector.Update(leaving);
  selector.Remove(endpoint_id("e1"));
  EXPECT_EQ(std::get<selection_failure>(selector.Acquire({}, kService, {})),
            selection_failure::kNoEndpoint);
}

TEST(endpoint_selector_test, EndpointInBackoffIsSelectedOnlyWhenOthersAreFull) {
  endpoint_selector selector = MakeSelector(2);
  const steady_time now{};
  selector.Release(now, endpoint_id("e0"), endpoint_outcome::kBroken);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Selected(selector.Acquire(now, kService, {}))->endpoint,
              endpoint_id("e1"));
  }
  EXPECT_EQ(Selected(selector.Acquire(now, kService, {}))->endpoint,
            endpoint_id("e0"));
}

TEST(endpoint_selector_test, AvoidedEndpointIsSelectedOnlyWhenOthersAreFull) {
  endpoint_selector selector = MakeSelector(3);
  const steady_time now{};
  selector.Release(now, endpoint_id("e2"), endpoint_outcome::kBroken);
  selection_constraints constraints;
  constraints.avoided.insert(endpoint_id("e0"));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Selected(selector.Acquire(now, kService, constraints))->endpoint,
              endpoint_id("e1"));
  }
  EXPECT_EQ(Selected(selector.Acquire(now, kService, constraints))->endpoint,
            endpoint_id("e0"));
  selector.Release(now, endpoint_id("e1"), endpoint_outcome::kServed);
  constraints.is_limited_to_avoided = true;
  constraints.unreachable_domains.insert(domain_id("a"));
  EXPECT_EQ(Selected(selector.Acquire(now, kService, constraints))->endpoint,
            endpoint_id("e0"));
  selector.Release(now, endpoint_id("e0"), endpoint_outcome::kShed);
  EXPECT_EQ(Selected(selector.Acquire(now, kService, constraints)), nullptr);
}

TEST(endpoint_selector_test, TwoSilentEndpointsPutTheirDomainInBackoff) {
  endpoint_selector selector({domain_id("a"), 2, 1});
  for (int i = 0; i < 4; ++i) {
    selector.Update(MakeReport(i, "b"));
  }
  selector.Update(MakeReport(9, "a", 100));
  steady_time now{};
  selector.Release(now, endpoint_id("e0"), endpoint_outcome::kSilent);
  selector.Release(now, endpoint_id("e1"), endpoint_outcome::kSilent);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Selected(selector.Acquire(now, kService, {}))->endpoint,
              endpoint_id("e9"));
  }
  // One request at a time probes the domain again; a response clears it.
  now += milliseconds(5'000);
  int attempts = 0;
  for (int i = 0; i < 200; ++i) {
    const auto selection = selector.Acquire(now, kService, {});
    attempts += Selected(selection)->domain == domain_id("b") ? 1 : 0;
    selector.Release(now, Selected(selection)->endpoint,
                     endpoint_outcome::kCancelled);
  }
  EXPECT_EQ(attempts, 1);
  selector.Release(now, endpoint_id("e2"), endpoint_outcome::kServed);
  attempts = 0;
  for (int i = 0; i < 200; ++i) {
    const auto selection = selector.Acquire(now, kService, {});
    attempts += Selected(selection)->domain == domain_id("b") ? 1 : 0;
    selector.Release(now, Selected(selection)->endpoint,
                     endpoint_outcome::kCancelled);
  }
  EXPECT_GT(attempts, 20);
}

TEST(endpoint_selector_test, RequestAfterConnectTimeoutPrefersOwnDomain) {
  endpoint_selector selector({domain_id("a"), 2, 1});
  selector.Update(MakeReport(0, "a"));
  for (int i = 1; i < 20; ++i) {
    selector.Update(MakeReport(i, i % 2 == 0 ? "b" : "c"));
  }
  selection_constraints constraints;
  constraints.unreachable_domains.insert(domain_id("b"));
  int own = 0;
  for (int i = 0; i < 50; ++i) {
    const auto selection = selector.Acquire({}, kService, constraints);
    EXPECT_NE(Selected(selection)->domain, domain_id("b"));
    own += Selected(selection)->domain == domain_id("a") ? 1 : 0;
    selector.Release({}, Selected(selection)->endpoint,
                     endpoint_outcome::kCancelled);
  }
  EXPECT_GE(own, 45);
}

TEST(endpoint_selector_test,
     EndpointLoadReportIsUsedOnlyWhenLoadExchangeStops) {
  endpoint_selector selector = MakeSelector(1);
  steady_time now{milliseconds(10'000)};
  selector.SetPeerLoad(now, endpoint_id("e0"), 3);
  selector.RecordLoad(now, endpoint_id("e0"), 8, 4);
  EXPECT_EQ(selector.FreeSlots(now, endpoint_id("e0")), 5);
  now += milliseconds(300);
  selector.RecordLoad(now, endpoint_id("e0"), 8, 4);
  EXPECT_EQ(selector.FreeSlots(now, endpoint_id("e0")), -4);
  now += milliseconds(2'000);  // The peer load has expired.
  EXPECT_EQ(selector.FreeSlots(now, endpoint_id("e0")), 8);
}

TEST(endpoint_selector_test, LoadOfLeavingEndpointsMovesToAllOthers) {
  constexpr int kEndpoints = 6;
  constexpr int kRequests = 600;
  endpoint_selector selector = MakeSelector(kEndpoints);
  for (int i = 0; i < 2; ++i) {
    selector.RecordLeaving({}, {MakeReport(i).endpoint, 1},
                           leaving_endpoints::origin::kOwnResponse);
  }
  std::map<endpoint_id, int> selected;
  for (int i = 0; i < kRequests; ++i) {
    const auto selection = selector.Acquire({}, kService, {});
    const endpoint_id& endpoint = Selected(selection)->endpoint;
    ++selected[endpoint];
    selector.Release({}, endpoint, endpoint_outcome::kServed);
  }
  EXPECT_EQ(selected.size(), 4u);
  for (const auto& [endpoint, count] : selected) {
    EXPECT_LT(count, kRequests / 3) << endpoint.text();
  }
}

TEST(endpoint_selector_test, EndOfLeavingEndpointsIsNoFaultOfTheirDomain) {
  endpoint_selector selector({domain_id("a"), 2, 1});
  for (int i = 0; i < 4; ++i) {
    selector.Update(MakeReport(i, "b"));
  }
  for (int i = 0; i < 3; ++i) {
    const endpoint_id endpoint = MakeReport(i).endpoint;
    selector.RecordLeaving({}, {endpoint, 1},
                           leaving_endpoints::origin::kOtherHost);
    selector.Release({}, endpoint, endpoint_outcome::kSilent);
    selector.Release({}, endpoint, endpoint_outcome::kFailed);
  }
  EXPECT_TRUE(selector.DomainsInBackoff({}, kService).empty());
  EXPECT_TRUE(selector.EndpointsInBackoff({}, kService).empty());
  EXPECT_TRUE(selector.TakeFailures().empty());
  EXPECT_EQ(Selected(selector.Acquire({}, kService, {}))->endpoint,
            endpoint_id("e3"));
}

// Random reports, notices and requests, beside a plain record of the starts
// that leave. Reports and notices may be of earlier starts.
class random_leaving : public testing::TestWithParam<uint64_t> {};

TEST_P(random_leaving, StartThatLeavesIsNeverSelectedAgain) {
  constexpr int kEndpoints = 5;
  random_source random(GetParam());
  const auto below = [&random](int bound) {
    return static_cast<int>(UniformBelow(random, static_cast<uint64_t>(bound)));
  };
  endpoint_selector selector = MakeSelector(kEndpoints, GetParam());
  std::map<endpoint_id, uint64_t> latest_start;
  std::map<endpoint_id, uint64_t> leaving_start;
  steady_time now{};
  int selections = 0;
  for (int step = 0; step < 5'000; ++step) {
    now += milliseconds(below(50));
    endpoint_report report = MakeReport(below(kEndpoints));
    uint64_t& latest =
        latest_start.try_emplace(report.endpoint, 2).first->second;
    uint64_t& leaving = leaving_start[report.endpoint];
    report.start_time_ms = latest - static_cast<uint64_t>(below(2));
    const int operation = below(100);
    if (operation < 5) {
      report.start_time_ms = ++latest;
    }
    if (operation < 20) {
      selector.Update(report);
      continue;
    }
    if (operation < 25) {
      const auto from = below(2) == 0 ? leaving_endpoints::origin::kOwnResponse
                                      : leaving_endpoints::origin::kOtherHost;
      EXPECT_EQ(selector.RecordLeaving(
                    now, {report.endpoint, report.start_time_ms}, from),
                report.start_time_ms > leaving);
      leaving = std::max(leaving, report.start_time_ms);
      continue;
    }
    std::optional<selected_endpoint> selected;
    if (operation < 60) {
      selected = selector.AcquireGranted(now, report.endpoint, {});
    } else {
      const auto selection = selector.Acquire(now, kService, {});
      if (Selected(selection) != nullptr) {
        selected = *Selected(selection);
      }
    }
    if (selected) {
      ++selections;
      EXPECT_GT(selected->start_time_ms, leaving_start[selected->endpoint]);
      constexpr endpoint_outcome kOutcomes[] = {endpoint_outcome::kServed,
                                                endpoint_outcome::kShed,
                                                endpoint_outcome::kBroken};
      selector.Release(now, selected->endpoint, kOutcomes[below(3)]);
    }
  }
  EXPECT_GT(selections, 100);
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_leaving,
                         testing::Range<uint64_t>(1, 21));

struct simulated_load {
  double in_time = 0;     // Share of requests that start within the objective.
  double own_domain = 0;  // Share of requests that stay in their own domain.
};

// Simulates a burst: hosts that learn of each other's requests with a delay
// send to the same endpoints, which serve in order of arrival. Hosts and
// endpoints are distributed over `domains`; 0: no host shares a domain with an
// endpoint.
simulated_load SimulateLoad(int hosts,
                            int endpoints,
                            double requests_per_second,
                            duration exchange,
                            bool selects_least_loaded,
                            int domains = 0) {
  constexpr uint32_t kSlots = 8;
  constexpr milliseconds kServiceTime(700);
  constexpr milliseconds kObjective(200);
  constexpr milliseconds kLength(6'000);
  std::vector<endpoint_selector> views;
  views.reserve(static_cast<size_t>(hosts));
  const auto domain_of = [domains](int number) {
    return domains == 0 ? "a" : "d" + std::to_string(number % domains);
  };
  for (int host = 0; host < hosts; ++host) {
    views.push_back(MakeSelector(0, static_cast<uint64_t>(host) + 1,
                                 domains == 0 ? "other" : domain_of(host)));
    for (int e = 0; e < endpoints; ++e) {
      views.back().Update(MakeReport(e, domain_of(e)));
    }
  }
  struct finish {
    steady_time at;
    int host;
  };
  std::vector<std::deque<finish>> running(static_cast<size_t>(endpoints));
  random_source random(99);
  std::exponential_distribution<double> gap(requests_per_second);
  steady_time next_exchange{};
  int sent = 0;
  int in_time = 0;
  int own_domain = 0;
  double at_s = 0;
  while (at_s < kLength.count() / 1000.0) {
    at_s += gap(random);
    const steady_time now{duration(static_cast<int64_t>(at_s * 1e6))};
    for (int e = 0; e < endpoints; ++e) {
      auto& queue = running[static_cast<size_t>(e)];
      while (!queue.empty() && queue.front().at <= now) {
        views[static_cast<size_t>(queue.front().host)].Release(
            now, endpoint_id("e" + std::to_string(e)),
            endpoint_outcome::kServed);
        queue.pop_front();
      }
    }
    if (now >= next_exchange) {
      next_exchange = now + exchange;
      for (int e = 0; e < endpoints; ++e) {
        for (int host = 0; host < hosts; ++host) {
          const auto& queue = running[static_cast<size_t>(e)];
          const auto others = std::count_if(
              queue.begin(), queue.end(),
              [host](const finish& each) { return each.host != host; });
          views[static_cast<size_t>(host)].SetPeerLoad(
              now, endpoint_id("e" + std::to_string(e)),
              static_cast<uint32_t>(others));
        }
      }
    }
    ++sent;
    const int host = static_cast<int>(UniformBelow(random, hosts));
    endpoint_selector& view = views[static_cast<size_t>(host)];
    endpoint_id chosen;
    if (selects_least_loaded) {
      int best = 0;
      for (int e = 1; e < endpoints; ++e) {
        const auto free = [&](int which) {
          return view.FreeSlots(now, endpoint_id("e" + std::to_string(which)));
        };
        best = free(e) > free(best) ? e : best;
      }
      chosen = endpoint_id("e" + std::to_string(best));
    } else {
      const auto selection = view.Acquire(now, kService, {});
      if (Selected(selection) == nullptr) {
        continue;
      }
      chosen = Selected(selection)->endpoint;
    }
    const int number = std::stoi(chosen.text().substr(1));
    own_domain += domain_of(number) == domain_of(host) ? 1 : 0;
    auto& queue = running[static_cast<size_t>(number)];
    const steady_time starts_at =
        queue.size() < kSlots ? now : queue[queue.size() - kSlots].at;
    queue.push_back({starts_at + kServiceTime, host});
    in_time += starts_at <= now + kObjective ? 1 : 0;
  }
  return {static_cast<double>(in_time) / sent,
          static_cast<double>(own_domain) / sent};
}

// 50 hosts, 90 endpoints, load data up to 70 ms old, two thirds of all slots
// taken. Guards against hosts with the same load data that all send to the
// least loaded endpoint and queue there.
TEST(endpoint_selector_load_test,
     HostsWithSameLoadDataDoNotConvergeOnLeastLoaded) {
  const auto weighted = SimulateLoad(50, 90, 650, milliseconds(70), false);
  const auto least_loaded = SimulateLoad(50, 90, 650, milliseconds(70), true);
  EXPECT_GT(weighted.in_time, 0.97);
  EXPECT_LT(least_loaded.in_time, 0.9);
}

TEST(endpoint_selector_load_test, FewHostsUseNearlyAllSlots) {
  EXPECT_GT(SimulateLoad(6, 18, 170, milliseconds(25), false).in_time, 0.95);
}

struct domain_case {
  const char* name;
  int hosts;
  int endpoints;
  double requests_per_second;
  milliseconds exchange;
  double own_domain;  // Minimum share of requests that stay.
};

// A partition between domains breaks requests that cross it, so few should; but
// requests must not wait behind a full endpoint of their own domain for that.
class domain_load : public testing::TestWithParam<domain_case> {};

TEST_P(domain_load, MostRequestsStayInTheirDomainWithoutExtraWaiting) {
  const domain_case& each = GetParam();
  const auto spread =
      SimulateLoad(each.hosts, each.endpoints, each.requests_per_second,
                   each.exchange, false);
  const auto local =
      SimulateLoad(each.hosts, each.endpoints, each.requests_per_second,
                   each.exchange, false, 3);
  EXPECT_GE(local.own_domain, each.own_domain);
  EXPECT_GE(local.in_time, spread.in_time - 0.02);
}

INSTANTIATE_TEST_SUITE_P(
    loads,
    domain_load,
    testing::Values(
        domain_case{"half_full", 6, 18, 100, milliseconds(25), 0.7},
        domain_case{"nearly_full", 6, 18, 170, milliseconds(25), 0.5},
        domain_case{"many_hosts", 48, 90, 650, milliseconds(70), 0.6}),
    [](const auto& info) { return std::string(info.param.name); });

struct poison_selection {
  std::string name;
  size_t crashes;
  bool is_repeat;
  bool is_allowed;
};

class poison_parts : public testing::TestWithParam<poison_selection> {};

TEST_P(poison_parts, GetNoEndpointByChoiceOrGrant) {
  endpoint_selector selector = MakeSelector(2);
  steady_time now{std::chrono::seconds(100)};
  const request_traits deadly{{7, 8}};
  const request_traits sound{{7}};
  for (uint64_t i = 0; i < GetParam().crashes; ++i) {
    now += milliseconds(200);
    selector.crashes().RecordCrash(now, {i, i, kService, 0, 10, deadly.parts});
    selector.crashes().Update(now);
  }
  for (int i = 0; i < 100; ++i) {
    selector.crashes().RecordWholeAnswer(now, kService, {});
  }
  now += milliseconds(500);
  selector.crashes().Update(now);
  for (const bool is_batch : {false, true}) {
    selection_constraints constraints;
    constraints.is_batch = is_batch;
    constraints.is_repeat = GetParam().is_repeat;
    constraints.traits = &deadly;
    const auto selection = selector.Acquire(now, kService, constraints);
    EXPECT_EQ(Selected(selection) != nullptr, GetParam().is_allowed);
    if (!GetParam().is_allowed) {
      EXPECT_EQ(std::get<selection_failure>(selection),
                selection_failure::kPoison);
    }
    EXPECT_EQ(selector.AcquireGranted(now, endpoint_id("e1"), constraints)
                  .has_value(),
              GetParam().is_allowed);
    constraints.traits = &sound;
    constraints.is_repeat = false;
    EXPECT_NE(Selected(selector.Acquire(now, kService, constraints)), nullptr);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    poison_parts,
    testing::Values(poison_selection{"none", 0, true, true},
                    poison_selection{"one_crash", 1, true, true},
                    poison_selection{"two_crashes", 2, false, true},
                    poison_selection{"repeat_after_two", 2, true, false},
                    poison_selection{"three_crashes", 3, false, false}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
