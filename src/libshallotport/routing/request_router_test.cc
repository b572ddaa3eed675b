#include "routing/request_router.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

#include "routing/testing/fleet_simulation.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const account_id kAccount("lysberg");
const account_id kStranger("consorcio");
const service_id kService("unlock");
const service_id kPrivate("private");

steady_time At(int64_t ms) {
  return steady_time(seconds(1'000) + milliseconds(ms));
}

endpoint_record MakeRecord(int number, uint64_t sequence = 1) {
  endpoint_record record;
  record.id = endpoint_id("e" + std::to_string(number));
  record.started = 1;
  record.domain = domain_id("a");
  record.address = "127.0.0.1:1";
  record.services = {kService, kPrivate};
  record.load.sequence = sequence;
  record.load.slots = 4;
  return record;
}

configuration MakeConfiguration(const std::string& strategy) {
  configuration settings;
  settings.accounts.push_back({kAccount, "", 100, 50, 1, {}});
  settings.accounts.push_back({kStranger, "", 100, 50, 1, {kPrivate}});
  service_configuration service;
  service.id = kService;
  service.routing_strategy = strategy;
  settings.services.push_back(service);
  service.id = kPrivate;
  service.accounts = {kStranger};
  settings.services.push_back(service);
  return settings;
}

route_query MakeQuery(int64_t deadline_ms) {
  route_query query;
  query.account = kAccount;
  query.service = kService;
  query.deadline = At(deadline_ms);
  return query;
}

// A request_router with its configuration and shorthands for common steps.
class router_fixture {
 public:
  explicit router_fixture(const std::string& strategy = "adaptive")
      : router({host_id("h1"), domain_id("a"), 1, "", 7}) {
    router.SetConfiguration(MakeConfiguration(strategy), 1);
  }

  void AddEndpoints(int count, int64_t ms = 0) {
    for (int i = 0; i < count; ++i) {
      router.UpdateEndpoint(At(ms), MakeRecord(i));
    }
  }

  result<route_choice> Admit(int64_t ms, int64_t within_ms = 10'000) {
    return router.Admit(At(ms), MakeQuery(ms + within_ms));
  }

  // Admits one request and ends it at once; returns the name of its endpoint.
  std::string CompleteRequest(int64_t ms,
                              attempt_outcome outcome = attempt_outcome::kOk,
                              milliseconds time = milliseconds(10)) {
    const auto choice = Admit(ms);
    if (!IsOk(choice)) {
      return "";
    }
    router.OnFinished(At(ms), ValueOf(choice).ticket, outcome, time);
    return ValueOf(choice).endpoint.text();
  }

  // Admits `count` requests, none of which ends; returns their number by
  // endpoint.
  std::map<std::string, int> AdmitMany(int64_t ms, int count) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i) {
      const auto choice = Admit(ms + i);
      if (IsOk(choice)) {
        ++chosen[ValueOf(choice).endpoint.text()];
      }
    }
    return chosen;
  }

  request_router router;
};

