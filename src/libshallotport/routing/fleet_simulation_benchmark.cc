// Compares the endpoint choice strategies in a simulation of a fleet. The
// results are the counters; the benchmark times are those of the simulation
// itself.

#include <benchmark/benchmark.h>

#include <array>

#include "routing/testing/fleet_simulation.h"

namespace shallotport {

namespace {

constexpr std::array<fleet_scenario, 12> kScenarios = {{
    {.name = "steady"},
    {.name = "slow_endpoint", .slow_factor = 5},
    {.name = "lost_endpoint", .lost_endpoints = 1},
    {.name = "burst_3x", .utilization = 0.3, .burst_factor = 3},
    {.name = "burst_3x_overload", .utilization = 0.5, .burst_factor = 3},
    {.name = "lagging_reports", .report_lag_ms = 3'000},
    {.name = "lagging_and_slow", .slow_factor = 5, .report_lag_ms = 3'000},
    {.name = "large_steady", .endpoints = 56, .hosts = 13, .seconds = 60},
    {.name = "large_lagging",
     .endpoints = 56,
     .hosts = 13,
     .report_lag_ms = 1'000,
     .seconds = 60},
    {.name = "shared_prefixes", .utilization = 0.6, .prefixes = 200},
    {.name = "third_fails", .utilization = 0.4, .failing_endpoints = 7},
    {.name = "third_lost", .utilization = 0.4, .lost_endpoints = 7},
}};

void RunSimulation(benchmark::State& state,
                   const fleet_scenario& scenario,
                   std::string_view strategy,
                   bool uses_endpoint_health) {
  fleet_statistics sum;
  int run_count = 0;
  for (auto _ : state) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const fleet_statistics statistics =
          fleet_simulation(scenario, std::string(strategy),
                           uses_endpoint_health, seed)
              .Run();
      sum.p50_ms += statistics.p50_ms;
      sum.p95_ms += statistics.p95_ms;
      sum.p99_ms += statistics.p99_ms;
      sum.cache_hit_share += statistics.cache_hit_share;
      sum.attempts_per_request += statistics.attempts_per_request;
      sum.failed_share += statistics.failed_share;
      ++run_count;
    }
  }
  state.counters["p50_ms"] = sum.p50_ms / run_count;
  state.counters["p95_ms"] = sum.p95_ms / run_count;
  state.counters["p99_ms"] = sum.p99_ms / run_count;
  state.counters["hits"] = sum.cache_hit_share / run_count;
  state.counters["attempts"] = sum.attempts_per_request / run_count;
  state.counters["failed"] = sum.failed_share / run_count;
}

// A strategy with or without circuit breakers, ejection and slow start.
struct strategy_case {
  const char* label;
  const char* strategy;
  bool uses_endpoint_health;
};
constexpr std::array<strategy_case, 5> kStrategyCases = {{
    {"adaptive", "adaptive", true},
    {"round_robin", "round_robin", true},
    {"plain_round_robin", "round_robin", false},
    {"plain_least_reported_load", "least_reported_load", false},
    {"plain_random_two_choices", "random_two_choices", false},
}};

const bool kIsRegistered = [] {
  for (const fleet_scenario& scenario : kScenarios) {
    for (const strategy_case& entry : kStrategyCases) {
      const std::string name = std::string(scenario.name) + "/" + entry.label;
      benchmark::RegisterBenchmark(
          name.c_str(),
          [&scenario, &entry](benchmark::State& state) {
            RunSimulation(state, scenario, entry.strategy,
                          entry.uses_endpoint_health);
          })
          ->Iterations(1)
          ->Unit(benchmark::kMillisecond);
    }
  }
  return true;
}();

}  // namespace

}  // namespace shallotport
