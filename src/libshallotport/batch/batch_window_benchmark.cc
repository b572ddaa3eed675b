#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "batch/batch_sender.h"
#include "batch/batch_window.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void WindowDecision(benchmark::State& state) {
  batch_window window = ValueOf(batch_window::Create({"guarded", 1, 50}));
  load_report report;
  report.slots = 16;
  steady_time now = steady_time(seconds(1));
  window.OnReport(now, report);
  uint64_t sequence = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    ++sequence;
    window.OnOnline(now, host_id("b"), 1,
                    {sequence, static_cast<uint32_t>(sequence % 5)});
    benchmark::DoNotOptimize(window.StartLimit(now));
    benchmark::DoNotOptimize(window.KeepLimit(now));
  }
}
BENCHMARK(WindowDecision);

// One step of a sender whose 20 endpoints are full.
void SenderStep(benchmark::State& state) {
  batch_sender sender(host_id("a"), 1, {}, 1);
  std::vector<batch_endpoint> view;
  for (int i = 0; i < 20; ++i) {
    batch_endpoint endpoint;
    endpoint.id = endpoint_id("e" + std::to_string(i));
    endpoint.started = 1;
    endpoint.services = {service_id("model")};
    endpoint.slots = 16;
    endpoint.may_start = true;
    endpoint.window.strategy = "greedy";
    view.push_back(endpoint);
  }
  const steady_time now = steady_time(seconds(1));
  sender.SetEndpoints(now, view);
  leased_work work;
  work.grant.epoch = 1;
  work.grant.jobs.push_back({});
  for (uint32_t i = 0; i < 400; ++i) {
    work.grant.items.push_back({{0, i}, false});
    work.bodies.emplace_back("body");
  }
  work.grant.jobs[0].service = service_id("model");
  sender.Step(now);
  sender.OnLeased(now, work);
  for (auto _ : state) {
    benchmark::DoNotOptimize(sender.Step(now + milliseconds(1)));
  }
}
BENCHMARK(SenderStep);

// ---- Simulation of one engine in virtual time ----
//
// Continuous batching with a limited number of slots and FIFO admission; a
// token takes longer the more streams run. Online requests arrive at a steady
// rate with bursts; the supply of batch work is unlimited. Yield notices take 2
// ms and one in twenty is lost; load reports lag half a second.

constexpr uint32_t kSlots = 16;
constexpr duration kTick = milliseconds(1);
constexpr double kPrefillMs = 80;
constexpr double kTokenMs = 20;
constexpr double kSlowdownPerStream = 0.03;
constexpr double kOnlineTokens = 60;
constexpr double kBatchTokens = 200;
constexpr duration kSimulatedTime = seconds(300);
constexpr duration kBurstEvery = seconds(20);
constexpr duration kBurstLength = seconds(3);

struct stream {
  steady_time arrived;
  double prefill_left = kPrefillMs;
  double tokens_left = 0;
  bool is_online = false;
  bool has_first = false;
};

struct scenario_result {
  std::vector<double> first_byte_ms;
  double batch_tokens = 0;
  double free_slot_share = 0;
  double mean_batch = 0;   // Batch streams at the engine.
  double mean_online = 0;  // Online requests at the engine.
  double mean_demand = 0;  // As estimated by the window.
  uint64_t yields = 0;
};

class engine_simulation {
 public:
  engine_simulation(const std::string& strategy,
                    bool has_online,
                    bool has_batch,
                    double steady_rate)
      : window_(ValueOf(batch_window::Create({strategy, 1, 50}))),
        has_online_(has_online),
        has_batch_(has_batch),
        steady_rate_(steady_rate) {}

  scenario_result Run() {
    for (now_ = kStart; now_ < kStart + kSimulatedTime; now_ += kTick) {
      AddOnlineArrivals();
      DeliverLoadReport();
      if (has_batch_) {
        UpdateBatchStreams();
      }
      Admit();
      Advance();
      result_.mean_batch += Count(false);
      result_.mean_online += Count(true);
      result_.mean_demand += window_.OnlineDemand(now_);
      result_.free_slot_share +=
          1.0 - static_cast<double>(std::min<size_t>(running_.size(), kSlots)) /
                    kSlots;
    }
    const double ticks = static_cast<double>(kSimulatedTime / kTick);
    result_.free_slot_share /= ticks;
    result_.mean_batch /= ticks;
    result_.mean_online /= ticks;
    result_.mean_demand /= ticks;
    return result_;
  }

 private:
  static constexpr steady_time kStart = steady_time(seconds(100));

  uint32_t Count(bool is_online) const {
    const auto matches = [&](const stream& each) {
      return each.is_online == is_online;
    };
    return static_cast<uint32_t>(std::ranges::count_if(running_, matches) +
                                 std::ranges::count_if(queue_, matches));
  }

  void AddOnlineArrivals() {
    if (!has_online_) {
      return;
    }
    const bool is_burst = (now_ - kStart) % kBurstEvery < kBurstLength;
    const double rate = is_burst ? 4 * steady_rate_ : steady_rate_;
    if (UniformUnit(random_) < rate / 1000) {
      stream each;
      each.arrived = now_;
      each.tokens_left = kOnlineTokens;
      each.is_online = true;
      queue_.push_back(each);
    }
    const uint32_t online = Count(true);
    if (online != announced_) {
      announced_ = online;
      const bool is_lost = UniformBelow(random_, 20) == 0;
      if (!is_lost) {
        notices_.push_back({now_ + milliseconds(2), {++sequence_, online}});
      }
      next_repeat_at_ = now_ + milliseconds(400);
    } else if (now_ >= next_repeat_at_) {
      notices_.push_back({now_ + milliseconds(2), {++sequence_, online}});
      next_repeat_at_ = now_ + milliseconds(400);
    }
    while (!notices_.empty() && notices_.front().first <= now_) {
      window_.OnOnline(now_, host_id("b"), 1, notices_.front().second);
      notices_.pop_front();
    }
  }

