#include "slots/slot_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "slots/slot_allocator.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

const steady_time kStart = steady_time{} + std::chrono::hours(1);
const service_id kService("plain");

queued_slot_request Demand(uint64_t ticket, uint64_t account = 0) {
  queued_slot_request demand;
  demand.request.service = kService;
  demand.request.domain = domain_id("a");
  demand.request.max_wait_ms = 200;
  demand.request.max_retry_after_ms = 1'000;
  demand.ticket = ticket;
  demand.account = account;
  return demand;
}

waiting_slot_request Waiting(queued_slot_request demand,
                             milliseconds since = milliseconds(0)) {
  return {"h", std::move(demand), kStart + since,
          kStart + since + milliseconds(400)};
}

std::vector<uint64_t> Drain(slot_queue& queue, steady_time now) {
  std::vector<uint64_t> tickets;
  while (!queue.IsEmpty()) {
    tickets.push_back(queue.Take(*queue.First(now, 1)[0]).demand.ticket);
  }
  return tickets;
}

// Guards against callers of one account that wait behind another account's
// burst.
TEST(slot_queue_test, AccountsTakeTurns) {
  slot_queue queue;
  for (uint64_t i = 0; i < 6; ++i) {
    queue.Add(Waiting(Demand(i, 1), milliseconds(i)));
  }
  queue.Add(Waiting(Demand(10, 2), milliseconds(10)));
  queue.Add(Waiting(Demand(11, 2), milliseconds(11)));
  EXPECT_EQ(Drain(queue, kStart + milliseconds(20)),
            (std::vector<uint64_t>{0, 10, 1, 11, 2, 3, 4, 5}));
}

TEST(slot_queue_test, ReturnedCallersThenPriorityThenAccounts) {
  slot_queue queue;
  queued_slot_request plain = Demand(1, 1);
  plain.priority = 1;
  queued_slot_request urgent = Demand(2, 2);
  queued_slot_request returned = Demand(3, 3);
  returned.priority = 2;
  returned.has_returned = 1;
  queue.Add(Waiting(plain));
  queue.Add(Waiting(urgent));
  queue.Add(Waiting(returned));
  EXPECT_EQ(Drain(queue, kStart), (std::vector<uint64_t>{3, 2, 1}));
}

// Guards against a request that is overtaken until it is late.
TEST(slot_queue_test, NobodyWaitsUntilItIsLate) {
  slot_queue queue;
  queued_slot_request less_urgent = Demand(1);
  less_urgent.priority = 5;
  queue.Add(Waiting(less_urgent));
  queue.Add(Waiting(Demand(2), milliseconds(250)));
  EXPECT_EQ(Drain(queue, kStart + milliseconds(301)),
            (std::vector<uint64_t>{1, 2}));
}

