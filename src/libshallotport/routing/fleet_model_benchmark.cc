// Compares the endpoint choice strategies in a model of a fleet. The figures
// are the counters; the times are those of the model's own computation.

#include <benchmark/benchmark.h>

#include <array>

#include "routing/testing/fleet_model.h"

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

void RunModel(benchmark::State& state,
              const fleet_scenario& scenario,
              std::string_view strategy,
              bool uses_merit) {
  fleet_figures sum;
  int runs = 0;
  for (auto _ : state) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const fleet_figures figures =
          fleet_model(scenario, std::string(strategy), uses_merit, seed).Run();
      sum.p50_ms += figures.p50_ms;
      sum.p95_ms += figures.p95_ms;
      sum.p99_ms += figures.p99_ms;
      sum.hit_share += figures.hit_share;
      sum.attempts_per_request += figures.attempts_per_request;
      sum.failed_share += figures.failed_share;
      ++runs;
    }
  }
  state.counters["p50_ms"] = sum.p50_ms / runs;
  state.counters["p95_ms"] = sum.p95_ms / runs;
  state.counters["p99_ms"] = sum.p99_ms / runs;
  state.counters["hits"] = sum.hit_share / runs;
  state.counters["attempts"] = sum.attempts_per_request / runs;
  state.counters["failed"] = sum.failed_share / runs;
}

// A strategy, with or without breakers, ejection and slow start.
struct model_row {
  const char* label;
  const char* strategy;
  bool uses_merit;
};
constexpr std::array<model_row, 5> kRows = {{
    {"adaptive", "adaptive", true},
    {"round_robin", "round_robin", true},
    {"plain_round_robin", "round_robin", false},
    {"plain_least_reported_load", "least_reported_load", false},
    {"plain_random_two_choices", "random_two_choices", false},
}};

const bool kIsRegistered = [] {
  for (const fleet_scenario& scenario : kScenarios) {
    for (const model_row& row : kRows) {
      const std::string name = std::string(scenario.name) + "/" + row.label;
      benchmark::RegisterBenchmark(name.c_str(),
                                   [&scenario, &row](benchmark::State& state) {
                                     RunModel(state, scenario, row.strategy,
                                              row.uses_merit);
                                   })
          ->Iterations(1)
          ->Unit(benchmark::kMillisecond);
    }
  }
  return true;
}();

}  // namespace

}  // namespace shallotport
