#include "batch/batch_sender.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <variant>

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename T>
std::vector<T> Only(const std::vector<batch_action>& actions) {
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

// A sender with endpoints, whose asks the test answers.
class sender_bench {
 public:
  explicit sender_bench(std::vector<batch_endpoint> endpoints,
                        const batch_sender_settings& settings = {})
      : sender(host_id("a"), 1, settings, 1), view(std::move(endpoints)) {
    sender.SetEndpoints(now, view);
  }

  // Steps and sorts the actions.
  void Step() {
    const auto actions = sender.Step(now);
    std::ranges::copy(Only<start_batch_call>(actions),
                      std::back_inserter(started));
    std::ranges::copy(Only<cancel_batch_call>(actions),
                      std::back_inserter(cancelled));
    std::ranges::copy(Only<begin_item_claim>(actions),
                      std::back_inserter(claims));
    std::ranges::copy(Only<release_item_claim>(actions),
                      std::back_inserter(released));
    for (const ask_record& ask : Only<ask_record>(actions)) {
      records.push_back(ask.command);
    }
    is_lease_asked |= !Only<ask_lease>(actions).empty();
    is_poll_asked |= !Only<ask_revocations>(actions).empty();
    is_renewal_asked |= !Only<ask_renewal>(actions).empty();
  }

  // Lets time pass; the log answers polls and renewals, or fails them.
  void Pass(duration span, bool is_cut = false) {
    const result<lease_changes> reply =
        is_cut ? result<lease_changes>(MakeError(error_kind::kNotLeader, ""))
               : result<lease_changes>(lease_changes{});
    for (const steady_time end = now + span; now < end;
         now += milliseconds(10)) {
      Step();
      if (std::exchange(is_poll_asked, false)) {
        sender.OnRevocations(now, reply);
      }
      if (std::exchange(is_renewal_asked, false)) {
        sender.OnRenewed(now, reply);
      }
    }
  }

  // Answers the lease ask with `count` items of job 1.
  void Grant(uint32_t count, uint32_t suspects = 0, bool is_idempotent = true) {
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
    ASSERT_TRUE(std::exchange(is_lease_asked, false));
    sender.OnLeased(now, work);
    Step();
  }

  void End(const start_batch_call& call, call_outcome outcome) {
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
  bool is_lease_asked = false;
  bool is_poll_asked = false;
  bool is_renewal_asked = false;
  lease_epoch epoch = 0;
  uint32_t next_index = 0;
};

TEST(BatchSender, CutOffHolderStartsNothingAfterTwoSecondsAndStopsAtLeaseEnd) {
  sender_bench bench({Endpoint("e", 2)});
  bench.Grant(8);
  EXPECT_EQ(bench.started.size(), 2U);
  bench.Pass(milliseconds(2'100), true);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.Pass(seconds(1), true);
  EXPECT_EQ(bench.started.size(), 2U);
  EXPECT_TRUE(bench.cancelled.empty());
  bench.Pass(seconds(10), true);
  ASSERT_EQ(bench.cancelled.size(), 1U);
  EXPECT_EQ(bench.cancelled[0].call, bench.started[1].call);
}

TEST(BatchSender, GoesOnWhenTheLogIsHeardFromAgain) {
  sender_bench bench({Endpoint("e", 2)});
  bench.Grant(8);
  bench.Pass(seconds(3), true);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.Pass(seconds(1), false);
  EXPECT_EQ(bench.started.size(), 3U);
}

TEST(BatchSender, KeepsAResultOverItsLeaseEndAndOffersItUntilRecorded) {
  sender_bench bench({Endpoint("e", 1)});
  bench.Grant(1);
  bench.Pass(seconds(13), true);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.Pass(milliseconds(200), true);
  ASSERT_EQ(bench.records.size(), 1U);
  bench.sender.OnRecorded(bench.now, MakeError(error_kind::kNoQuorum, ""));
  EXPECT_FALSE(bench.sender.IsDrained());
  bench.Pass(seconds(5), true);
  ASSERT_EQ(bench.records.size(), 2U);
  EXPECT_EQ(bench.records[1].results.at(0).outcome, item_outcome::kDone);
  bench.sender.OnRecorded(bench.now,
                          results_recorded{{record_status::kRecorded}});
  bench.sender.OnLeased(bench.now, leased_work{});
  EXPECT_TRUE(bench.sender.IsDrained());
}

TEST(BatchSender, RevokedItemsAreCancelledAndTheirResultsDropped) {
  sender_bench bench({Endpoint("e", 2)});
  bench.Grant(4);
  bench.Pass(milliseconds(100));
  lease_changes changes;
  for (uint32_t i = 0; i < 4; ++i) {
    changes.revoked.push_back({1, i});
  }
  while (!std::exchange(bench.is_poll_asked, false)) {
    bench.now += milliseconds(10);
    bench.Step();
  }
  bench.sender.OnRevocations(bench.now, changes);
  bench.Step();
  EXPECT_EQ(bench.cancelled.size(), 2U);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.End(bench.started[1], call_outcome::kCancelled);
  bench.Pass(seconds(1));
  EXPECT_EQ(bench.started.size(), 2U);
  EXPECT_TRUE(bench.records.empty());
}

TEST(BatchSender, YieldsTheYoungestAndResumesItWithWhatItHad) {
  batch_endpoint endpoint = Endpoint("e", 8);
  endpoint.window = {"guarded", 1, 50};
  sender_bench bench({endpoint});
  bench.Pass(seconds(2));
  // An old ask; what it grants would be too old to start.
  bench.is_lease_asked = false;
  bench.sender.OnLeased(bench.now, leased_work{});
  bench.Pass(milliseconds(550));
  bench.Grant(7);
  ASSERT_EQ(bench.started.size(), 7U);
  for (uint32_t online = 1; online <= 2; ++online) {
    bench.sender.OnOnline(bench.now, endpoint.id, host_id("b"), 1,
                          {online, online});
  }
  bench.Step();
  ASSERT_EQ(bench.cancelled.size(), 2U);
  EXPECT_EQ(bench.cancelled[0].call, bench.started[6].call);
  bench.End(bench.started[6], call_outcome::kCancelled);
  bench.End(bench.started[5], call_outcome::kCancelled);
  bench.Pass(milliseconds(500));
  EXPECT_EQ(bench.started.size(), 7U);
  bench.sender.OnOnline(bench.now, endpoint.id, host_id("b"), 1, {9, 0});
  bench.Pass(seconds(20));
  ASSERT_EQ(bench.started.size(), 9U);
  EXPECT_EQ(bench.started[8].resume.text, "half");
  EXPECT_EQ(bench.started[8].resume.tokens, 5U);
}

TEST(BatchSender, NeverTwoSuspectsAtOneEndpoint) {
  sender_bench bench({Endpoint("e", 4), Endpoint("f", 4)});
  bench.Grant(6, 6);
  ASSERT_EQ(bench.started.size(), 2U);
  EXPECT_NE(bench.started[0].endpoint, bench.started[1].endpoint);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.Step();
  EXPECT_EQ(bench.started.size(), 3U);
}

TEST(BatchSender, EndpointThatDiedIsLeftAloneForAWhile) {
  sender_bench bench({Endpoint("e", 2)});
  bench.Grant(4);
  bench.End(bench.started[0], call_outcome::kEndpointDied);
  bench.End(bench.started[1], call_outcome::kEndpointDied);
  bench.Pass(seconds(4));
  EXPECT_EQ(bench.started.size(), 2U);
  ++bench.view[0].started;
  bench.sender.SetEndpoints(bench.now, bench.view);
  bench.Step();
  EXPECT_EQ(bench.started.size(), 4U);
  EXPECT_EQ(bench.records.at(0).results.at(0).outcome,
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
  sender_bench bench({Endpoint("e", 1)});
  bench.Grant(1, 0, GetParam().is_idempotent);
  if (!GetParam().is_idempotent) {
    ASSERT_EQ(bench.claims.size(), 1U);
    EXPECT_TRUE(bench.started.empty());
    bench.sender.OnClaim(bench.now, {1, 0}, item_claim::kMayRun, "");
    bench.Step();
  }
  ASSERT_EQ(bench.started.size(), 1U);
  bench.End(bench.started[0], GetParam().end);
  bench.Pass(milliseconds(200));
  ASSERT_EQ(bench.records.size(), 1U);
  EXPECT_EQ(bench.records[0].results.at(0).outcome, GetParam().recorded);
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

TEST(BatchSender, ClaimGrantedAfterTheItemWasLostIsGivenBack) {
  sender_bench bench({Endpoint("e", 1)});
  bench.Grant(1, 0, false);
  bench.Pass(seconds(13), true);
  bench.sender.OnClaim(bench.now, {1, 0}, item_claim::kMayRun, "");
  bench.Step();
  EXPECT_TRUE(bench.started.empty());
  EXPECT_EQ(bench.released.size(), 1U);
}

TEST(BatchSender, StopsWhenTooManyResultsAreHeld) {
  batch_sender_settings settings;
  settings.max_held_results = 2;
  sender_bench bench({Endpoint("e", 2)}, settings);
  bench.Grant(4);
  bench.End(bench.started[0], call_outcome::kDone);
  bench.End(bench.started[1], call_outcome::kDone);
  bench.Pass(seconds(1));
  EXPECT_EQ(bench.started.size(), 2U);
  EXPECT_FALSE(bench.is_lease_asked);
}

TEST(BatchSender, DrainEndsWithoutTheLog) {
  sender_bench bench({Endpoint("e", 1)});
  bench.Grant(1);
  bench.sender.BeginDrain();
  bench.End(bench.started[0], call_outcome::kDone);
  bench.Step();
  if (bench.is_lease_asked) {
    bench.sender.OnLeased(bench.now, MakeError(error_kind::kNoQuorum, ""));
  }
  EXPECT_FALSE(bench.sender.IsDrained());
  bench.sender.OnRecorded(bench.now, MakeError(error_kind::kNoQuorum, ""));
  EXPECT_TRUE(bench.sender.IsDrained());
}

TEST(BatchSender, DrainGivesBackWhatHasNotStarted) {
  sender_bench bench({Endpoint("e", 2)});
  bench.Grant(5);
  bench.sender.BeginDrain();
  bench.Step();
  ASSERT_EQ(bench.records.size(), 1U);
  EXPECT_EQ(bench.records[0].results.size(), 3U);
  EXPECT_EQ(bench.records[0].results[0].outcome, item_outcome::kReturned);
  bench.sender.OnRecorded(bench.now,
                          results_recorded{std::vector<record_status>(3)});
  bench.End(bench.started[0], call_outcome::kDone);
  bench.End(bench.started[1], call_outcome::kDone);
  bench.Step();
  bench.sender.OnRecorded(bench.now,
                          results_recorded{std::vector<record_status>(2)});
  EXPECT_TRUE(bench.sender.IsDrained());
}

}  // namespace
}  // namespace shallotport
