// Runs the job catalogue and several batch senders in virtual time with faults
// injected from a seed, and checks invariants.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "batch/batch_sender.h"
#include "batch/test_log.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTick = milliseconds(20);
constexpr uint32_t kHosts = 3;
constexpr uint32_t kEndpoints = 4;

enum class item_kind : uint8_t { kGood, kRejected, kFlaky, kPoison };

item_kind KindOfItem(const item_ref& ref) {
  const uint64_t number = ref.job * 7 + ref.index;
  if (number % 23 == 5) {
    return item_kind::kPoison;
  }
  if (number % 19 == 3) {
    return item_kind::kRejected;
  }
  return number % 5 == 2 ? item_kind::kFlaky : item_kind::kGood;
}

struct faults {
  bool is_enabled = true;
  uint64_t one_in = 60;  // Mean number of ticks between faults.
};

class batch_simulation {
 public:
  explicit batch_simulation(uint64_t seed) : random_(seed) {
    for (uint32_t i = 0; i < kHosts; ++i) {
      hosts_.emplace_back().id = host_id("host" + std::to_string(i));
      Restart(hosts_[i]);
    }
  }

  void Run(duration span, const faults& injected) {
    for (const steady_time end = now_ + span; now_ < end; now_ += kTick) {
      has_faults_ = injected.is_enabled;
      if (has_faults_ && Chance(injected.one_in)) {
        InjectFault();
      }
      if (Chance(60)) {
        Submit();
      }
      Tick();
    }
  }

  // Runs without faults and new jobs until every job has ended.
  void Finish() {
    for (simulated_host& host : hosts_) {
      host.is_partitioned = false;
      if (!host.sender) {
        Restart(host);
      }
    }
    const steady_time end = now_ + seconds(600);
    while (now_ < end && !catalogue().running.empty()) {
      Tick();
      now_ += kTick;
    }
    // Leases with only revoked items left expire by time.
    for (const steady_time later = now_ + seconds(10); now_ < later;
         now_ += kTick) {
      Tick();
    }
    CheckOutcomes();
    EXPECT_TRUE(catalogue().running.empty());
    for (const auto& [number, job] : catalogue().jobs) {
      EXPECT_TRUE(job.IsEnded());
      const bool is_whole = job.phase == job_phase::kCancelled ||
                            job.done + job.failed == job.items.size();
      EXPECT_TRUE(is_whole);
    }
    EXPECT_TRUE(catalogue().leases.empty());
    for (const auto& [service, progress] : catalogue().services) {
      EXPECT_EQ(progress.suspects_leased, 0U);
    }
  }

  uint64_t executions() const { return executions_; }
  uint64_t repeated_claims() const { return repeated_claims_; }
  size_t outcomes() const { return outcomes_.size(); }
  uint64_t deaths() const { return deaths_; }
  const job_catalogue& catalogue() const { return state_->catalogue(); }

 private:
  struct simulated_host {
    host_id id;
    incarnation started = 0;
    std::unique_ptr<batch_sender> sender;
    bool is_partitioned = false;
  };

  struct simulated_endpoint {
    incarnation started = 1;
    std::set<std::pair<uint32_t, batch_call>> calls;  // Keyed by host.
  };

  struct simulated_call {
    item_ref item;
    std::string body;
    uint32_t endpoint = 0;
    steady_time ends;
    bool is_cancelled = false;
    bool is_idempotent = true;
    bool is_not_executed = false;
  };

  // A request of a sender that has yet to reach the log or the claims.
  struct pending_message {
    steady_time deliver_at;
    uint32_t host = 0;
    incarnation started = 0;
    batch_action sent_action;
    bool is_reply_lost = false;
  };

  bool Chance(uint64_t one_in) { return UniformBelow(random_, one_in) == 0; }

  void Restart(simulated_host& host) {
    ++host.started;
    batch_sender_settings settings;
    settings.lease = seconds(4);
    settings.renew_interval = seconds(1);
    host.sender = std::make_unique<batch_sender>(host.id, host.started,
                                                 settings, random_());
  }

  void Crash(uint32_t number) {
    hosts_[number].sender.reset();
    std::erase_if(calls_,
                  [&](const auto& each) { return each.first.first == number; });
    for (simulated_endpoint& endpoint : endpoints_) {
      std::erase_if(endpoint.calls,
                    [&](const auto& each) { return each.first == number; });
    }
  }

