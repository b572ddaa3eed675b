#ifndef SHALLOTPORT_ROUTING_TESTING_FLEET_SIMULATION_H_
#define SHALLOTPORT_ROUTING_TESTING_FLEET_SIMULATION_H_

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

// Size, load and faults of a fleet_simulation.
struct fleet_scenario {
  const char* name = "steady";
  int endpoints = 20;
  int hosts = 4;
  int slots = 8;
  double utilization = 0.75;
  double slow_factor = 1;     // Of endpoint 0.
  int lost_endpoints = 0;     // Become silent after a third of the time.
  int failing_endpoints = 0;  // Respond to each attempt with an error.
  double burst_factor = 1;    // For 5 s of each 20 s.
  int report_lag_ms = 300;
  int prefixes = 0;  // 0: no prompt prefixes.
  int seconds = 120;
};

struct fleet_statistics {
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double cache_hit_share = 0;
  double attempts_per_request = 0;
  double failed_share = 0;
};

// Discrete-event simulation, in virtual time, of entry hosts and endpoints.
// Each host has a real request_router; each endpoint has a FIFO queue, a number
// of slots and an LRU cache of prompt prefixes. Requests are idempotent and
// have a deadline of 10 s and at most three attempts; an attempt that gets no
// byte for 1 s is cancelled.
class fleet_simulation {
 public:
  fleet_simulation(const fleet_scenario& scenario,
                   const std::string& strategy,
                   bool uses_endpoint_health,
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
                                     uses_endpoint_health};
      routers_.push_back(std::make_unique<request_router>(options));
      routers_.back()->SetConfiguration(settings, 1);
    }
  }

  fleet_statistics Run() {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      SendReport(i);
    }
    ScheduleAfter(duration(11'000'000), [this] { GenerateArrival(); });
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return MakeStatistics();
  }

 private:
  struct simulated_request {
    size_t host = 0;
    steady_time arrived;
    steady_time sent;
    double service_time_us = 0;
    uint64_t prefix = 0;
    int attempts = 0;
    bool has_ended = false;
    bool is_executing = false;
    uint32_t epoch = 0;  // Of the current attempt.
    attempt_ticket ticket = 0;
    std::vector<endpoint_id> attempted_endpoints;
  };
  using request_ref = std::shared_ptr<simulated_request>;
  struct queued_attempt {
    request_ref request;
    uint32_t epoch;
  };
  struct endpoint {
    std::deque<queued_attempt> queue;
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

  static constexpr double kMeanServiceTimeUs = 200'000;
  static constexpr int kServiceTimeStages = 4;  // Erlang distribution.
  static constexpr double kPrefillUs = 300'000;
  static constexpr double kCachedPrefillUs = 30'000;
  static constexpr size_t kCachedPrefixes = 24;
  static constexpr duration kFirstByteTimeout{1'000'000};
  static constexpr steady_time kStart{std::chrono::seconds(1'000)};

  void ScheduleAfter(duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++order_, std::move(run)});
  }
  duration Elapsed() const { return now_ - kStart; }
  bool HasEnded() const {
    return Elapsed() > std::chrono::seconds(scenario_.seconds);
  }
  bool IsLost(size_t index) const {
    return static_cast<int>(index) < scenario_.lost_endpoints &&
           Elapsed() > std::chrono::seconds(scenario_.seconds / 3);
  }

  void SendReport(size_t index) {
    if (HasEnded()) {
      return;
    }
    endpoint& target = endpoints_[index];
    endpoint_record record;
    record.id = endpoint_id("e" + std::to_string(index));
    record.started = 1;
    record.domain = domain_id("a");
    record.services = {service_id("assistant")};
    record.load = {++target.sequence, static_cast<uint32_t>(target.running),
                   static_cast<uint32_t>(target.queue.size()),
                   static_cast<uint32_t>(scenario_.slots)};
    const duration lag = target.sequence == 1
                             ? duration(0)
                             : duration(scenario_.report_lag_ms * 1'000);
    ScheduleAfter(lag, [this, record] {
      for (const auto& router : routers_) {
        router->UpdateEndpoint(now_, record);
      }
    });
    if (!IsLost(index)) {
      const auto jitter = static_cast<int64_t>(UniformBelow(random_, 100'000));
      ScheduleAfter(duration(450'000 + jitter),
                    [this, index] { SendReport(index); });
    }
  }

  double ArrivalsPerSecond() const {
    double service_time = kMeanServiceTimeUs;
    if (scenario_.prefixes > 0) {
      service_time += (kPrefillUs + kCachedPrefillUs) / 2;
    }
    const double capacity =
        scenario_.endpoints * scenario_.slots * 1e6 / service_time;
    const auto in_period = Elapsed() % std::chrono::seconds(20);
    const bool is_burst = in_period < std::chrono::seconds(5);
    return capacity * scenario_.utilization *
           (is_burst ? scenario_.burst_factor : 1);
  }

  void GenerateArrival() {
    if (HasEnded()) {
      return;
    }
    auto request = std::make_shared<simulated_request>();
    request->host = UniformBelow(random_, routers_.size());
    request->arrived = now_;
    for (int i = 0; i < kServiceTimeStages; ++i) {
      request->service_time_us -= kMeanServiceTimeUs / kServiceTimeStages *
                                  std::log(1 - UniformUnit(random_));
    }
    if (scenario_.prefixes > 0) {
      // Squared, so that some prefixes are far more frequent than others.
      const double unit = UniformUnit(random_);
      request->prefix =
          1 + static_cast<uint64_t>(unit * unit * scenario_.prefixes);
    }
    ++requests_;
    SendAttempt(request);
    const double gap =
        -1e6 * std::log(1 - UniformUnit(random_)) / ArrivalsPerSecond();
    ScheduleAfter(duration(static_cast<int64_t>(gap) + 1),
                  [this] { GenerateArrival(); });
  }

  void SendAttempt(const request_ref& request) {
    route_query query;
    query.service = service_id("assistant");
    query.prefix_hash = request->prefix * 0x9e3779b97f4a7c15ULL;
    query.deadline = request->arrived + std::chrono::seconds(10);
    query.excluded = request->attempted_endpoints;
    query.is_retry = request->attempts > 0;
    const auto choice = routers_[request->host]->Admit(now_, query);
    if (!IsOk(choice) || request->attempts == 3) {
      ++failed_;
      request->has_ended = true;
      return;
    }
    ++attempts_;
    ++request->attempts;
    ++request->epoch;
    request->is_executing = false;
    request->sent = now_;
    request->ticket = ValueOf(choice).ticket;
    request->attempted_endpoints.push_back(ValueOf(choice).endpoint);
    const size_t index = std::stoul(ValueOf(choice).endpoint.text().substr(1));
    const uint32_t epoch = request->epoch;
    ScheduleAfter(duration(500), [this, request, index, epoch] {
      ArriveAtEndpoint(request, index, epoch);
    });
    ScheduleAfter(kFirstByteTimeout, [this, request, epoch] {
      OnFirstByteTimeout(request, epoch);
    });
  }

  void OnFirstByteTimeout(const request_ref& request, uint32_t epoch) {
    if (request->has_ended || request->epoch != epoch ||
        request->is_executing) {
      return;
    }
    FailAttempt(request, attempt_outcome::kTimedOut);
  }

  void FailAttempt(const request_ref& request, attempt_outcome outcome) {
    ++request->epoch;
    routers_[request->host]->OnFinished(now_, request->ticket, outcome,
                                        now_ - request->sent);
    SendAttempt(request);
  }

  void ArriveAtEndpoint(const request_ref& request,
                        size_t index,
                        uint32_t epoch) {
    const int first_failing = scenario_.endpoints - scenario_.failing_endpoints;
    if (static_cast<int>(index) >= first_failing) {
      ScheduleAfter(duration(5'000), [this, request] {
        FailAttempt(request, attempt_outcome::kFailed);
      });
      return;
    }
    endpoints_[index].queue.push_back({request, epoch});
    StartQueuedAttempts(index);
  }

  void StartQueuedAttempts(size_t index) {
    endpoint& target = endpoints_[index];
    while (!IsLost(index) && target.running < scenario_.slots &&
           !target.queue.empty()) {
      const queued_attempt next = target.queue.front();
      target.queue.pop_front();
      if (next.request->epoch != next.epoch) {
        continue;  // Cancelled while it was queued.
      }
      ++target.running;
      next.request->is_executing = true;
      double service_time = next.request->service_time_us;
      if (next.request->prefix != 0) {
        service_time += TouchCache(target, next.request->prefix)
                            ? kCachedPrefillUs
                            : kPrefillUs;
      }
      service_time *= index == 0 ? scenario_.slow_factor : 1;
      ScheduleAfter(duration(static_cast<int64_t>(service_time)),
                    [this, request = next.request, index] {
                      FinishAttempt(request, index);
                    });
    }
  }

  bool TouchCache(endpoint& target, uint64_t prefix) {
    ++lookups_;
    const auto found =
        std::find(target.cache.begin(), target.cache.end(), prefix);
    const bool is_hit = found != target.cache.end();
    if (is_hit) {
      target.cache.erase(found);
      ++hits_;
    }
    target.cache.push_front(prefix);
    if (target.cache.size() > kCachedPrefixes) {
      target.cache.pop_back();
    }
    return is_hit;
  }

  void FinishAttempt(const request_ref& request, size_t index) {
    --endpoints_[index].running;
    if (IsLost(index)) {
      request->is_executing = false;
      FailAttempt(request, attempt_outcome::kFailed);
      return;
    }
    routers_[request->host]->OnFinished(
        now_, request->ticket, attempt_outcome::kOk, now_ - request->sent);
    request->has_ended = true;
    latencies_ms_.push_back(
        static_cast<double>((now_ - request->arrived).count()) / 1e3);
    StartQueuedAttempts(index);
  }

  fleet_statistics MakeStatistics() {
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
