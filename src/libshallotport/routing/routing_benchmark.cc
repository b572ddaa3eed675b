// Time of one routing decision, and memory per endpoint.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "routing/request_router.h"

namespace shallotport {

namespace {

constexpr steady_time kNow{std::chrono::seconds(1'000)};

std::vector<endpoint_record> MakeRecords(int64_t count) {
  std::vector<endpoint_record> records;
  for (int64_t i = 0; i < count; ++i) {
    endpoint_record record;
    record.id = endpoint_id("runner-" + std::to_string(i));
    record.started = 1;
    record.domain = domain_id("a");
    record.address = "10.0.0.1:8000";
    record.services = {service_id("assistant")};
    record.load = {1, static_cast<uint32_t>(i % 5), 0, 8};
    records.push_back(record);
  }
  return records;
}

void Prepare(request_router& router, const char* strategy) {
  configuration settings;
  service_configuration service;
  service.id = service_id("assistant");
  service.routing_strategy = strategy;
  settings.services.push_back(service);
  settings.accounts.push_back({account_id("a"), "", 1'000'000, 1'000'000, 1});
  router.SetConfiguration(settings, 1);
}

void Decide(benchmark::State& state, const char* strategy, bool has_prefix) {
  request_router router({host_id("h"), domain_id("a"), 1, "", 1});
  Prepare(router, strategy);
  router.UpdateEndpoints(kNow, MakeRecords(state.range(0)));
  steady_time now = kNow;
  route_query query;
  query.account = account_id("a");
  query.service = service_id("assistant");
  uint64_t count = 0;
  for (auto _ : state) {
    now += duration(10);
    query.deadline = now + std::chrono::seconds(10);
    query.prefix_hash = has_prefix ? 1 + count++ % 500 : 0;
    const auto choice = router.Admit(now, query);
    benchmark::DoNotOptimize(choice);
    router.OnFinished(now, ValueOf(choice).ticket, attempt_outcome::kOk,
                      duration(200'000));
  }
}

void BytesPerEndpoint(benchmark::State& state) {
  double bytes = 0;
  for (auto _ : state) {
    const std::vector<endpoint_record> records = MakeRecords(state.range(0));
    request_router router({host_id("h"), domain_id("a"), 1, "", 1});
    Prepare(router, "adaptive");
    const size_t before = mallinfo2().uordblks;
    router.UpdateEndpoints(kNow, records);
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["bytes_per_endpoint"] =
      bytes / static_cast<double>(state.range(0));
}

BENCHMARK_CAPTURE(Decide, adaptive, "adaptive", false)->Arg(56)->Arg(1'400);
BENCHMARK_CAPTURE(Decide, adaptive_prefix, "adaptive", true)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK_CAPTURE(Decide, round_robin, "round_robin", false)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK_CAPTURE(Decide, random_two, "random_two_choices", false)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK(BytesPerEndpoint)->Arg(56)->Arg(1'400);

}  // namespace

}  // namespace shallotport