  void InjectFault() {
    const uint32_t number =
        static_cast<uint32_t>(UniformBelow(random_, kHosts));
    simulated_host& host = hosts_[number];
    switch (UniformBelow(random_, 7)) {
      case 0:
        return Crash(number);
      case 1:
        if (!host.sender) {
          Restart(host);
        }
        return;
      case 2:
        host.is_partitioned = !host.is_partitioned;
        return;
      case 3:
        leader_offset_ += static_cast<int64_t>(UniformBelow(random_, 6'000));
        return;
      case 4:
        return ReloadFromSnapshot();
      case 5:
        return CancelRandomJob();
      default:
        return ReplayRandomRecord();
    }
  }

  void ReloadFromSnapshot() {
    std::stringstream file;
    ASSERT_TRUE(IsOk(state_->BeginSnapshot()->Write(file)));
    payloads_.push_back(std::make_unique<memory_payloads>());
    states_.push_back(
        std::make_unique<job_state>(job_state_settings{}, *payloads_.back()));
    ASSERT_TRUE(IsOk(states_.back()->LoadSnapshot(file)));
    state_ = states_.back().get();
    bench_.log.SetState(*state_);
  }

  // Also partitions a host, which often holds items of the job.
  void CancelRandomJob() {
    if (catalogue().running.empty()) {
      return;
    }
    hosts_[UniformBelow(random_, kHosts)].is_partitioned = true;
    auto chosen = catalogue().running.begin();
    std::advance(chosen, UniformBelow(random_, catalogue().running.size()));
    const job_record& job = catalogue().jobs.at(*chosen);
    cancelled_[job.number] = now_;
    bench_.client.Cancel(
        {job.account, job_id("job-0-" + std::to_string(job.number))}, {});
  }

  // Guards against a command that the network delivers twice, however late.
  void ReplayRandomRecord() {
    if (!records_.empty()) {
      bench_.client.Record(records_[UniformBelow(random_, records_.size())],
                           {});
    }
  }

  void Submit() {
    create_job request = bench_.Request(
        "account" + std::to_string(UniformBelow(random_, 3)), "");
    request.is_idempotent = !Chance(4);
    const uint32_t count = 1 + static_cast<uint32_t>(UniformBelow(random_, 40));
    bench_.Submit(request, count);
  }

  void Tick() {
    bench_.log.leader_time =
        1'000'000 + leader_offset_ + now_.time_since_epoch().count() / 1000;
    const auto due = state_->NextExpiry();
    if (due && *due <= bench_.log.leader_time) {
      bench_.client.Expire({});
    }
    DeliverDueMessages();
    EndCalls();
    for (uint32_t i = 0; i < kHosts; ++i) {
      if (hosts_[i].sender) {
        StepHost(i);
      }
    }
    if (Chance(50)) {
      CheckOutcomes();
    }
  }

  void StepHost(uint32_t number) {
    batch_sender& sender = *hosts_[number].sender;
    // Every host sends to every endpoint; window ownership is tested elsewhere.
    std::vector<batch_endpoint> view;
    for (uint32_t i = 0; i < kEndpoints; ++i) {
      batch_endpoint endpoint;
      endpoint.id = endpoint_id("e" + std::to_string(i));
      endpoint.started = endpoints_[i].started;
      endpoint.services = {service_id("model")};
      endpoint.slots = 4;
      endpoint.can_resume = i % 2 == 0;
      endpoint.may_start = true;
      view.push_back(endpoint);
    }
    sender.SetEndpoints(now_, view);
    if (Chance(40)) {
      const uint32_t online = static_cast<uint32_t>(UniformBelow(random_, 5));
      sender.OnOnline(now_, view[UniformBelow(random_, kEndpoints)].id,
                      host_id("x"), 1, {++online_sequence_, online});
    }
    for (batch_action& action : sender.Step(now_)) {
      Execute(number, std::move(action));
    }
  }

  void Execute(uint32_t host, batch_action action) {
    if (auto* start = std::get_if<start_batch_call>(&action)) {
      return StartCall(host, *start);
    }
    if (auto* cancel = std::get_if<cancel_batch_call>(&action)) {
      const auto call = calls_.find({host, cancel->call});
      if (call != calls_.end()) {
        call->second.is_cancelled = !Chance(4);
        call->second.ends =
            std::min(call->second.ends, now_ + milliseconds(60));
      }
      return;
    }
    if (auto* finished = std::get_if<finish_item_claim>(&action)) {
      claims_[finished->item] = {host, finished->answer};
      return;
    }
    if (auto* released = std::get_if<release_item_claim>(&action)) {
      claims_.erase(released->item);
      return;
    }
    if (std::holds_alternative<abandon_item_claim>(action)) {
      return;
    }
    pending_message each{now_ + milliseconds(UniformBelow(random_, 120)), host,
                         hosts_[host].started, std::move(action)};
    each.is_reply_lost = has_faults_ && Chance(25);
    pending_messages_.push_back(std::move(each));
  }

  void StartCall(uint32_t host, const start_batch_call& start) {
    const auto cancelled = cancelled_.find(start.item.job);
    if (cancelled != cancelled_.end()) {
      EXPECT_LT(now_ - cancelled->second, seconds(2)) << "started too late";
    }
    const uint32_t endpoint =
        static_cast<uint32_t>(start.endpoint.text()[1] - '0');
    // The old incarnation no longer accepts connections.
    const bool has_restarted = start.started != endpoints_[endpoint].started;
    if (!has_restarted) {
      ++executions_;
      const bool is_repeat = !executed_items_.insert(start.item).second;
      repeated_claims_ += is_repeat && !start.job->is_idempotent ? 1 : 0;
      endpoints_[endpoint].calls.insert({host, start.call});
    }
    calls_[{host, start.call}] = {
        start.item,   start.body,
        endpoint,     now_ + milliseconds(100 + UniformBelow(random_, 2'900)),
        false,        start.job->is_idempotent,
        has_restarted};
  }

  void EndCalls() {
    std::vector<std::pair<uint32_t, batch_call>> due;
    for (const auto& [key, call] : calls_) {
      if (call.ends <= now_) {
        due.push_back(key);
      }
    }
    for (const auto& key : due) {
      const auto found = calls_.find(key);
      if (found != calls_.end()) {
        EndCall(key, found->second);
      }
    }
  }

  void EndCall(std::pair<uint32_t, batch_call> key,
               const simulated_call& call) {
    batch_call_end end;
    end.call = key.second;
    end.outcome = call_outcome::kDone;
    end.body = "answer to " + call.body;
    const item_kind kind = KindOfItem(call.item);
    if (call.is_not_executed) {
      end.outcome = call_outcome::kNotRun;
    } else if (call.is_cancelled) {
      end.outcome = call_outcome::kCancelled;
    } else if (kind == item_kind::kPoison && call.is_idempotent) {
      return KillEndpoint(call.endpoint);
    } else if (kind == item_kind::kRejected) {
      end.outcome = call_outcome::kRejected;
    } else if (kind == item_kind::kFlaky && Chance(2)) {
      end.outcome = Chance(2) && call.is_idempotent ? call_outcome::kNotRun
                                                    : call_outcome::kFailed;
    }
    ReportCallEnd(key, end);
  }

  void ReportCallEnd(std::pair<uint32_t, batch_call> key,
                     const batch_call_end& end) {
    endpoints_[calls_.at(key).endpoint].calls.erase(key);
    calls_.erase(key);
    hosts_[key.first].sender->OnCallEnd(now_, end);
  }

  void KillEndpoint(uint32_t number) {
    ++deaths_;
    ++endpoints_[number].started;
    const auto calls = endpoints_[number].calls;
    for (const auto& key : calls) {
      batch_call_end end;
      end.call = key.second;
      end.outcome = call_outcome::kEndpointDied;
      ReportCallEnd(key, end);
    }
  }

  void DeliverDueMessages() {
    std::vector<pending_message> due;
    std::erase_if(pending_messages_, [&](pending_message& each) {
      if (each.deliver_at > now_) {
        return false;
      }
      due.push_back(std::move(each));
      return true;
    });
    for (const pending_message& each : due) {
      Deliver(each);
    }
  }

  void Deliver(const pending_message& each) {
    simulated_host& host = hosts_[each.host];
    const bool is_running = host.sender && host.started == each.started;
    if (host.is_partitioned) {
      if (is_running) {
        Reply(*host.sender, each, error_kind::kNotLeader);
      }
      return;
    }
    // A request that was sent is committed, even if its host has crashed since.
    std::optional<error_kind> failure;
    if (each.is_reply_lost) {
      failure = error_kind::kNoQuorum;
    }
    if (is_running) {
      Reply(*host.sender, each, failure);
    } else if (const auto* record =
                   std::get_if<request_record>(&each.sent_action)) {
      bench_.client.Record(record->command, {});
    }
  }

  template <typename T>
  static result<T> ReplyOrFailure(result<T> reply,
                                  std::optional<error_kind> failure) {
    return failure ? result<T>(MakeError(*failure, "lost")) : std::move(reply);
  }

  // kNotLeader means that the command did not reach the log.
  void Reply(batch_sender& sender,
             const pending_message& each,
             std::optional<error_kind> failure) {
    const bool reaches_log = failure != error_kind::kNotLeader;
    const result<leased_work> none = MakeError(error_kind::kNotLeader, "");
    if (const auto* lease = std::get_if<request_lease>(&each.sent_action)) {
      sender.OnLeased(
          now_,
          reaches_log
              ? ReplyOrFailure(bench_.client.Lease(lease->command, {}), failure)
              : none);
    } else if (const auto* record =
                   std::get_if<request_record>(&each.sent_action)) {
      records_.push_back(record->command);
      sender.OnRecorded(
          now_, reaches_log
                    ? ReplyOrFailure(bench_.client.Record(record->command, {}),
                                     failure)
                    : ErrorOf(none));
    } else if (const auto* renewal =
                   std::get_if<request_lease_renewal>(&each.sent_action)) {
      sender.OnRenewed(
          now_, reaches_log
                    ? ReplyOrFailure(bench_.client.Renew(renewal->command, {}),
                                     failure)
                    : ErrorOf(none));
    } else if (const auto* poll =
                   std::get_if<request_revocations>(&each.sent_action)) {
      sender.OnRevocations(
          now_, reaches_log
                    ? ReplyOrFailure(bench_.client.Revocations(poll->query, {}),
                                     failure)
                    : ErrorOf(none));
    } else if (const auto* claim =
                   std::get_if<begin_item_claim>(&each.sent_action)) {
      Claim(sender, each, claim->item, reaches_log);
    }
  }

  void Claim(batch_sender& sender,
             const pending_message& each,
             const item_ref& item,
             bool reaches_log) {
    if (!reaches_log) {
      return sender.OnClaim(now_, item, item_claim::kUnavailable, "");
    }
    const auto known = claims_.find(item);
    if (known == claims_.end()) {
      claims_[item] = {each.host, std::nullopt};
      return sender.OnClaim(now_, item, item_claim::kMayRun, "");
    }
    if (known->second.answer) {
      return sender.OnClaim(now_, item, item_claim::kAnswered,
                            *known->second.answer);
    }
    sender.OnClaim(now_, item, item_claim::kUnknown, "");
  }

  // A result that was once readable never changes, and answers belong to their
  // items.
  void CheckOutcomes() {
    for (const auto& [number, job] : catalogue().jobs) {
      const results_query query{
          job.account, job_id("job-0-" + std::to_string(number)), 0, 8 << 20};
      const results_page page = ValueOf(bench_.client.Results(query, {}));
      for (const result_line& line : page.lines) {
        CheckLine({number, line.index}, line);
      }
    }
  }

  void CheckLine(const item_ref& ref, const result_line& line) {
    const std::string text =
        std::to_string(static_cast<int>(line.outcome)) + line.body;
    const auto [known, is_new] = outcomes_.emplace(ref, text);
    ASSERT_EQ(known->second, text) << "an outcome changed";
    if (line.outcome == final_outcome::kDone) {
      ASSERT_EQ(line.body, "answer to " + std::to_string(ref.index));
    }
    if (line.outcome == final_outcome::kFailed &&
        KindOfItem(ref) == item_kind::kGood) {
      // A good item fails only because of injected faults or dead endpoints.
      ASSERT_TRUE(line.kind == error_kind::kOutcomeUnknown ||
                  line.kind == error_kind::kEndpointFailed ||
                  line.kind == error_kind::kNoCapacity);
    }
  }

  struct simulated_claim {
    uint32_t host = 0;
    std::optional<std::string> answer;
  };

  random_source random_;
  steady_time now_ = steady_time(seconds(1));
  int64_t leader_offset_ = 0;
  uint64_t online_sequence_ = 0;
  bool has_faults_ = false;
  job_bench bench_;
  std::vector<std::unique_ptr<memory_payloads>> payloads_;
  std::vector<std::unique_ptr<job_state>> states_;
  job_state* state_ = &bench_.state;
  std::vector<simulated_host> hosts_;
  std::array<simulated_endpoint, kEndpoints> endpoints_;
  std::map<std::pair<uint32_t, batch_call>, simulated_call> calls_;
  std::vector<pending_message> pending_messages_;
  std::vector<record_results> records_;
  std::map<item_ref, simulated_claim> claims_;
  std::map<item_ref, std::string> outcomes_;
  std::set<item_ref> executed_items_;
  std::map<job_number, steady_time> cancelled_;
  uint64_t executions_ = 0;
  uint64_t repeated_claims_ = 0;
  uint64_t deaths_ = 0;
};

class batch_oracle_test : public testing::TestWithParam<uint64_t> {};

TEST_P(batch_oracle_test, HoldsUnderFaults) {
  batch_simulation simulation(GetParam());
  simulation.Run(seconds(30), {});
  simulation.Finish();
  EXPECT_EQ(simulation.repeated_claims(), 0U);
  EXPECT_GT(simulation.outcomes(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         batch_oracle_test,
                         testing::Range<uint64_t>(1, 13));

TEST(BatchOracle, ExecutesEachItemOnceWithoutFaults) {
  batch_simulation simulation(99);
  simulation.Run(seconds(20), {false, 1});
  simulation.Finish();
  const catalogue_counters& counters = simulation.catalogue().counters;
  EXPECT_EQ(counters.duplicate_results, 0U);
  EXPECT_EQ(counters.leases_expired, 0U);
  EXPECT_EQ(simulation.repeated_claims(), 0U);
}

}  // namespace
}  // namespace shallotport