domain_offer MakeOffer(const std::string& host, uint64_t sequence, int free) {
  domain_offer offer;
  offer.domain = domain_id("b");
  offer.host = host_id(host);
  offer.started = 1;
  offer.sequence = sequence;
  offer.address = host + ":80";
  offer.services.push_back({kService, static_cast<uint32_t>(free), 3, 1'000});
  return offer;
}

struct refusal_case {
  const char* name;
  std::function<result<route_choice>(router_fixture&)> admit;
  error_kind kind;
  bool has_retry_after;
};

void PrintTo(const refusal_case& param, std::ostream* out) {
  *out << param.name;
}

class request_router_refusal_test
    : public testing::TestWithParam<refusal_case> {};

TEST_P(request_router_refusal_test, ReturnsErrorKindAndRetryAfter) {
  router_fixture fixture;
  const auto choice = GetParam().admit(fixture);
  ASSERT_FALSE(IsOk(choice));
  EXPECT_EQ(ErrorOf(choice).kind, GetParam().kind);
  EXPECT_EQ(Answer(GetParam().kind).run, run_outcome::kNotRun);
  EXPECT_EQ(ErrorOf(choice).retry_after.count() > 0,
            GetParam().has_retry_after);
}

result<route_choice> AdmitFor(router_fixture& fixture,
                              const account_id& account,
                              const service_id& service) {
  fixture.AddEndpoints(2);
  route_query query = MakeQuery(1'000);
  query.account = account;
  query.service = service;
  return fixture.router.Admit(At(0), query);
}

const refusal_case kRefusals[] = {
    {"unknown_service",
     [](router_fixture& f) { return AdmitFor(f, kAccount, service_id("x")); },
     error_kind::kNotFound, false},
    {"service_of_another_account",
     [](router_fixture& f) { return AdmitFor(f, kAccount, kPrivate); },
     error_kind::kNotFound, false},
    {"account_without_the_service",
     [](router_fixture& f) { return AdmitFor(f, kStranger, kService); },
     error_kind::kNotFound, false},
    {"no_endpoint", [](router_fixture& f) { return f.Admit(0); },
     error_kind::kNoCapacity, true},
    {"deadline_passed",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       return f.Admit(0, 0);
     },
     error_kind::kDeadlineUnreachable, true},
    {"service_takes_longer_than_the_deadline",
     [](router_fixture& f) {
       f.AddEndpoints(2);
       for (int i = 0; i < 10; ++i) {
         f.CompleteRequest(i, attempt_outcome::kOk, seconds(2));
       }
       return f.Admit(20, 500);
     },
     error_kind::kDeadlineUnreachable, true},
    {"queue_takes_longer_than_the_deadline",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       for (int i = 0; i < 10; ++i) {
         f.CompleteRequest(i, attempt_outcome::kOk, milliseconds(400));
       }
       f.AdmitMany(20, 40);
       return f.Admit(100, 900);
     },
     error_kind::kDeadlineUnreachable, true},
    {"queue_takes_longer_than_the_first_byte_may",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       for (int i = 0; i < 10; ++i) {
         f.CompleteRequest(i, attempt_outcome::kOk, seconds(2));
       }
       f.AdmitMany(20, 20);
       return f.Admit(100, 60'000);
     },
     error_kind::kDeadlineUnreachable, true},
    {"queue_of_other_hosts_takes_longer",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       for (int i = 0; i < 10; ++i) {
         f.CompleteRequest(i, attempt_outcome::kOk, seconds(1));
       }
       endpoint_record loaded = MakeRecord(0, 2);
       loaded.load.queued = 40;
       f.router.UpdateEndpoint(At(50), loaded);
       return f.Admit(100, 60'000);
     },
     error_kind::kDeadlineUnreachable, true},
    {"rate",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       for (int i = 0; i < 100; ++i) {
         f.CompleteRequest(0);
       }
       return f.Admit(0);
     },
     error_kind::kOverLimit, true},
    {"concurrency",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       f.AdmitMany(0, 50);
       return f.Admit(60);
     },
     error_kind::kOverLimit, true},
    {"retry_budget",
     [](router_fixture& f) {
       f.AddEndpoints(1);
       route_query query = MakeQuery(10'000);
       query.is_retry = true;
       for (int i = 0; i < 10; ++i) {
         EXPECT_TRUE(IsOk(f.router.Admit(At(0), query)));
       }
       return f.router.Admit(At(0), query);
     },
     error_kind::kNoCapacity, true},
    {"spilled_request_is_not_spilled_again",
     [](router_fixture& f) {
       f.router.OnDomainOffer(At(0), MakeOffer("b1", 1, 5));
       route_query query = MakeQuery(1'000);
       query.is_spilled = true;
       return f.router.Admit(At(0), query);
     },
     error_kind::kNoCapacity, true},
    {"stale_offer_of_another_domain",
     [](router_fixture& f) {
       f.router.OnDomainOffer(At(0), MakeOffer("b1", 1, 5));
       return f.Admit(5'000);
     },
     error_kind::kNoCapacity, true},
    {"overtaken_offer_of_another_domain",
     [](router_fixture& f) {
       f.router.OnDomainOffer(At(0), MakeOffer("b1", 2, 0));
       f.router.OnDomainOffer(At(1), MakeOffer("b1", 1, 5));
       return f.Admit(2);
     },
     error_kind::kNoCapacity, true},
};

INSTANTIATE_TEST_SUITE_P(kinds,
                         request_router_refusal_test,
                         testing::ValuesIn(kRefusals),
                         [](const auto& param) { return param.param.name; });

// A delayed record from before the leave must not bring requests back to an
// endpoint that drains; only a new incarnation does.
TEST(request_router, LeavingIsPermanentWithinAnIncarnation) {
  router_fixture fixture;
  fixture.AddEndpoints(2);
  endpoint_record leaving = MakeRecord(0, 5);
  leaving.is_leaving = true;
  fixture.router.UpdateEndpoint(At(1), leaving);
  fixture.router.UpdateEndpoint(At(2), MakeRecord(0, 4));
  fixture.router.UpdateEndpoint(At(3), MakeRecord(0, 6));
  EXPECT_EQ(fixture.AdmitMany(4, 20).count("e0"), 0u);
  endpoint_record restarted = MakeRecord(0);
  restarted.started = 2;
  fixture.router.UpdateEndpoint(At(50), restarted);
  fixture.router.UpdateEndpoint(At(51), leaving);
  EXPECT_GT(fixture.AdmitMany(9'000, 20).count("e0"), 0u);
}

// Without requests there are no new samples, so an estimate that refuses all
// requests would never be corrected if it did not expire.
TEST(request_router, StaleEstimatesExpire) {
  router_fixture fixture;
  fixture.AddEndpoints(1);
  for (int i = 0; i < 10; ++i) {
    fixture.CompleteRequest(i, attempt_outcome::kOk, seconds(2));
  }
  EXPECT_FALSE(IsOk(fixture.Admit(20, 500)));
  EXPECT_TRUE(IsOk(fixture.Admit(11'000, 500)));
}

// Attempts that time out or are cancelled give only a lower bound of the
// service time; it must not raise the expected time of the whole service.
TEST(request_router, TimeoutsDoNotLengthenTheExpectedTime) {
  router_fixture fixture;
  fixture.AddEndpoints(3);
  for (int i = 0; i < 20; ++i) {
    fixture.CompleteRequest(i, attempt_outcome::kOk, milliseconds(20));
  }
  for (int i = 20; i < 26; ++i) {
    fixture.CompleteRequest(i, attempt_outcome::kTimedOut, seconds(5));
    fixture.CompleteRequest(i, attempt_outcome::kCancelled, seconds(5));
  }
  const auto choice = fixture.Admit(100);
  ASSERT_TRUE(IsOk(choice));
  EXPECT_GE(ValueOf(choice).expected_time, milliseconds(20));
  EXPECT_LT(ValueOf(choice).expected_time, milliseconds(40));
}

TEST(request_router, BreakerOpensAndProbesOneAtATime) {
  router_fixture fixture;
  fixture.AddEndpoints(4);
  std::map<std::string, int> failures;
  for (int i = 0; i < 60; ++i) {
    const auto choice = fixture.Admit(i);
    const std::string name = ValueOf(choice).endpoint.text();
    failures[name] += name == "e0" ? 1 : 0;
    fixture.router.OnFinished(
        At(i), ValueOf(choice).ticket,
        name == "e0" ? attempt_outcome::kFailed : attempt_outcome::kOk,
        milliseconds(10));
  }
  EXPECT_EQ(failures["e0"], 3);
  EXPECT_EQ(fixture.AdmitMany(1'500, 12)["e0"], 1)
      << "one probe while half-open";
}

// Failures of all endpoints at once must not open all circuit breakers and
// leave no eligible endpoint.
TEST(request_router, HalfOfTheEndpointsStayEligible) {
  router_fixture fixture;
  fixture.AddEndpoints(6);
  for (int i = 0; i < 90; ++i) {
    fixture.CompleteRequest(i, attempt_outcome::kFailed);
  }
  EXPECT_GE(fixture.AdmitMany(200, 30).size(), 3u);
}

TEST(request_router, NewIncarnationStartsSlowlyAndWithoutHistory) {
  router_fixture fixture;
  fixture.AddEndpoints(4);
  for (int i = 0; i < 40; ++i) {
    fixture.CompleteRequest(i);
  }
  endpoint_record restarted = MakeRecord(0);
  restarted.started = 2;
  fixture.router.UpdateEndpoint(At(20'000), restarted);
  std::map<std::string, int> early = fixture.AdmitMany(20'100, 20);
  EXPECT_LT(early["e0"], 5);
  EXPECT_GT(early["e1"], 4);
}

class request_router_slow_endpoint_test
    : public testing::TestWithParam<const char*> {};

TEST_P(request_router_slow_endpoint_test, IsEjectedAndProbedAgain) {
  router_fixture fixture(GetParam());
  fixture.AddEndpoints(4);
  const auto count_slow = [&fixture](int64_t from, int64_t to) {
    int slow = 0;
    for (int64_t ms = from; ms < to; ms += 20) {
      const auto choice = fixture.Admit(ms);
      const bool is_slow = ValueOf(choice).endpoint.text() == "e0";
      slow += is_slow ? 1 : 0;
      fixture.router.OnFinished(At(ms), ValueOf(choice).ticket,
                                attempt_outcome::kOk,
                                milliseconds(is_slow ? 500 : 50));
    }
    return slow;
  };
  count_slow(0, 2'500);
  EXPECT_LE(count_slow(2'500, 5'000), 5) << "an equal share would be 31";
  EXPECT_GT(count_slow(5'000, 40'000), 0) << "never probed again";
}

INSTANTIATE_TEST_SUITE_P(strategies,
                         request_router_slow_endpoint_test,
                         testing::Values("adaptive", "round_robin"));

TEST(request_router, SpillsToTheHostWithMostFreeSlotsAndSkipsExcludedHosts) {
  router_fixture fixture;
  fixture.router.OnDomainOffer(At(0), MakeOffer("b1", 1, 2));
  fixture.router.OnDomainOffer(At(0), MakeOffer("b2", 1, 3));
  route_query query = MakeQuery(1'000);
  const auto first = fixture.router.Admit(At(1), query);
  ASSERT_TRUE(IsOk(first));
  EXPECT_EQ(ValueOf(first).endpoint.text(), "b2");
  EXPECT_EQ(ValueOf(first).spill_domain, domain_id("b"));
  query.excluded = {ValueOf(first).endpoint};
  query.is_retry = true;
  const auto second = fixture.router.Admit(At(2), query);
  ASSERT_TRUE(IsOk(second));
  EXPECT_EQ(ValueOf(second).endpoint.text(), "b1");
  query.excluded.push_back(ValueOf(second).endpoint);
  EXPECT_FALSE(IsOk(fixture.router.Admit(At(3), query)));
}

TEST(request_router, PrefixStaysAtItsEndpointUntilThatIsOverloaded) {
  router_fixture fixture;
  fixture.AddEndpoints(8);
  route_query query = MakeQuery(30'000);
  std::map<uint64_t, std::string> home;
  for (uint64_t prefix = 1; prefix <= 40; ++prefix) {
    for (int i = 0; i < 3; ++i) {
      query.prefix_hash = prefix * 0x9e3779b97f4a7c15ULL;
      const auto choice = fixture.router.Admit(
          At(10'000 + 20 * static_cast<int64_t>(prefix)), query);
      ASSERT_TRUE(IsOk(choice));
      const std::string name = ValueOf(choice).endpoint.text();
      EXPECT_TRUE(i == 0 || home[prefix] == name);
      home[prefix] = name;
      fixture.router.OnFinished(At(10'000), ValueOf(choice).ticket,
                                attempt_outcome::kOk, milliseconds(10));
    }
  }
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) {
    const auto choice = fixture.router.Admit(At(12'000 + 20 * i), query);
    used.insert(ValueOf(choice).endpoint.text());
  }
  EXPECT_GT(used.size(), 3u) << "one prefix must not overload its endpoint";
}

// Retries during a partial failure must not multiply the load on the endpoints
// that are left.
TEST(request_router, RetriesAddLittleLoadWhileAThirdFails) {
  for (const bool is_lost : {false, true}) {
    fleet_scenario scenario;
    scenario.utilization = 0.3;
    scenario.seconds = 30;
    (is_lost ? scenario.lost_endpoints : scenario.failing_endpoints) = 7;
    const fleet_statistics statistics =
        fleet_simulation(scenario, "adaptive", true, 1).Run();
    EXPECT_LE(statistics.attempts_per_request, 1.2);
    EXPECT_LE(statistics.failed_share, 0.05);
  }
}

TEST(choice_strategy, KnownNamesMakeStrategiesAndUnknownOnesDoNot) {
  random_source random(1);
  std::vector<choice_candidate> candidates(3);
  candidates[0].reported_load = candidates[0].load = 2;
  candidates[2].reported_load = candidates[2].load = 2;
  for (const std::string_view name : ChoiceStrategyNames()) {
    const auto strategy = MakeChoiceStrategy(name);
    ASSERT_TRUE(strategy) << name;
    std::set<size_t> chosen;
    for (int i = 0; i < 30; ++i) {
      chosen.insert(strategy->Choose(candidates, 0, random));
    }
    const bool takes_least =
        name == "adaptive" || name == "least_reported_load";
    EXPECT_EQ(chosen.size(), takes_least ? 1u : 3u) << name;
    EXPECT_TRUE(chosen.contains(1)) << name;
  }
  EXPECT_FALSE(MakeChoiceStrategy("fastest"));
}

}  // namespace

}  // namespace shallotport
