#include "jobstore/item_expiry.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/route_table.h"
#include "jobstore/accepted_route.h"
#include "jobstore/job_table.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr wall_milliseconds kAcceptedAt = 1'000'000;
constexpr uint32_t kRetentionMs = 60'000;
constexpr int kItems = 3;

// A route of a configuration: host, prefix, and what else differs.
struct test_route {
  std::string host = "h";
  std::string prefix = "/notes/";
  request_kind kind = request_kind::kBatch;
  std::string name = "notes";
  std::string service = "svc";
};

route_table Table(uint64_t version, const std::vector<test_route>& routes) {
  route_configuration configuration;
  configuration.version = version;
  for (const test_route& each : routes) {
    route made;
    made.name = each.name;
    made.host = each.host;
    made.prefix = each.prefix;
    made.kind = each.kind;
    made.services = {{service_id(each.service), 1}};
    configuration.routes.push_back(made);
  }
  return route_table(configuration);
}

void Apply(job_table& table, const job_command& command) {
  apply_context context;
  context.leader_time = kAcceptedAt;
  table.Apply(context, EncodeJobCommand(command));
}

// A job of kItems items, "/notes/0" and so on.
void Submit(job_table& table,
            const std::string& id,
            std::optional<uint64_t> version,
            const std::string& path = "/notes/") {
  job_command command;
  command.job = job_id(id);
  command.submission.job = command.job;
  command.submission.host = "h";
  command.submission.prefix = FormatAcceptedRoute({"/notes/", version});
  command.submission.retention_ms = kRetentionMs;
  for (int i = 0; i < kItems; ++i) {
    job_item item;
    item.id = id + std::to_string(i);
    item.path = path + std::to_string(i);
    command.submission.items.push_back(item);
  }
  Apply(table, command);
}

void Record(job_table& table, const std::string& id, uint32_t item) {
  job_command command;
  command.kind = job_command_kind::kRecord;
  command.job = job_id(id);
  command.item_index = item;
  Apply(table, command);
}

// A configuration that comes into force at the host.
struct configuration_step {
  int at_ms = 0;
  uint64_t version = 1;
  std::vector<test_route> routes;
};

struct route_case {
  std::string name;
  std::optional<uint64_t> accepted_version;
  std::vector<configuration_step> steps;
  std::optional<int> ended_at_ms;  // nullopt: the items go on waiting.
  std::string path = "/notes/";    // Of the items.
};

class route_end : public testing::TestWithParam<route_case> {};

const std::vector<test_route> kOther = {{"h", "/chat/"}};

