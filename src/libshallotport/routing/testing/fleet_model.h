#ifndef SHALLOTPORT_ROUTING_TESTING_FLEET_MODEL_H_
#define SHALLOTPORT_ROUTING_TESTING_FLEET_MODEL_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "routing/request_router.h"

namespace shallotport {

// What is tried in a fleet_model.
struct fleet_scenario {
  const char* name = "steady";
  int endpoints = 20;
  int hosts = 4;
  int slots = 8;
  double utilization = 0.75;
  double slow_factor = 1;     // Of endpoint 0.
  int lost_endpoints = 0;     // Go silent after a third of the time.
  int failing_endpoints = 0;  // Answer each call with an error at once.
  double burst_factor = 1;    // For 5 s of each 20 s.
  int report_lag_ms = 300;
  int prefixes = 0;  // 0: no prompt prefixes.
  int seconds = 120;
};

struct fleet_figures {
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double hit_share = 0;
  double attempts_per_request = 0;
  double failed_share = 0;
};

// A discrete-event model, in virtual time, of entry hosts with a real
// request_router each before endpoints with FIFO queues, a number of slots and
// an LRU cache of prompt prefixes. Requests are idempotent, have a deadline of
// 10 s and at most three attempts; one without a byte for 1 s is cancelled.
class fleet_model {
 public:
  fleet_model(const fleet_scenario& scenario,
              const std::string& strategy,
              bool uses_merit,
              uint64_t seed)
      : scenario_(scenario), random_(seed), endpoints_(scenario.endpoints) {
    configuration settings;
    service_configuration service;
    service.id = service_id("assistant");
    service.routing_strategy = strategy;
    service.first_byte_timeout = std::chrono::milliseconds(1'000);
    settings.services.push_back(service);
    for (int i = 0; i < scenario.hosts; ++i) {
      const std::string name = "h" + std::to_string(i);
      request_router_options options{host_id(name),
                                     domain_id("a"),
                                     1,
                                     "",
                                     seed * 31 + static_cast<uint64_t>(i),
                                     uses_merit};
      routers_.push_back(std::make_unique<request_router>(options));
      routers_.back()->SetConfiguration(settings, 1);
    }
  }

  fleet_figures Run() {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      Report(i);
    }
    At(duration(11'000'000), [this] { Arrive(); });
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return Figures();
  }