// Guards against a queue that grows without bound, and against accounts that
// lose their place to one that fills it.
TEST(slot_queue_test, FullQueueDropsTheNewestOfTheBusiestAccount) {
  slot_queue queue;
  std::optional<waiting_slot_request> dropped;
  queue.Add(Waiting(Demand(9'000, 2)));
  uint64_t ticket = 0;
  for (; ticket < 5'000 && !dropped; ++ticket) {
    dropped = queue.Add(Waiting(Demand(ticket, 1)));
  }
  ASSERT_TRUE(dropped);
  EXPECT_EQ(dropped->demand.account, 1u);
  EXPECT_EQ(dropped->demand.ticket, ticket - 1);
  dropped = queue.Add(Waiting(Demand(9'001, 2)));
  ASSERT_TRUE(dropped);
  EXPECT_EQ(dropped->demand.account, 1u);
}

// Guards against requests that are refused because two hosts avoid most of the
// endpoints, though these have free slots: after a partition has healed.
TEST(slot_queue_test, HostsSelectByThemselvesWhileMostEndpointsAreAvoided) {
  endpoint_limits limits;
  slot_allocator allocator(limits);
  for (const char* name : {"x", "y", "z"}) {
    endpoint_report report;
    report.endpoint = endpoint_id(name);
    report.service = kService;
    report.domain = domain_id("a");
    report.stage = endpoint_stage::kReady;
    report.slots = 1;
    report.start_time_ms = 1;
    allocator.Update(report);
  }
  queued_slot_request demand = Demand(1);
  EXPECT_EQ(allocator.AllocateOrQueue(kStart, "h", demand).reply.kind,
            slot_reply_kind::kGranted);
  for (const char* host : {"i", "j"}) {
    queued_slot_request avoiding = Demand(2);
    for (const char* name : {"x", "y", "z"}) {
      avoiding.request.avoided_endpoints.push_back(LoadKey(endpoint_id(name)));
    }
    allocator.AllocateOrQueue(kStart, host, avoiding);
  }
  demand.ticket = 3;
  EXPECT_EQ(allocator.AllocateOrQueue(kStart, "h", demand).reply.kind,
            slot_reply_kind::kNoEndpoint);
}

// Guards against an account that stands behind others for work that it never
// received: its callers left, or were refused as late.
TEST(slot_queue_test, WorkThatGotNoSlotIsNotCounted) {
  slot_queue queue;
  for (uint64_t i = 0; i < 3; ++i) {
    queue.Add(Waiting(Demand(i, 1)));
    queue.Add(Waiting(Demand(10 + i, 3)));
  }
  for (uint64_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(queue.Remove("h", i));
  }
  queue.TakeExpired(kStart + milliseconds(400));
  EXPECT_TRUE(queue.IsEmpty());
  const milliseconds later(500);
  queue.Add(Waiting(Demand(20, 1), later));
  queue.Add(Waiting(Demand(21, 3), later + milliseconds(1)));
  queue.Add(Waiting(Demand(22, 2), later + milliseconds(2)));
  EXPECT_EQ(Drain(queue, kStart + later + milliseconds(3)),
            (std::vector<uint64_t>{20, 21, 22}));
}

endpoint_report Endpoint(uint16_t port, uint32_t slots) {
  endpoint_report report;
  report.endpoint = endpoint_id("e" + std::to_string(port));
  report.service = kService;
  report.domain = domain_id("a");
  report.slots = slots;
  report.start_time_ms = 1;
  report.stage = endpoint_stage::kReady;
  return report;
}

// Guards against a first endpoint that is filled before the others get any
// request, while no duration is known.
TEST(slot_queue_test, UnknownDurationsSpreadOverEndpoints) {
  endpoint_limits limits;
  slot_allocator slots(limits);
  for (uint16_t port = 1; port <= 3; ++port) {
    slots.Update(Endpoint(port, 4));
  }
  std::map<std::string, int> granted;
  for (uint64_t i = 0; i < 6; ++i) {
    const auto decision = slots.AllocateOrQueue(kStart, "h", Demand(i));
    ASSERT_EQ(decision.reply.kind, slot_reply_kind::kGranted);
    ++granted[std::string(decision.reply.endpoint.text())];
  }
  EXPECT_EQ(granted,
            (std::map<std::string, int>{{"e1", 2}, {"e2", 2}, {"e3", 2}}));
}

// Guards against a leader that comes back and refuses or grants slots to
// requests of its former term.
TEST(slot_queue_test, RequestsOfAFormerTermAreForgotten) {
  endpoint_limits limits;
  slot_allocator slots(limits);
  slots.Update(Endpoint(1, 1));
  slots.AllocateOrQueue(kStart, "h", Demand(1));
  queued_slot_request patient = Demand(2);
  patient.request.max_wait_ms = 2'000;
  const auto queued = slots.AllocateOrQueue(kStart, "h", patient);
  ASSERT_EQ(queued.reply.kind, slot_reply_kind::kQueued);
  slots.ClearQueued();
  EXPECT_FALSE(slots.HasQueued());
  EXPECT_TRUE(slots.TakeQueued(kStart + std::chrono::seconds(10)).empty());
}

// Plays bursts on a plain service of 3 endpoints with 6 slots, which refuse
// what finds no slot: 256 calls/s of 60 ms for 2.4 s, of which the endpoints
// take some 5% less while neighbours slow them.
struct burst_case {
  std::string name;
  double per_second;
  double min_in_time;
  // Of one account's calls, while another one sends most of all.
  double min_in_time_of_small = 0;
};

struct burst_result {
  std::map<uint64_t, size_t> sent;
  std::map<uint64_t, size_t> in_time;

  double Share(uint64_t account) const {
    return static_cast<double>(in_time.at(account)) /
           static_cast<double>(sent.at(account));
  }
};

class burst_simulation {
 public:
  static constexpr milliseconds kObjective{400};
  static constexpr milliseconds kBurst{2'400};

  burst_simulation() : allocator_(limits_) {
    for (const char* name : {"x", "y", "z"}) {
      endpoint_report report;
      report.endpoint = endpoint_id(name);
      report.service = kService;
      report.domain = domain_id("a");
      report.stage = endpoint_stage::kReady;
      report.slots = 6;
      report.start_time_ms = 1;
      allocator_.Update(report);
    }
  }

  // One call in eight is of account 2, the others of account 1.
  burst_result Play(double per_second, bool is_queued) {
    burst_result result;
    std::map<uint64_t, std::pair<uint64_t, steady_time>> calls;
    double due = 0;
    const steady_time end = kStart + kBurst;
    for (steady_time now = kStart; now < end + milliseconds(600);
         now += milliseconds(1)) {
      bool has_ended = false;
      while (!runs_.empty() && runs_.begin()->first <= now) {
        const auto& [account, begun_at] = calls[runs_.begin()->second.second];
        result.in_time[account] += now - begun_at <= kObjective ? 1 : 0;
        runs_.erase(runs_.begin());
        has_ended = true;
      }
      if (has_ended) {
        Report(now);
      }
      for (const auto& each : allocator_.TakeQueued(now)) {
        Start(now, each.ticket, each.decision.reply);
      }
      due += now < end ? per_second / 1'000 : 0;
      for (; due >= 1; due -= 1) {
        const uint64_t ticket = calls.size() + 1;
        const uint64_t account = ticket % 8 == 0 ? 2 : 1;
        calls[ticket] = {account, now};
        ++result.sent[account];
        queued_slot_request demand = Demand(ticket, account);
        const slot_decision decision =
            is_queued ? allocator_.AllocateOrQueue(now, "h", demand)
                      : allocator_.Allocate(now, "h", NoWait(demand.request));
        Start(now, ticket, decision.reply);
      }
    }
    return result;
  }

 private:
  void Report(steady_time now) {
    std::map<uint32_t, uint16_t> loads;
    for (const auto& [ends_at, run] : runs_) {
      ++loads[run.first];
    }
    load_report report;
    for (const auto& [key, running] : loads) {
      report.entries.push_back({key, running});
    }
    allocator_.RecordLoad(now, "h", report);
  }

  void Start(steady_time now, uint64_t ticket, const slot_reply& reply) {
    if (reply.kind != slot_reply_kind::kGranted) {
      return;
    }
    // 30 to 150 ms, 66 ms on average.
    const auto run = milliseconds(
        30 + UniformBelow(random_, 60) +
        (UniformBelow(random_, 10) == 0 ? UniformBelow(random_, 120) : 0));
    runs_.emplace(now + run, std::pair(LoadKey(reply.endpoint), ticket));
  }

  // Endpoints without a queue refuse what would wait there.
  static slot_request NoWait(slot_request request) {
    request.max_wait_ms = 0;
    return request;
  }

  random_source random_{7};
  endpoint_limits limits_;
  slot_allocator allocator_;
  // By their end: endpoint and ticket.
  std::multimap<steady_time, std::pair<uint32_t, uint64_t>> runs_;
};

class plain_burst : public testing::TestWithParam<burst_case> {};

// Guards against calls that are refused in a burst though a short wait would
// serve them in time.
TEST_P(plain_burst, CallsWaitWhereTheyAreStillInTime) {
  const burst_case& each = GetParam();
  const burst_result result = burst_simulation().Play(each.per_second, true);
  EXPECT_GE(result.Share(1), each.min_in_time);
  EXPECT_GE(result.Share(2), each.min_in_time_of_small);
}

TEST_P(plain_burst, WaitingServesNoLessThanRefusing) {
  const double rate = GetParam().per_second;
  const double refusing = burst_simulation().Play(rate, false).Share(1);
  EXPECT_GE(burst_simulation().Play(rate, true).Share(1), refusing);
}

INSTANTIATE_TEST_SUITE_P(
    Bursts,
    plain_burst,
    testing::Values(burst_case{"BelowAllSlots", 200, 0.99, 0.99},
                    burst_case{"AtAllSlots", 256, 0.95, 0.95},
                    // A quarter more than there is: the small account does not
                    // pay for it.
                    burst_case{"BeyondAllSlots", 340, 0.7, 0.95}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