// Guards against items that wait without end once their route has ended, and
// against dead letters while it has not, or may not have.
TEST_P(route_end, EndsItemsOnceItIsKnown) {
  job_table table;
  Submit(table, "j", GetParam().accepted_version, GetParam().path);
  item_expiry expiry;
  route_table routes;
  size_t next_step = 0;
  std::optional<int> ended_at_ms;
  for (int ms = 0; ms <= 30'000 && !ended_at_ms; ms += 500) {
    const auto& steps = GetParam().steps;
    while (next_step < steps.size() && steps[next_step].at_ms <= ms) {
      routes = Table(steps[next_step].version, steps[next_step].routes);
      ++next_step;
    }
    const auto expired =
        expiry.Find(steady_time(milliseconds(ms)), kAcceptedAt + ms, table,
                    routes, 100, [](const item_key&) { return false; });
    for (const expired_item& each : expired) {
      EXPECT_EQ(each.reason, expiry_reason::kRouteEnded);
    }
    if (!expired.empty()) {
      EXPECT_EQ(expired.size(), static_cast<size_t>(kItems));
      ended_at_ms = ms;
    }
  }
  EXPECT_EQ(ended_at_ms, GetParam().ended_at_ms);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    route_end,
    testing::Values(
        route_case{"stays", 1, {{0, 1, {{}}}, {2'000, 2, {{}}}}, std::nullopt},
        route_case{"removed", 1, {{0, 1, {{}}}, {2'000, 2, kOther}}, 7'000},
        route_case{"removed_with_all_others",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, {}}},
                   7'000},
        route_case{"put_back_soon",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, kOther}, {6'000, 3, {{}}}},
                   std::nullopt},
        // Each removal has its own time.
        route_case{"put_back_and_removed_again",
                   1,
                   {{0, 1, {{}}},
                    {2'000, 2, kOther},
                    {6'000, 3, {{}}},
                    {8'000, 4, kOther}},
                   13'000},
        // Configurations come in between.
        route_case{"removed_and_other_changes",
                   1,
                   {{0, 1, {{}}},
                    {2'000, 2, kOther},
                    {4'000, 3, kOther},
                    {6'000, 4, {}}},
                   7'000},
        // This host is behind the one that accepted the job.
        route_case{"not_known_yet", 5, {{0, 3, kOther}}, std::nullopt},
        route_case{"not_known_for_long",
                   5,
                   {{0, 3, kOther}, {20'000, 5, {{}}}},
                   std::nullopt},
        route_case{"not_known_until_removed",
                   5,
                   {{0, 3, kOther}, {10'000, 6, kOther}},
                   10'000},
        // The host that accepted the job was behind, or this one has just
        // started or begun to lead.
        route_case{"ended_before", 1, {{0, 2, kOther}}, 5'000},
        route_case{"accepted_by_an_earlier_build",
                   std::nullopt,
                   {{0, 1, {{}}}, {2'000, 2, kOther}},
                   7'000},
        route_case{"earlier_build_and_never_seen",
                   std::nullopt,
                   {{0, 2, kOther}, {2'000, 3, kOther}},
                   std::nullopt},
        route_case{
            "moved_to_another_service",
            1,
            {{0, 1, {{}}},
             {2'000,
              2,
              {{"h", "/notes/", request_kind::kBatch, "notes", "other"}}}},
            std::nullopt},
        route_case{"renamed",
                   1,
                   {{0, 1, {{}}},
                    {2'000, 2, {{"h", "/notes/", request_kind::kBatch, "n2"}}}},
                   std::nullopt},
        route_case{"split_by_a_longer_prefix",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, {{}, {"h", "/notes/1/"}}}},
                   std::nullopt},
        route_case{"replaced_by_a_shorter_prefix",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, {{"h", "/"}}}},
                   std::nullopt},
        route_case{"moved_to_another_host",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, {{"other", "/notes/"}}}},
                   7'000},
        // They are sent by the job's route.
        route_case{"items_of_other_paths",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, {{}}}},
                   std::nullopt,
                   "/elsewhere/"},
        route_case{"items_of_other_paths_and_removed",
                   1,
                   {{0, 1, {{}}}, {2'000, 2, kOther}},
                   7'000,
                   "/elsewhere/"}),
    [](const auto& info) { return info.param.name; });

// Seconds after the end of the route "/notes/" under version 2.
struct find_case {
  std::string name;
  int after_s = 0;
  bool is_reset = false;  // This host has begun to lead again.
  std::set<uint32_t> busy;
  std::set<uint32_t> with_result;
  size_t max_items = 100;
  std::vector<uint32_t> expired;
  expiry_reason reason = expiry_reason::kRouteEnded;
};

class expired_items : public testing::TestWithParam<find_case> {};

TEST_P(expired_items, AreThoseThatNothingElseEnds) {
  job_table table;
  Submit(table, "j", 1);
  Submit(table, "cancelled", 1);
  job_command cancel;
  cancel.kind = job_command_kind::kCancel;
  cancel.job = job_id("cancelled");
  Apply(table, cancel);
  item_expiry expiry;
  const auto is_busy = [&](const item_key& key) {
    return GetParam().busy.contains(key.second);
  };
  const auto find = [&](int at_s, const route_table& routes) {
    return expiry.Find(steady_time(std::chrono::seconds(at_s)),
                       kAcceptedAt + at_s * 1'000, table, routes,
                       GetParam().max_items, is_busy);
  };
  const route_table ended = Table(2, kOther);
  EXPECT_TRUE(find(0, Table(1, {{}})).empty());
  EXPECT_TRUE(find(0, ended).empty());
  for (const uint32_t each : GetParam().with_result) {
    Record(table, "j", each);
  }
  if (GetParam().is_reset) {
    expiry.Reset();
  }
  std::vector<expired_item> expected;
  for (const uint32_t each : GetParam().expired) {
    expected.push_back({{job_id("j"), each}, GetParam().reason});
  }
  EXPECT_EQ(find(GetParam().after_s, ended), expected);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    expired_items,
    testing::Values(
        find_case{"within_the_grace", 4},
        find_case{"all", 5, false, {}, {}, 100, {0, 1, 2}},
        find_case{"new_leader", 5, true},
        // It may still give its item a result.
        find_case{"attempt_under_way", 5, false, {1}, {}, 100, {0, 2}},
        find_case{"finished_meanwhile", 5, false, {}, {0}, 100, {1, 2}},
        find_case{"nothing_left", 5, false, {}, {0, 1, 2}},
        find_case{"bounded", 5, false, {}, {}, 2, {0, 1}},
        find_case{"past_its_retention",
                  76,
                  true,
                  {2},
                  {},
                  100,
                  {0, 1},
                  expiry_reason::kRetention},
        find_case{"within_the_margin_for_clocks", 75, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
