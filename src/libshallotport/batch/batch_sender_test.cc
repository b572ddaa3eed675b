#include "batch/batch_sender.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <variant>

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename T>
std::vector<T> ActionsOf(const std::vector<batch_action>& actions) {
  std::vector<T> out;
  for (const batch_action& action : actions) {
    if (const T* each = std::get_if<T>(&action)) {
      out.push_back(*each);
    }
  }
  return out;
}

batch_endpoint Endpoint(const std::string& id, uint32_t slots) {
  batch_endpoint endpoint;
  endpoint.id = endpoint_id(id);
  endpoint.started = 1;
  endpoint.services = {service_id("model")};
  endpoint.slots = slots;
  endpoint.can_resume = true;
  endpoint.may_start = true;
  endpoint.window.strategy = "greedy";
  return endpoint;
}

// A sender with endpoints; the test replies to its requests.
class sender_fixture {
 public:
  explicit sender_fixture(std::vector<batch_endpoint> endpoints,
                          const batch_sender_settings& settings = {})
      : sender(host_id("a"), 1, settings, 1), view(std::move(endpoints)) {
    sender.SetEndpoints(now, view);
  }

  // Steps the sender and records its actions by type.
  void Step() {
    const auto actions = sender.Step(now);
    std::ranges::copy(ActionsOf<start_batch_call>(actions),
                      std::back_inserter(started));
    std::ranges::copy(ActionsOf<cancel_batch_call>(actions),
                      std::back_inserter(cancelled));
    std::ranges::copy(ActionsOf<begin_item_claim>(actions),
                      std::back_inserter(claims));
    std::ranges::copy(ActionsOf<release_item_claim>(actions),
                      std::back_inserter(released));
    for (const request_record& request : ActionsOf<request_record>(actions)) {
      records.push_back(request.command);
    }
    is_lease_requested |= !ActionsOf<request_lease>(actions).empty();
    is_poll_requested |= !ActionsOf<request_revocations>(actions).empty();
    is_renewal_requested |= !ActionsOf<request_lease_renewal>(actions).empty();
  }

  // Advances the time. The log replies to renewals and revocations queries, or
  // fails them if the host is partitioned.
  void AdvanceTime(duration span, bool is_partitioned = false) {
    const result<lease_changes> reply =
        is_partitioned
            ? result<lease_changes>(MakeError(error_kind::kNotLeader, ""))
            : result<lease_changes>(lease_changes{});
    for (const steady_time end = now + span; now < end;
         now += milliseconds(10)) {
      Step();
      if (std::exchange(is_poll_requested, false)) {
        sender.OnRevocations(now, reply);
      }
      if (std::exchange(is_renewal_requested, false)) {
        sender.OnRenewed(now, reply);
      }
    }
  }

  // Replies to the lease request with `count` items of job 1.
  void GrantLease(uint32_t count,
                  uint32_t suspects = 0,
                  bool is_idempotent = true) {
    leased_work work;
    work.grant.epoch = ++epoch;
    leased_job job;
    job.number = 1;
    job.service = service_id("model");
    job.is_idempotent = is_idempotent;
    work.grant.jobs.push_back(job);
    for (uint32_t i = 0; i < count; ++i) {
      work.grant.items.push_back({{1, next_index++}, i < suspects});
      work.bodies.push_back("body " + std::to_string(i));
    }
    Step();
    ASSERT_TRUE(std::exchange(is_lease_requested, false));
    sender.OnLeased(now, work);
    Step();
  }

  void EndCall(const start_batch_call& call, call_outcome outcome) {
    batch_call_end end;
    end.call = call.call;
    end.outcome = outcome;
    end.body = "answer";
    end.partial = {"half", 5};
    sender.OnCallEnd(now, end);
  }

  steady_time now = steady_time(seconds(10));
  batch_sender sender;
  std::vector<batch_endpoint> view;
  std::vector<start_batch_call> started;
  std::vector<cancel_batch_call> cancelled;
  std::vector<begin_item_claim> claims;
  std::vector<release_item_claim> released;
  std::vector<record_results> records;
  bool is_lease_requested = false;
  bool is_poll_requested = false;
  bool is_renewal_requested = false;
  lease_epoch epoch = 0;
  uint32_t next_index = 0;
};

