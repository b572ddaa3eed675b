#include "batch/batch_duty.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "batch/job_expiry.h"
#include "batch/test_log.h"

namespace shallotport {
namespace {

constexpr std::chrono::seconds kTestTimeout{30};

// Serializes access to the test's log.
class locked_log final : public replicated_log {
 public:
  explicit locked_log(replicated_log& log) : log_(log) {}
  result<std::string> Propose(replicated_slice slice,
                              std::string command,
                              steady_time deadline) override {
    const std::lock_guard lock(mutex_);
    return log_.Propose(slice, std::move(command), deadline);
  }
  result<std::string> Query(replicated_slice slice,
                            std::string query,
                            steady_time deadline) override {
    const std::lock_guard lock(mutex_);
    return log_.Query(slice, std::move(query), deadline);
  }

 private:
  std::mutex mutex_;
  replicated_log& log_;
};

// Answers every call immediately.
class immediate_calls final : public batch_calls {
 public:
  void Start(const start_batch_call& call, end_handler ended) override {
    batch_call_end end;
    end.call = call.call;
    end.outcome = call_outcome::kDone;
    end.body = "answer to " + call.body;
    ended(std::move(end));
  }
  void Cancel(batch_call) override {}
};

// Grants each item's claim once and records which items finished.
class counting_claims final : public item_claims {
 public:
  item_claim_reply Begin(const begin_item_claim& claim) override {
    const std::lock_guard lock(mutex_);
    const bool is_first = begun_.insert(claim.item).second;
    return {is_first ? item_claim::kMayRun : item_claim::kUnknown, ""};
  }
  void Finish(const finish_item_claim& claim) override {
    const std::lock_guard lock(mutex_);
    finished_.insert(claim.item);
    changed_.notify_all();
  }
  void Release(const release_item_claim&) override {}
  void Abandon(const abandon_item_claim&) override {}

  bool WaitForFinished(size_t count) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTestTimeout,
                             [&] { return finished_.size() == count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<item_ref> begun_;
  std::set<item_ref> finished_;
};

endpoint_record Record(const std::string& id) {
  endpoint_record record;
  record.id = endpoint_id(id);
  record.started = 1;
  record.services = {service_id("model")};
  record.load.sequence = 1;
  record.load.slots = 8;
  return record;
}

TEST(BatchDuty, FinishesJobsAndSendsYieldNotices) {
  const system_clock_source clock;
  job_bench bench;
  bench.log.leader_time = clock.WallNow();
  locked_log log(bench.log);
  immediate_calls calls;
  counting_claims claims;
  std::atomic<int> notices{0};
  batch_duty_options options;
  options.host = host_id("a");
  options.started = 1;
  options.ownership.handover_wait = std::chrono::milliseconds(1);
  batch_duty duty(options, clock, log, calls, claims,
                  [&](const host_id&, const std::string&) { ++notices; });
  const job_id plain = bench.Submit(bench.Request("north", "plain"), 40);
  create_job request = bench.Request("north", "once");
  request.is_idempotent = false;
  const job_id once = bench.Submit(request, 10);
  duty.Start();
  duty.SetHosts({host_id("a"), host_id("b")});
  duty.SetServices({{service_id("model"), {}}});
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    duty.UpdateEndpoint(Record(id));
  }
  duty.OnOnlineStarted(endpoint_id("e1"));
  duty.OnOnlineFirstByte(endpoint_id("e1"), std::chrono::milliseconds(5));
  job_client client(log);
  const steady_time end = clock.Now() + kTestTimeout;
  const auto is_finished = [&](const job_id& id) {
    const auto status = client.Status({account_id("north"), id}, end);
    return ValueOf(status).phase == job_phase::kFinished;
  };
  while ((!is_finished(plain) || !is_finished(once)) && clock.Now() < end) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(is_finished(plain));
  EXPECT_TRUE(is_finished(once));
  EXPECT_TRUE(claims.WaitForFinished(10));
  while (notices == 0 && clock.Now() < end) {
    std::this_thread::yield();
  }
  duty.OnOnlineEnded(endpoint_id("e1"));
  nlohmann::json state;
  duty.WriteState(state);
  EXPECT_EQ(state["counters"]["batch_results_recorded"], 50);
  EXPECT_GE(notices.load(), 1);
  duty.BeginDrain();
  while (!duty.IsDrained() && clock.Now() < end) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(duty.IsDrained());
  duty.Stop();
}

TEST(JobExpiry, LeaderExpiresLeasesWhoseTimeHasPassed) {
  const system_clock_source clock;
  job_bench bench;
  bench.log.leader_time = clock.WallNow() - 60'000;
  bench.Submit("north", 1);
  bench.Lease("a", 1);
  bench.log.leader_time = clock.WallNow();
  locked_log log(bench.log);
  std::atomic<bool> is_leader{false};
  job_expiry expiry(log, clock, [&] { return is_leader.load(); });
  expiry.Start();
  is_leader = true;
  job_client client(log);
  const steady_time end = clock.Now() + kTestTimeout;
  const waiting_query waiting{{service_id("model")}};
  while (ValueOf(client.Waiting(waiting, end)).count == 0 &&
         clock.Now() < end) {
    std::this_thread::yield();
  }
  EXPECT_EQ(ValueOf(client.Waiting(waiting, end)).count, 1U);
  expiry.Stop();
}

}  // namespace
}  // namespace shallotport
