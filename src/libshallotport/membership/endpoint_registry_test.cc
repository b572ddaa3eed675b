#include "membership/endpoint_registry.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{duration(10'000'000)};

endpoint_registry MakeRegistry(size_t max_endpoints = 512) {
  endpoint_registry_options options;
  options.self = host_id("host-1");
  options.domain = domain_id("a");
  options.max_endpoints = max_endpoints;
  return {options, kStart, 1};
}

// An announcement of the endpoint "r".
struct announced_report {
  incarnation started = 1;
  uint64_t sequence = 1;
  bool is_leaving = false;
  uint32_t running = 0;
  const char* service = "assistant";
  const char* domain = "a";
};

endpoint_record MakeRecord(const announced_report& from) {
  endpoint_record record;
  record.id = endpoint_id("r");
  record.started = from.started;
  record.domain = domain_id(from.domain);
  record.address = "127.0.0.1:9000";
  record.services = {service_id(from.service)};
  record.is_leaving = from.is_leaving;
  record.load = {from.sequence, from.running, 0, 8};
  return record;
}

struct announcement_case {
  const char* name;
  std::vector<announced_report> reports;
  announced_report expected;
};

class registry_announcements
    : public testing::TestWithParam<announcement_case> {};

TEST_P(registry_announcements, LeadToTheExpectedRecord) {
  endpoint_registry registry = MakeRegistry();
  std::vector<registry_action> out;
  for (const announced_report& each : GetParam().reports) {
    registry.Announce(kStart, MakeRecord(each), out);
  }
  const auto seen = registry.Find(endpoint_id("r"));
  ASSERT_TRUE(seen);
  const announced_report& expected = GetParam().expected;
  EXPECT_EQ(seen->started, expected.started);
  EXPECT_EQ(seen->load.sequence, expected.sequence);
  EXPECT_EQ(seen->load.running, expected.running);
  EXPECT_EQ(seen->is_leaving, expected.is_leaving);
  EXPECT_EQ(seen->services.front().text(), expected.service);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    registry_announcements,
    testing::Values(announcement_case{"in_order",
                                      {{1, 1}, {1, 2, false, 5}},
                                      {1, 2, false, 5}},
                    announcement_case{"reordered",
                                      {{1, 3, false, 5}, {1, 2}},
                                      {1, 3, false, 5}},
                    announcement_case{"leaving_is_sticky",
                                      {{1, 1}, {1, 2, true}, {1, 3}},
                                      {1, 3, true}},
                    announcement_case{
                        "leaving_outlasts_other_changes",
                        {{1, 1}, {1, 2, true}, {1, 3, false, 0, "other"}},
                        {1, 3, true, 0, "other"}},
                    announcement_case{"stale_leaving_takes_effect",
                                      {{1, 1}, {1, 3}, {1, 2, true}},
                                      {1, 3, true}},
                    announcement_case{"restart_ends_leaving",
                                      {{1, 1}, {1, 2, true}, {2, 1}},
                                      {2, 1, false}},
                    announcement_case{"old_incarnation_is_ignored",
                                      {{2, 1}, {1, 9, true, 4, "other"}},
                                      {2, 1}},
                    announcement_case{"services_change",
                                      {{1, 1}, {1, 2, false, 0, "other"}},
                                      {1, 2, false, 0, "other"}},
                    announcement_case{"stale_services_are_ignored",
                                      {{1, 5, false, 0, "other"}, {1, 2}},
                                      {1, 5, false, 0, "other"}}),
    [](const auto& info) { return std::string(info.param.name); });

struct refusal_case {
  const char* name;
  announced_report announced;
  size_t max_endpoints;
  error_kind expected;
};

class registry_refusals : public testing::TestWithParam<refusal_case> {};

TEST_P(registry_refusals, ReturnTheExpectedErrorKind) {
  endpoint_registry registry = MakeRegistry(GetParam().max_endpoints);
  std::vector<registry_action> out;
  if (GetParam().max_endpoints > 0) {
    ASSERT_TRUE(IsOk(registry.Announce(kStart, MakeRecord({2, 1}), out)));
  }
  const status outcome =
      registry.Announce(kStart, MakeRecord(GetParam().announced), out);
  ASSERT_FALSE(IsOk(outcome));
  EXPECT_EQ(ErrorOf(outcome).kind, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    registry_refusals,
    testing::Values(
        refusal_case{"other_domain",
                     {2, 2, false, 0, "assistant", "b"},
                     1,
                     error_kind::kInvalidRequest},
        refusal_case{"old_incarnation", {1, 9}, 1, error_kind::kConflict},
        refusal_case{"full", {2, 1}, 0, error_kind::kOverLimit}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(endpoint_registry, StaleReportsDoNotRestoreARemovedEndpoint) {
  endpoint_registry registry = MakeRegistry();
  std::vector<registry_action> out;
  registry.Announce(kStart, MakeRecord({1, 5, true}), out);
  for (duration time = 0s; time < 11s; time += 100ms) {
    registry.OnTimer(kStart + time);
  }
  ASSERT_EQ(registry.size(), 0u);
  registry.Announce(kStart + 12s, MakeRecord({1, 4}), out);
  EXPECT_EQ(registry.size(), 0u);
  registry.Announce(kStart + 12s, MakeRecord({1, 6}), out);
  ASSERT_EQ(registry.size(), 1u);
  EXPECT_TRUE(registry.Find(endpoint_id("r"))->is_leaving);
}

}  // namespace
}  // namespace shallotport