// Guards against a partitioned host that keeps executing items of a cancelled
// job, or items that the leader has leased to another host since. It stops
// starting items 2 s after the last confirmation of their lease.
TEST(BatchSender, PartitionedHostStopsStartingAndCancelsAtLeaseExpiry) {
  sender_fixture fixture({Endpoint("e", 2)});
  fixture.GrantLease(8);
  EXPECT_EQ(fixture.started.size(), 2U);
  fixture.AdvanceTime(milliseconds(2'100), true);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.AdvanceTime(seconds(1), true);
  EXPECT_EQ(fixture.started.size(), 2U);
  EXPECT_TRUE(fixture.cancelled.empty());
  fixture.AdvanceTime(seconds(10), true);
  ASSERT_EQ(fixture.cancelled.size(), 1U);
  EXPECT_EQ(fixture.cancelled[0].call, fixture.started[1].call);
}

TEST(BatchSender, ResumesStartsWhenTheLogIsReachableAgain) {
  sender_fixture fixture({Endpoint("e", 2)});
  fixture.GrantLease(8);
  fixture.AdvanceTime(seconds(3), true);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.AdvanceTime(seconds(1), false);
  EXPECT_EQ(fixture.started.size(), 3U);
}

// Guards against executing an item again because its result was discarded while
// the log was unreachable.
TEST(BatchSender, KeepsAResultPastLeaseExpiryAndRetriesUntilRecorded) {
  sender_fixture fixture({Endpoint("e", 1)});
  fixture.GrantLease(1);
  fixture.AdvanceTime(seconds(13), true);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.AdvanceTime(milliseconds(200), true);
  ASSERT_EQ(fixture.records.size(), 1U);
  fixture.sender.OnRecorded(fixture.now, MakeError(error_kind::kNoQuorum, ""));
  EXPECT_FALSE(fixture.sender.IsDrained());
  fixture.AdvanceTime(seconds(5), true);
  ASSERT_EQ(fixture.records.size(), 2U);
  EXPECT_EQ(fixture.records[1].results.at(0).outcome, item_outcome::kDone);
  fixture.sender.OnRecorded(fixture.now,
                            results_recorded{{record_status::kRecorded}});
  fixture.sender.OnLeased(fixture.now, leased_work{});
  EXPECT_TRUE(fixture.sender.IsDrained());
}

TEST(BatchSender, RevokedItemsAreCancelledAndTheirResultsDropped) {
  sender_fixture fixture({Endpoint("e", 2)});
  fixture.GrantLease(4);
  fixture.AdvanceTime(milliseconds(100));
  lease_changes changes;
  for (uint32_t i = 0; i < 4; ++i) {
    changes.revoked.push_back({1, i});
  }
  while (!std::exchange(fixture.is_poll_requested, false)) {
    fixture.now += milliseconds(10);
    fixture.Step();
  }
  fixture.sender.OnRevocations(fixture.now, changes);
  fixture.Step();
  EXPECT_EQ(fixture.cancelled.size(), 2U);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.EndCall(fixture.started[1], call_outcome::kCancelled);
  fixture.AdvanceTime(seconds(1));
  EXPECT_EQ(fixture.started.size(), 2U);
  EXPECT_TRUE(fixture.records.empty());
}

TEST(BatchSender, YieldsTheYoungestAndResumesWithItsPartialAnswer) {
  batch_endpoint endpoint = Endpoint("e", 8);
  endpoint.window = {"guarded", 1, 50};
  sender_fixture fixture({endpoint});
  fixture.AdvanceTime(seconds(2));
  // Replies to the first request without items: a lease counts from its
  // request, so items granted now could no longer start.
  fixture.is_lease_requested = false;
  fixture.sender.OnLeased(fixture.now, leased_work{});
  fixture.AdvanceTime(milliseconds(550));
  fixture.GrantLease(7);
  ASSERT_EQ(fixture.started.size(), 7U);
  for (uint32_t online = 1; online <= 2; ++online) {
    fixture.sender.OnOnline(fixture.now, endpoint.id, host_id("b"), 1,
                            {online, online});
  }
  fixture.Step();
  ASSERT_EQ(fixture.cancelled.size(), 2U);
  EXPECT_EQ(fixture.cancelled[0].call, fixture.started[6].call);
  fixture.EndCall(fixture.started[6], call_outcome::kCancelled);
  fixture.EndCall(fixture.started[5], call_outcome::kCancelled);
  fixture.AdvanceTime(milliseconds(500));
  EXPECT_EQ(fixture.started.size(), 7U);
  fixture.sender.OnOnline(fixture.now, endpoint.id, host_id("b"), 1, {9, 0});
  fixture.AdvanceTime(seconds(20));
  ASSERT_EQ(fixture.started.size(), 9U);
  EXPECT_EQ(fixture.started[8].resume.text, "half");
  EXPECT_EQ(fixture.started[8].resume.tokens, 5U);
}

// With two suspects at an endpoint that dies, the item that caused it would be
// unknown.
TEST(BatchSender, StartsAtMostOneSuspectPerEndpoint) {
  sender_fixture fixture({Endpoint("e", 4), Endpoint("f", 4)});
  fixture.GrantLease(6, 6);
  ASSERT_EQ(fixture.started.size(), 2U);
  EXPECT_NE(fixture.started[0].endpoint, fixture.started[1].endpoint);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.Step();
  EXPECT_EQ(fixture.started.size(), 3U);
}

TEST(BatchSender, EndpointThatDiedIsBackedOffUntilItRestarts) {
  sender_fixture fixture({Endpoint("e", 2)});
  fixture.GrantLease(4);
  fixture.EndCall(fixture.started[0], call_outcome::kEndpointDied);
  fixture.EndCall(fixture.started[1], call_outcome::kEndpointDied);
  fixture.AdvanceTime(seconds(4));
  EXPECT_EQ(fixture.started.size(), 2U);
  ++fixture.view[0].started;
  fixture.sender.SetEndpoints(fixture.now, fixture.view);
  fixture.Step();
  EXPECT_EQ(fixture.started.size(), 4U);
  EXPECT_EQ(fixture.records.at(0).results.at(0).outcome,
            item_outcome::kEndpointDied);
}

struct end_case {
  const char* name;
  bool is_idempotent;
  call_outcome end;
  item_outcome recorded;
};

class call_end_test : public testing::TestWithParam<end_case> {};

TEST_P(call_end_test, IsRecordedByItsKind) {
  sender_fixture fixture({Endpoint("e", 1)});
  fixture.GrantLease(1, 0, GetParam().is_idempotent);
  if (!GetParam().is_idempotent) {
    ASSERT_EQ(fixture.claims.size(), 1U);
    EXPECT_TRUE(fixture.started.empty());
    fixture.sender.OnClaim(fixture.now, {1, 0}, item_claim::kMayRun, "");
    fixture.Step();
  }
  ASSERT_EQ(fixture.started.size(), 1U);
  fixture.EndCall(fixture.started[0], GetParam().end);
  fixture.AdvanceTime(milliseconds(200));
  ASSERT_EQ(fixture.records.size(), 1U);
  EXPECT_EQ(fixture.records[0].results.at(0).outcome, GetParam().recorded);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    call_end_test,
    testing::Values(
        end_case{"Done", true, call_outcome::kDone, item_outcome::kDone},
        end_case{"Rejected", true, call_outcome::kRejected,
                 item_outcome::kFailed},
        end_case{"Failed", true, call_outcome::kFailed, item_outcome::kRetry},
        end_case{"Died", true, call_outcome::kEndpointDied,
                 item_outcome::kEndpointDied},
        end_case{"ClaimedDone", false, call_outcome::kDone,
                 item_outcome::kDone},
        end_case{"ClaimedFailed", false, call_outcome::kFailed,
                 item_outcome::kFailed},
        end_case{"ClaimedDied", false, call_outcome::kEndpointDied,
                 item_outcome::kFailed},
        end_case{"ClaimedCancelled", false, call_outcome::kCancelled,
                 item_outcome::kFailed}),
    [](const auto& each) { return each.param.name; });

// Guards against a claim that stays held after its item was dropped, so that no
// other host could execute the item.
TEST(BatchSender, ClaimGrantedAfterTheLeaseExpiredIsReleased) {
  sender_fixture fixture({Endpoint("e", 1)});
  fixture.GrantLease(1, 0, false);
  fixture.AdvanceTime(seconds(13), true);
  fixture.sender.OnClaim(fixture.now, {1, 0}, item_claim::kMayRun, "");
  fixture.Step();
  EXPECT_TRUE(fixture.started.empty());
  EXPECT_EQ(fixture.released.size(), 1U);
}

TEST(BatchSender, StartsNothingWhenTooManyResultsAreHeld) {
  batch_sender_settings settings;
  settings.max_held_results = 2;
  sender_fixture fixture({Endpoint("e", 2)}, settings);
  fixture.GrantLease(4);
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.EndCall(fixture.started[1], call_outcome::kDone);
  fixture.AdvanceTime(seconds(1));
  EXPECT_EQ(fixture.started.size(), 2U);
  EXPECT_FALSE(fixture.is_lease_requested);
}

// Guards against a drain that never ends because results cannot be recorded.
TEST(BatchSender, DrainEndsWithoutTheLog) {
  sender_fixture fixture({Endpoint("e", 1)});
  fixture.GrantLease(1);
  fixture.sender.BeginDrain();
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.Step();
  if (fixture.is_lease_requested) {
    fixture.sender.OnLeased(fixture.now, MakeError(error_kind::kNoQuorum, ""));
  }
  EXPECT_FALSE(fixture.sender.IsDrained());
  fixture.sender.OnRecorded(fixture.now, MakeError(error_kind::kNoQuorum, ""));
  EXPECT_TRUE(fixture.sender.IsDrained());
}

TEST(BatchSender, DrainReturnsUnstartedItems) {
  sender_fixture fixture({Endpoint("e", 2)});
  fixture.GrantLease(5);
  fixture.sender.BeginDrain();
  fixture.Step();
  ASSERT_EQ(fixture.records.size(), 1U);
  EXPECT_EQ(fixture.records[0].results.size(), 3U);
  EXPECT_EQ(fixture.records[0].results[0].outcome, item_outcome::kReturned);
  fixture.sender.OnRecorded(fixture.now,
                            results_recorded{std::vector<record_status>(3)});
  fixture.EndCall(fixture.started[0], call_outcome::kDone);
  fixture.EndCall(fixture.started[1], call_outcome::kDone);
  fixture.Step();
  fixture.sender.OnRecorded(fixture.now,
                            results_recorded{std::vector<record_status>(2)});
  EXPECT_TRUE(fixture.sender.IsDrained());
}

}  // namespace
}  // namespace shallotport