 private:
  struct call {
    size_t host = 0;
    steady_time arrived;
    steady_time sent;
    double work_us = 0;
    uint64_t prefix = 0;
    int attempts = 0;
    bool is_over = false;
    bool is_serving = false;
    uint32_t epoch = 0;  // Of the present attempt.
    attempt_ticket ticket = 0;
    std::vector<endpoint_id> tried;
  };
  using call_ref = std::shared_ptr<call>;
  struct queued {
    call_ref item;
    uint32_t epoch;
  };
  struct endpoint {
    std::deque<queued> queue;
    int running = 0;
    uint64_t sequence = 0;
    std::list<uint64_t> cache;
  };
  struct event {
    steady_time at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  static constexpr double kMeanWorkUs = 200'000;
  static constexpr int kWorkStages = 4;  // Erlang distribution.
  static constexpr double kPrefillUs = 300'000;
  static constexpr double kHitPrefillUs = 30'000;
  static constexpr size_t kCachedPrefixes = 24;
  static constexpr duration kFirstByteTimeout{1'000'000};
  static constexpr steady_time kStart{std::chrono::seconds(1'000)};

  void At(duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  duration Elapsed() const { return now_ - kStart; }
  bool IsOver() const {
    return Elapsed() > std::chrono::seconds(scenario_.seconds);
  }
  bool IsLost(size_t index) const {
    return static_cast<int>(index) < scenario_.lost_endpoints &&
           Elapsed() > std::chrono::seconds(scenario_.seconds / 3);
  }

  void Report(size_t index) {
    if (IsOver()) {
      return;
    }
    endpoint& self = endpoints_[index];
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(index));
    record.started = 1;
    record.domain = domain_id("a");
    record.services = {service_id("assistant")};
    record.load = {++self.sequence, static_cast<uint32_t>(self.running),
                   static_cast<uint32_t>(self.queue.size()),
                   static_cast<uint32_t>(scenario_.slots)};
    const duration lag = self.sequence == 1
                             ? duration(0)
                             : duration(scenario_.report_lag_ms * 1'000);
    At(lag, [this, record] {
      for (const auto& router : routers_) {
        router->UpdateEndpoint(now_, record);
      }
    });
    if (!IsLost(index)) {
      const auto jitter = static_cast<int64_t>(UniformBelow(random_, 100'000));
      At(duration(450'000 + jitter), [this, index] { Report(index); });
    }
  }

  double ArrivalsPerSecond() const {
    double work = kMeanWorkUs;
    if (scenario_.prefixes > 0) {
      work += (kPrefillUs + kHitPrefillUs) / 2;
    }
    const double capacity = scenario_.endpoints * scenario_.slots * 1e6 / work;
    const auto in_period = Elapsed() % std::chrono::seconds(20);
    const bool is_burst = in_period < std::chrono::seconds(5);
    return capacity * scenario_.utilization *
           (is_burst ? scenario_.burst_factor : 1);
  }

  void Arrive() {
    if (IsOver()) {
      return;
    }
    auto item = std::make_shared<call>();
    item->host = UniformBelow(random_, routers_.size());
    item->arrived = now_;
    for (int i = 0; i < kWorkStages; ++i) {
      item->work_us -=
          kMeanWorkUs / kWorkStages * std::log(1 - UniformUnit(random_));
    }
    if (scenario_.prefixes > 0) {
      // Squared: some prefixes are far more frequent than others.
      const double unit = UniformUnit(random_);
      item->prefix =
          1 + static_cast<uint64_t>(unit * unit * scenario_.prefixes);
    }
    ++requests_;
    Send(item);
    const double gap =
        -1e6 * std::log(1 - UniformUnit(random_)) / ArrivalsPerSecond();
    At(duration(static_cast<int64_t>(gap) + 1), [this] { Arrive(); });
  }

  void Send(const call_ref& item) {
    route_query query;
    query.service = service_id("assistant");
    query.prefix_hash = item->prefix * 0x9e3779b97f4a7c15ULL;
    query.deadline = item->arrived + std::chrono::seconds(10);
    query.excluded = item->tried;
    query.is_retry = item->attempts > 0;
    const auto choice = routers_[item->host]->Admit(now_, query);
    if (!IsOk(choice) || item->attempts == 3) {
      ++failed_;
      item->is_over = true;
      return;
    }
    ++attempts_;
    ++item->attempts;
    ++item->epoch;
    item->is_serving = false;
    item->sent = now_;
    item->ticket = ValueOf(choice).ticket;
    item->tried.push_back(ValueOf(choice).endpoint);
    const size_t index = std::stoul(ValueOf(choice).endpoint.text().substr(1));
    const uint32_t epoch = item->epoch;
    At(duration(500),
       [this, item, index, epoch] { Reach(item, index, epoch); });
    At(kFirstByteTimeout, [this, item, epoch] { Expire(item, epoch); });
  }

  void Expire(const call_ref& item, uint32_t epoch) {
    if (item->is_over || item->epoch != epoch || item->is_serving) {
      return;
    }
    Fail(item, attempt_outcome::kTimedOut);
  }

  void Fail(const call_ref& item, attempt_outcome outcome) {
    ++item->epoch;
    routers_[item->host]->OnFinished(now_, item->ticket, outcome,
                                     now_ - item->sent);
    Send(item);
  }

  void Reach(const call_ref& item, size_t index, uint32_t epoch) {
    const int first_failing = scenario_.endpoints - scenario_.failing_endpoints;
    if (static_cast<int>(index) >= first_failing) {
      At(duration(5'000),
         [this, item] { Fail(item, attempt_outcome::kFailed); });
      return;
    }
    endpoints_[index].queue.push_back({item, epoch});
    Serve(index);
  }

  void Serve(size_t index) {
    endpoint& self = endpoints_[index];
    while (!IsLost(index) && self.running < scenario_.slots &&
           !self.queue.empty()) {
      const queued next = self.queue.front();
      self.queue.pop_front();
      if (next.item->epoch != next.epoch) {
        continue;  // Cancelled while it was queued.
      }
      ++self.running;
      next.item->is_serving = true;
      double work = next.item->work_us;
      if (next.item->prefix != 0) {
        work +=
            TouchCache(self, next.item->prefix) ? kHitPrefillUs : kPrefillUs;
      }
      work *= index == 0 ? scenario_.slow_factor : 1;
      At(duration(static_cast<int64_t>(work)),
         [this, item = next.item, index] { Finish(item, index); });
    }
  }

  bool TouchCache(endpoint& self, uint64_t prefix) {
    ++lookups_;
    const auto found = std::find(self.cache.begin(), self.cache.end(), prefix);
    const bool is_hit = found != self.cache.end();
    if (is_hit) {
      self.cache.erase(found);
      ++hits_;
    }
    self.cache.push_front(prefix);
    if (self.cache.size() > kCachedPrefixes) {
      self.cache.pop_back();
    }
    return is_hit;
  }

  void Finish(const call_ref& item, size_t index) {
    --endpoints_[index].running;
    if (IsLost(index)) {
      item->is_serving = false;
      Fail(item, attempt_outcome::kFailed);
      return;
    }
    routers_[item->host]->OnFinished(now_, item->ticket, attempt_outcome::kOk,
                                     now_ - item->sent);
    item->is_over = true;
    latencies_ms_.push_back(
        static_cast<double>((now_ - item->arrived).count()) / 1e3);
    Serve(index);
  }

  fleet_figures Figures() {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    const auto quantile = [this](double share) {
      return latencies_ms_[static_cast<size_t>(
          share * static_cast<double>(latencies_ms_.size() - 1))];
    };
    const auto requests = static_cast<double>(requests_);
    return {quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            lookups_ == 0 ? 0 : static_cast<double>(hits_) / lookups_,
            static_cast<double>(attempts_) / requests,
            static_cast<double>(failed_) / requests};
  }

  fleet_scenario scenario_;
  random_source random_;
  steady_time now_ = kStart;
  uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<endpoint> endpoints_;
  std::vector<std::unique_ptr<request_router>> routers_;
  std::vector<double> latencies_ms_;
  uint64_t requests_ = 0;
  uint64_t attempts_ = 0;
  uint64_t failed_ = 0;
  uint64_t lookups_ = 0;
  uint64_t hits_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_TESTING_FLEET_MODEL_H_