  void DeliverLoadReport() {
    if ((now_ - kStart) % milliseconds(500) == duration(0)) {
      window_.OnReport(now_, delayed_report_);
      delayed_report_.slots = kSlots;
      delayed_report_.running = static_cast<uint32_t>(running_.size());
      delayed_report_.queued = static_cast<uint32_t>(queue_.size());
    }
  }

  void UpdateBatchStreams() {
    uint32_t inside = Count(false);
    window_.SetOutstanding(now_, inside);
    const uint32_t keep = window_.KeepLimit(now_);
    for (auto each = running_.rbegin();
         each != running_.rend() && inside > keep; ++each) {
      if (!each->is_online) {
        // A resumed stream keeps its tokens but repeats the prefill.
        each->prefill_left = kPrefillMs;
        resumable_.push_back(*each);
        each->tokens_left = -1;
        --inside;
        ++result_.yields;
      }
    }
    std::erase_if(running_,
                  [](const stream& each) { return each.tokens_left < 0; });
    for (const uint32_t limit = window_.StartLimit(now_); inside < limit;
         ++inside) {
      stream next;
      next.tokens_left = kBatchTokens;
      if (!resumable_.empty()) {
        next = resumable_.back();
        resumable_.pop_back();
      }
      queue_.push_back(next);
    }
    window_.SetOutstanding(now_, inside);
  }

  void Admit() {
    while (running_.size() < kSlots && !queue_.empty()) {
      running_.push_back(queue_.front());
      queue_.pop_front();
    }
  }

  void Advance() {
    const double slowdown =
        1 + kSlowdownPerStream * static_cast<double>(running_.size());
    const double progress = 1.0 / slowdown;
    for (stream& each : running_) {
      if (each.prefill_left > 0) {
        each.prefill_left -= progress;
        continue;
      }
      if (each.is_online && !each.has_first) {
        const duration waited = now_ - each.arrived;
        const double ms = static_cast<double>(waited.count()) / 1000;
        result_.first_byte_ms.push_back(ms);
        window_.OnOnlineLatency(now_, waited);
      }
      each.has_first = true;
      each.tokens_left -= progress / kTokenMs;
      if (!each.is_online) {
        result_.batch_tokens += progress / kTokenMs;
      }
    }
    std::erase_if(running_, [](const stream& each) {
      return each.prefill_left <= 0 && each.tokens_left <= 0;
    });
  }

  batch_window window_;
  const bool has_online_;
  const bool has_batch_;
  const double steady_rate_;
  random_source random_{7};
  steady_time now_;
  std::vector<stream> running_;
  std::deque<stream> queue_;
  std::vector<stream> resumable_;
  std::deque<std::pair<steady_time, online_count>> notices_;
  steady_time next_repeat_at_ = steady_time::max();
  uint64_t sequence_ = 0;
  uint32_t announced_ = 0;
  load_report delayed_report_ = {0, 0, 0, kSlots};
  scenario_result result_;
};

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[static_cast<size_t>(fraction *
                                    static_cast<double>(values.size() - 1))];
}

// Arg 0: the scenario; arg 1: steady online requests per second.
void YieldModel(benchmark::State& state) {
  const char* const scenarios[] = {"online alone", "batch alone", "guarded",
                                   "greedy", "fixed_share"};
  const double rate = static_cast<double>(state.range(1));
  const int64_t scenario = state.range(0);
  const std::string strategy = scenario < 2 ? "greedy" : scenarios[scenario];
  for (auto _ : state) {
    const scenario_result alone =
        engine_simulation("greedy", true, false, rate).Run();
    const scenario_result batch =
        engine_simulation("greedy", false, true, rate).Run();
    const scenario_result run =
        engine_simulation(strategy, scenario != 1, scenario != 0, rate).Run();
    const double p95 = Quantile(run.first_byte_ms, 0.95);
    const double p99 = Quantile(run.first_byte_ms, 0.99);
    state.counters["p95_ms"] = p95;
    state.counters["p99_ms"] = p99;
    state.counters["p95_ratio"] = p95 / Quantile(alone.first_byte_ms, 0.95);
    state.counters["p99_ratio"] = p99 / Quantile(alone.first_byte_ms, 0.99);
    state.counters["mean_batch"] = run.mean_batch;
    state.counters["mean_online"] = run.mean_online;
    state.counters["mean_demand"] = run.mean_demand;
    state.counters["yields"] = static_cast<double>(run.yields);
    state.counters["batch_tokens_s"] =
        run.batch_tokens /
        std::chrono::duration<double>(kSimulatedTime).count();
    state.counters["batch_of_left"] =
        run.batch_tokens / (batch.batch_tokens * alone.free_slot_share);
  }
  state.SetLabel(scenarios[scenario]);
}
BENCHMARK(YieldModel)
    ->ArgsProduct({{0, 1, 2, 3, 4}, {1, 2}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace shallotport
