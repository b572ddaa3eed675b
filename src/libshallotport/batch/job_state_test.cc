#include "batch/job_state.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "batch/test_log.h"

namespace shallotport {
namespace {

using enum item_outcome;

template <typename T>
error_kind KindOf(const result<T>& outcome) {
  return IsOk(outcome) ? error_kind::kInternal : ErrorOf(outcome).kind;
}

TEST(JobState, RepeatedKeyReturnsTheSameJobAndAnotherDigestIsRefused) {
  job_bench bench;
  create_job request = bench.Request("north", "nightly");
  const job_created first = ValueOf(bench.client.Create(request, {}));
  const job_created again = ValueOf(bench.client.Create(request, {}));
  EXPECT_EQ(first.id, again.id);
  EXPECT_TRUE(again.existed);
  request.digest = "other";
  EXPECT_EQ(KindOf(bench.client.Create(request, {})), error_kind::kConflict);
  // Keys are scoped to the account.
  request.account = account_id("south");
  EXPECT_NE(ValueOf(bench.client.Create(request, {})).id, first.id);
}

struct upload_case {
  const char* name;
  uint32_t first;
  size_t count;
  error_kind refusal;  // kInternal: accepted.
  uint32_t next;
};

class upload_test : public testing::TestWithParam<upload_case> {};

// Each case adds to a job of three items.
TEST_P(upload_test, IsIdempotentAndRefusesGaps) {
  job_bench bench;
  const create_job request = bench.Request("north", "k");
  const job_id id = ValueOf(bench.client.Create(request, {})).id;
  bench.client.Add({request.account, id, 0, {"a", "b", "c"}}, {});
  const auto added =
      bench.client.Add({request.account, id, GetParam().first,
                        std::vector<std::string>(GetParam().count, "x")},
                       {});
  EXPECT_EQ(KindOf(added), GetParam().refusal);
  EXPECT_EQ(bench.Status("north", id).counts.total, GetParam().next);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    upload_test,
    testing::Values(upload_case{"Next", 3, 2, error_kind::kInternal, 5},
                    upload_case{"WholeResend", 0, 3, error_kind::kInternal, 3},
                    upload_case{"Overlap", 1, 4, error_kind::kInternal, 5},
                    upload_case{"Gap", 4, 1, error_kind::kConflict, 3},
                    upload_case{"TooMany", 3, 200'000, error_kind::kTooLarge,
                                3}),
    [](const auto& each) { return each.param.name; });

TEST(JobState, NoItemIsLeasedBeforeTheSealNorAddedAfterIt) {
  job_bench bench;
  const create_job request = bench.Request("north", "k");
  const job_id id = ValueOf(bench.client.Create(request, {})).id;
  bench.client.Add({request.account, id, 0, {"a", "b"}}, {});
  EXPECT_TRUE(bench.Lease("a", 8).grant.items.empty());
  EXPECT_EQ(KindOf(bench.client.Seal({request.account, id, 3}, {})),
            error_kind::kConflict);
  EXPECT_TRUE(IsOk(bench.client.Seal({request.account, id, 2}, {})));
  EXPECT_EQ(KindOf(bench.client.Add({request.account, id, 2, {"c"}}, {})),
            error_kind::kConflict);
  EXPECT_EQ(bench.Lease("a", 8).bodies, (std::vector<std::string>{"a", "b"}));
}

TEST(JobState, AnotherAccountsJobIsNotFound) {
  job_bench bench;
  const job_id id = bench.Submit("north", 1);
  const account_id other("south");
  EXPECT_EQ(KindOf(bench.client.Status({other, id}, {})),
            error_kind::kNotFound);
  EXPECT_EQ(KindOf(bench.client.Results({other, id}, {})),
            error_kind::kNotFound);
  EXPECT_EQ(KindOf(bench.client.Cancel({other, id}, {})),
            error_kind::kNotFound);
  EXPECT_EQ(KindOf(bench.client.Delete({other, id}, {})),
            error_kind::kNotFound);
  EXPECT_EQ(KindOf(bench.client.Add({other, id, 1, {"x"}}, {})),
            error_kind::kNotFound);
  EXPECT_TRUE(ValueOf(bench.client.List({other, job_id()}, {})).jobs.empty());
  // Operators name no account.
  EXPECT_TRUE(IsOk(bench.client.Status({account_id(), id}, {})));
  EXPECT_TRUE(IsOk(bench.client.Cancel({account_id(), id}, {})));
}

// Each case leases the only item, performs one event, then records a result
// under the first lease and checks the item's outcome.
struct completion_case {
  const char* name;
  std::string between;  // Event before the result arrives.
  item_outcome outcome;
  record_status expected;
  uint32_t done;
};

class completion_test : public testing::TestWithParam<completion_case> {};

TEST_P(completion_test, FirstRecordedResultWins) {
  job_bench bench;
  const job_id id = bench.Submit("north", 1);
  const leased_work first = bench.Lease("a", 1);
  const item_ref ref = first.grant.items.at(0).ref;
  const std::string& between = GetParam().between;
  if (between == "expire" || between == "release") {
    bench.log.leader_time += 10'000;
    bench.client.Expire({});
  }
  if (between == "release") {
    const leased_work second = bench.Lease("b", 1);
    EXPECT_GT(second.grant.epoch, first.grant.epoch);
  }
  if (between == "done") {
    bench.Record(ref, first.grant.epoch, kDone, "first");
  }
  if (between == "cancel") {
    bench.client.Cancel({account_id("north"), id}, {});
  }
  EXPECT_EQ(bench.Record(ref, first.grant.epoch, GetParam().outcome, "late"),
            GetParam().expected);
  const job_status status = bench.Status("north", id);
  EXPECT_EQ(status.counts.done, GetParam().done);
  const results_page page =
      ValueOf(bench.client.Results({account_id("north"), id}, {}));
  if (between == "done") {
    EXPECT_EQ(page.lines.at(0).body, "first");
    EXPECT_EQ(status.counts.duplicates, 1U);
  } else if (between == "cancel") {
    EXPECT_EQ(page.lines.at(0).outcome, final_outcome::kCancelled);
  } else if (GetParam().done == 1) {
    EXPECT_EQ(page.lines.at(0).body, "late");
    EXPECT_EQ(status.phase, job_phase::kFinished);
  }
  EXPECT_TRUE(between != "release" || GetParam().done == 0 ||
              ValueOf(bench.client.Renew({host_id("b"), 1, {2}, 1'000}, {}))
                      .revoked.size() == 1);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    completion_test,
    testing::Values(completion_case{"InTime", "", kDone,
                                    record_status::kRecorded, 1},
                    completion_case{"AfterExpiry", "expire", kDone,
                                    record_status::kRecorded, 1},
                    completion_case{"LateFailureDoesNotCount", "expire",
                                    kFailed, record_status::kStale, 0},
                    completion_case{"HeldByAnother", "release", kDone,
                                    record_status::kRecorded, 1},
                    completion_case{"LateRetryWhileHeld", "release", kRetry,
                                    record_status::kStale, 0},
                    completion_case{"Duplicate", "done", kDone,
                                    record_status::kDuplicate, 1},
                    completion_case{"FailureAfterDone", "done", kFailed,
                                    record_status::kDuplicate, 1},
                    completion_case{"AfterCancel", "cancel", kDone,
                                    record_status::kCancelled, 0}),
    [](const auto& each) { return each.param.name; });

// Each case fails the only item the same way until its job ends.
struct retry_case {
  const char* name;
  item_outcome outcome;
  uint32_t max_attempts;
  uint32_t leases;  // How often the item is leased.
  uint32_t attempts;
};

class retry_test : public testing::TestWithParam<retry_case> {};

TEST_P(retry_test, EndsAsFailedWithItsError) {
  job_bench bench;
  create_job request = bench.Request("north", "");
  request.max_attempts = GetParam().max_attempts;
  const job_id id = bench.Submit(request, 1);
  uint32_t leases = 0;
  for (leased_work work = bench.Lease("a", 1); !work.grant.items.empty();
       work = bench.Lease("a", 1)) {
    ASSERT_LE(++leases, 20U);
    bench.Record(work.grant.items[0].ref, work.grant.epoch, GetParam().outcome,
                 "out of memory");
  }
  EXPECT_EQ(leases, GetParam().leases);
  EXPECT_EQ(bench.Status("north", id).phase, job_phase::kFinished);
  const result_line line =
      ValueOf(bench.client.Results({account_id("north"), id}, {})).lines.at(0);
  EXPECT_EQ(line.outcome, final_outcome::kFailed);
  EXPECT_EQ(line.kind, error_kind::kEndpointFailed);
  EXPECT_EQ(line.attempts, GetParam().attempts);
  EXPECT_EQ(line.body, "out of memory");
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         retry_test,
                         testing::Values(retry_case{"Final", kFailed, 3, 1, 1},
                                         retry_case{"One", kRetry, 1, 1, 1},
                                         retry_case{"Three", kRetry, 3, 3, 3},
                                         retry_case{"Deaths", kEndpointDied, 9,
                                                    2, 2}),
                         [](const auto& each) { return each.param.name; });

TEST(JobState, ItemWhoseLeasesAllExpireFailsWithOutcomeUnknown) {
  job_bench bench;
  const job_id id = bench.Submit("north", 1);
  for (int i = 0; i < 8; ++i) {
    ASSERT_EQ(bench.Lease("a", 1).grant.items.size(), 1U);
    bench.log.leader_time += 10'000;
    EXPECT_EQ(ValueOf(bench.client.Expire({})).leases, 1U);
  }
  EXPECT_TRUE(bench.Lease("a", 1).grant.items.empty());
  EXPECT_EQ(ValueOf(bench.client.Results({account_id("north"), id}, {}))
                .lines.at(0)
                .kind,
            error_kind::kOutcomeUnknown);
}

TEST(JobState, ReturnedItemsDoNotCountAsAttempts) {
  job_bench bench;
  bench.Submit("north", 1);
  for (int i = 0; i < 50; ++i) {
    const leased_work work = bench.Lease("a", 1);
    ASSERT_EQ(work.grant.items.size(), 1U);
    EXPECT_FALSE(work.grant.items[0].is_suspect);
    bench.Record(work.grant.items[0].ref, work.grant.epoch, kReturned, "");
  }
}

TEST(JobState, RestartedHostLosesItsLeasesImmediately) {
  job_bench bench;
  bench.Submit("north", 2);
  EXPECT_EQ(bench.Lease("a", 2, 1).grant.items.size(), 2U);
  EXPECT_EQ(bench.Lease("a", 2, 2).grant.items.size(), 2U);
  EXPECT_EQ(KindOf(bench.client.Lease(
                {host_id("a"), 1, {service_id("model")}, 1, 1'000}, {})),
            error_kind::kConflict);
  EXPECT_EQ(
      ValueOf(bench.client.Renew({host_id("a"), 1, {1}, 1'000}, {})).ended,
      std::vector<lease_epoch>{1});
}

TEST(JobState, RenewedLeaseOutlivesItsFirstExpiry) {
  job_bench bench;
  bench.Submit("north", 1);
  bench.Lease("a", 1);
  bench.log.leader_time += 9'000;
  bench.client.Renew({host_id("a"), 1, {1}, 10'000}, {});
  bench.log.leader_time += 9'000;
  EXPECT_EQ(ValueOf(bench.client.Expire({})).leases, 0U);
  bench.log.leader_time += 1'000;
  EXPECT_EQ(ValueOf(bench.client.Expire({})).leases, 1U);
}

// A poison item takes its endpoint down and makes suspects of all items in
// flight there. Suspects are leased after all other items and few at a time,
// and only the poison item fails.
TEST(JobState, SuspectsAreLeasedLastAndFewAtATime) {
  job_bench bench;
  const job_id id = bench.Submit("north", 40);
  const leased_work first = bench.Lease("a", 16);
  for (const leased_item& item : first.grant.items) {
    bench.Record(item.ref, first.grant.epoch, kEndpointDied, "gone");
  }
  const leased_work rest = bench.Lease("a", 24);
  for (const leased_item& item : rest.grant.items) {
    EXPECT_GE(item.ref.index, 16U);
    bench.Record(item.ref, rest.grant.epoch, kDone, "ok");
  }
  std::vector<size_t> rounds;
  for (leased_work work = bench.Lease("a", 64); !work.grant.items.empty();
       work = bench.Lease("a", 64)) {
    rounds.push_back(work.grant.items.size());
    for (const leased_item& item : work.grant.items) {
      EXPECT_TRUE(item.is_suspect);
      bench.Record(item.ref, work.grant.epoch,
                   item.ref.index == 3 ? kEndpointDied : kDone, "x");
    }
  }
  EXPECT_EQ(rounds.front(), 2U);
  EXPECT_LE(rounds.size(), 6U);
  const job_status status = bench.Status("north", id);
  EXPECT_EQ(status.phase, job_phase::kFinished);
  EXPECT_EQ(status.counts.failed, 1U);
  EXPECT_EQ(status.counts.done, 39U);
}

TEST(JobState, CancelRevokesLeasedItemsAndStopsLeasing) {
  job_bench bench;
  const job_id id = bench.Submit("north", 10);
  const leased_work work = bench.Lease("a", 4);
  bench.Record(work.grant.items[0].ref, work.grant.epoch, kDone, "ok");
  const job_status status =
      ValueOf(bench.client.Cancel({account_id("north"), id}, {}));
  EXPECT_EQ(status.phase, job_phase::kCancelled);
  EXPECT_EQ(status.counts.cancelled, 9U);
  EXPECT_TRUE(bench.Lease("a", 4).grant.items.empty());
  const revocations_query poll{host_id("a"), 1, {work.grant.epoch}};
  EXPECT_EQ(ValueOf(bench.client.Revocations(poll, {})).revoked.size(), 3U);
  const results_page page =
      ValueOf(bench.client.Results({account_id("north"), id}, {}));
  EXPECT_EQ(page.lines.size(), 10U);
  EXPECT_EQ(page.lines[0].outcome, final_outcome::kDone);
}

TEST(JobState, CancelAfterTheEndKeepsThePhase) {
  job_bench bench;
  const job_id id = bench.Submit("north", 1);
  const leased_work work = bench.Lease("a", 1);
  bench.Record(work.grant.items[0].ref, work.grant.epoch, kDone, "ok");
  EXPECT_EQ(ValueOf(bench.client.Cancel({account_id("north"), id}, {})).phase,
            job_phase::kFinished);
}

TEST(JobState, KeyOfRemovedJobIsRefusedUntilItExpires) {
  job_state_settings settings;
  settings.retention_ms = 1'000;
  settings.key_horizon_ms = 5'000;
  job_bench bench(settings);
  const create_job request = bench.Request("north", "k");
  const job_id id = bench.Submit(request, 1);
  const leased_work work = bench.Lease("a", 1);
  bench.Record(work.grant.items[0].ref, work.grant.epoch, kDone, "ok");
  bench.log.leader_time += 1'000;
  EXPECT_EQ(bench.state.NextExpiry(), bench.log.leader_time);
  EXPECT_EQ(ValueOf(bench.client.Expire({})).jobs, 1U);
  EXPECT_EQ(KindOf(bench.client.Status({account_id("north"), id}, {})),
            error_kind::kNotFound);
  EXPECT_EQ(KindOf(bench.client.Create(request, {})), error_kind::kKeyExpired);
  bench.log.leader_time += 5'000;
  bench.client.Expire({});
  EXPECT_TRUE(IsOk(bench.client.Create(request, {})));
  EXPECT_EQ(bench.payloads.size(), 0U);
}

TEST(JobState, AbandonedUploadEndsAsCancelled) {
  job_bench bench;
  const create_job request = bench.Request("north", "k");
  const job_id id = ValueOf(bench.client.Create(request, {})).id;
  bench.client.Add({request.account, id, 0, {"a"}}, {});
  bench.log.leader_time += 3'600'000;
  bench.client.Expire({});
  EXPECT_EQ(bench.Status("north", id).phase, job_phase::kCancelled);
}

TEST(JobState, ResultsAndListsArePagedWithinTheirLimits) {
  job_bench bench;
  const job_id id = bench.Submit("north", 100);
  const leased_work work = bench.Lease("a", 100);
  for (const leased_item& item : work.grant.items) {
    bench.Record(item.ref, work.grant.epoch, kDone, std::string(100, 'x'));
  }
  uint32_t from = 0;
  int pages = 0;
  bool has_more = true;
  while (has_more) {
    const results_page page = ValueOf(
        bench.client.Results({account_id("north"), id, from, 1'000}, {}));
    EXPECT_LE(page.lines.size(), 10U);
    EXPECT_EQ(page.lines.front().index, from);
    from = page.next_index;
    has_more = page.has_more;
    ++pages;
  }
  EXPECT_EQ(from, 100U);
  EXPECT_EQ(pages, 13);
  bench.Submit("north", 1);
  bench.Submit("south", 1);
  const job_list first =
      ValueOf(bench.client.List({account_id("north"), job_id(), 1}, {}));
  EXPECT_TRUE(first.has_more);
  const job_list second = ValueOf(
      bench.client.List({account_id("north"), first.jobs.at(0).id, 5}, {}));
  EXPECT_EQ(second.jobs.size(), 1U);
  EXPECT_FALSE(second.has_more);
  EXPECT_EQ(
      ValueOf(bench.client.List({account_id(), job_id(), 9}, {})).jobs.size(),
      3U);
}

TEST(JobState, FullPayloadStoreMakesTheMemberUnhealthy) {
  memory_payloads payloads(10);
  job_state state({}, payloads);
  test_log log(state);
  job_client client(log);
  create_job request;
  request.account = account_id("north");
  request.service = service_id("model");
  request.path = "/";
  request.deadline = log.leader_time + 1;
  const job_id id = ValueOf(client.Create(request, {})).id;
  client.Add({request.account, id, 0, {"0123456789", "x"}}, {});
  EXPECT_FALSE(IsOk(state.health()));
  EXPECT_EQ(KindOf(client.Status({request.account, id}, {})),
            error_kind::kStorageFailed);
  std::ostringstream out;
  EXPECT_FALSE(IsOk(state.BeginSnapshot()->Write(out)));
}

// ---- Lease order ----

struct order_job {
  std::string account;
  uint32_t weight;
  uint32_t items;
  int64_t deadline_minutes;
};

struct order_case {
  const char* name;
  std::vector<order_job> jobs;
  uint32_t leased;                   // In leases of eight.
  std::vector<uint32_t> min_of_job;  // Lower bound for each job.
};

class lease_order_test : public testing::TestWithParam<order_case> {};

TEST_P(lease_order_test, LeasesTheMinimumOfEachJob) {
  job_bench bench;
  std::map<job_number, size_t> positions;
  for (const order_job& each : GetParam().jobs) {
    create_job request = bench.Request(each.account, "");
    request.account_weight = each.weight;
    request.deadline = bench.log.leader_time + each.deadline_minutes * 60'000;
    positions[bench.log.index + 1] = positions.size();
    bench.Submit(request, each.items);
  }
  std::vector<uint32_t> leased_of_job(GetParam().jobs.size());
  for (uint32_t leased = 0; leased < GetParam().leased; leased += 8) {
    for (const leased_item& item : bench.Lease("a", 8).grant.items) {
      ++leased_of_job[positions.at(item.ref.job)];
    }
  }
  for (size_t i = 0; i < leased_of_job.size(); ++i) {
    EXPECT_GE(leased_of_job[i], GetParam().min_of_job[i]) << "job " << i;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    lease_order_test,
    testing::Values(order_case{"EarlierDeadlineFirst",
                               {{"a", 1, 200, 600}, {"a", 1, 200, 60}},
                               80,
                               {0, 60}},
                    order_case{"AccountsShareAlike",
                               {{"a", 1, 500, 60}, {"b", 1, 500, 600}},
                               80,
                               {40, 40}},
                    order_case{"ByWeight",
                               {{"a", 3, 500, 60}, {"b", 1, 500, 60}},
                               80,
                               {60, 20}},
                    order_case{"SmallBesideHuge",
                               {{"a", 1, 20'000, 60}, {"a", 1, 10, 600}},
                               48,
                               {36, 10}},
                    order_case{"UrgentGoesFirst",
                               {{"a", 1, 500, 600}, {"b", 1, 500, 5}},
                               80,
                               {20, 60}},
                    order_case{"UrgentLeavesAPart",
                               {{"a", 1, 500, 5}, {"b", 1, 500, 600}},
                               80,
                               {60, 19}}),
    [](const auto& each) { return each.param.name; });

// ---- Expected end ----

TEST(JobState, OutlookIsLateIfTheExpectedEndMissesTheDeadline) {
  job_bench bench;
  bench.Submit("north", 30);
  for (int i = 0; i < 25; ++i) {
    const leased_work work = bench.Lease("a", 1);
    bench.log.leader_time += 1'000;
    bench.Record(work.grant.items[0].ref, work.grant.epoch, kDone, "ok");
  }
  // The throughput is one item a second; five items of the first job remain.
  create_job request = bench.Request("south", "");
  request.deadline = bench.log.leader_time + 60'000;
  const job_status late = bench.Status("south", bench.Submit(request, 90));
  EXPECT_EQ(late.outlook, deadline_outlook::kLate);
  EXPECT_GT(late.expected_end, request.deadline);
  const job_status after_late = bench.Status("south", bench.Submit(request, 1));
  EXPECT_EQ(after_late.outlook,
            deadline_outlook::kLate);  // The 90 items come first.
  request.deadline = bench.log.leader_time + 50'000;
  const job_status early = bench.Status("south", bench.Submit(request, 40));
  EXPECT_EQ(early.outlook, deadline_outlook::kOnTime);
  request.deadline = bench.log.leader_time;
  EXPECT_EQ(KindOf(bench.client.Create(request, {})),
            error_kind::kDeadlineUnreachable);
}

// ---- Snapshots ----

TEST(JobState, SnapshotHoldsTheStateAtItsBeginning) {
  job_bench bench;
  const job_id ended = bench.Submit(bench.Request("north", "k1"), 2);
  const leased_work done = bench.Lease("a", 2);
  for (const leased_item& item : done.grant.items) {
    bench.Record(item.ref, done.grant.epoch, kDone, "ok");
  }
  const job_id half = bench.Submit(bench.Request("north", "k2"), 5000);
  const leased_work work = bench.Lease("a", 3);
  bench.Record(work.grant.items[0].ref, work.grant.epoch, kDone, "first");
  const job_id cancelled = bench.Submit("south", 3);
  bench.client.Cancel({account_id("south"), cancelled}, {});
  const auto writer = bench.state.BeginSnapshot();
  // Later changes are not in the snapshot, though they release payloads that it
  // still reads.
  bench.Record(work.grant.items[1].ref, work.grant.epoch, kDone, "second");
  bench.client.Cancel({account_id("north"), half}, {});
  bench.client.Delete({account_id("north"), ended}, {});
  std::stringstream file;
  ASSERT_TRUE(IsOk(writer->Write(file)));

  memory_payloads payloads;
  job_state other({}, payloads);
  ASSERT_TRUE(IsOk(other.LoadSnapshot(file)));
  bench.log.SetState(other);
  EXPECT_EQ(bench.Status("north", ended).counts.done, 2U);
  EXPECT_EQ(ValueOf(bench.client.Results({account_id("north"), ended}, {}))
                .lines.at(1)
                .body,
            "ok");
  const job_status status = bench.Status("north", half);
  EXPECT_EQ(status.phase, job_phase::kRunning);
  EXPECT_EQ(status.counts.done, 1U);
  EXPECT_EQ(status.counts.leased, 2U);
  EXPECT_EQ(bench.Status("south", cancelled).counts.cancelled, 3U);
  EXPECT_EQ(bench.Record(work.grant.items[1].ref, work.grant.epoch, kDone, "x"),
            record_status::kRecorded);
  EXPECT_TRUE(
      ValueOf(bench.client.Create(bench.Request("north", "k2"), {})).existed);
  // A truncated file is refused and leaves the state unchanged.
  std::istringstream cut(file.str().substr(0, file.str().size() / 2));
  EXPECT_FALSE(IsOk(other.LoadSnapshot(cut)));
  EXPECT_EQ(bench.Status("north", half).counts.done, 2U);
}

}  // namespace
}  // namespace shallotport
