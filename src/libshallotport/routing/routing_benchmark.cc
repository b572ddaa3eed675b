// Time of one routing decision, memory per endpoint, and traffic and memory of
// the account limits.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "base/codec.h"
#include "routing/request_router.h"
#include "transport/peer_message.h"

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

void Configure(request_router& router, const char* strategy) {
  configuration settings;
  service_configuration service;
  service.id = service_id("assistant");
  service.routing_strategy = strategy;
  settings.services.push_back(service);
  settings.accounts.push_back(
      {account_id("a"), "", 1'000'000, 1'000'000, 1, {}});
  router.SetConfiguration(settings, 1);
}

void AdmitRequest(benchmark::State& state,
                  const char* strategy,
                  bool has_prefix) {
  request_router router({host_id("h"), domain_id("a"), 1, "", 1});
  Configure(router, strategy);
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
    Configure(router, "adaptive");
    const size_t before = mallinfo2().uordblks;
    router.UpdateEndpoints(kNow, records);
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["bytes_per_endpoint"] =
      bytes / static_cast<double>(state.range(0));
}

// Traffic and memory of the account limits with 13 hosts and 3,300 accounts.
// The argument is the number of accounts with a demand of three times their
// share at one host; all other accounts are active within their share.
void LimitsExchange(benchmark::State& state) {
  constexpr int kHosts = 13;
  constexpr int kAccounts = 3'300;
  constexpr int kSeconds = 10;
  double bytes = 0;
  double max_bytes = 0;
  double memory = 0;
  for (auto _ : state) {
    configuration settings;
    for (int i = 0; i < kAccounts; ++i) {
      settings.accounts.push_back(
          {account_id("account-" + std::to_string(i)), "", 130, 130, 1, {}});
    }
    std::vector<host_id> names;
    names.reserve(kHosts);
    std::vector<std::unique_ptr<account_limiter>> hosts;
    for (int i = 0; i < kHosts; ++i) {
      names.emplace_back("host-" + std::to_string(i));
    }
    const size_t before = mallinfo2().uordblks;
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(
          std::make_unique<account_limiter>(names[static_cast<size_t>(i)], 1));
      hosts.back()->SetHosts(names);
      hosts.back()->SetConfiguration(settings);
    }
    std::array<double, kHosts> sent{};
    for (int step = 0; step < kSeconds * 10; ++step) {
      const steady_time now = kNow + duration(step * 100'000);
      for (size_t host = 0; host < hosts.size(); ++host) {
        for (int i = 0; i < kAccounts; ++i) {
          const bool is_hot = i < state.range(0) && host == 0;
          const int calls = is_hot ? 3 : (i + step) % 10 == 0 ? 1 : 0;
          for (int call = 0; call < calls; ++call) {
            const account_id& id = settings.accounts[static_cast<size_t>(i)].id;
            if (IsOk(hosts[host]->Acquire(now, id))) {
              hosts[host]->Release(id);
            }
          }
        }
      }
      for (size_t host = 0; step % 5 == 0 && host < hosts.size(); ++host) {
        for (const auto& [to, message] : hosts[host]->MakeMessages(now)) {
          const size_t index = std::stoul(to.text().substr(5));
          sent[host] += static_cast<double>(
              Encode(peer_message{peer_channel::kLimits, names[host], 1, to,
                                  Encode(message)})
                  .size());
          hosts[index]->OnMessage(now, names[host], 1, message);
        }
      }
    }
    bytes = std::accumulate(sent.begin(), sent.end(), 0.0);
    max_bytes = *std::max_element(sent.begin(), sent.end());
    memory = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["sent_bytes_per_host_second"] = bytes / kHosts / kSeconds;
  state.counters["most_bytes_per_host_second"] = max_bytes / kSeconds;
  state.counters["bytes_per_account"] = memory / kHosts / kAccounts;
}

BENCHMARK(LimitsExchange)
    ->Arg(0)
    ->Arg(10)
    ->Arg(100)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(AdmitRequest, adaptive, "adaptive", false)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK_CAPTURE(AdmitRequest, adaptive_prefix, "adaptive", true)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK_CAPTURE(AdmitRequest, round_robin, "round_robin", false)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK_CAPTURE(AdmitRequest, random_two, "random_two_choices", false)
    ->Arg(56)
    ->Arg(1'400);
BENCHMARK(BytesPerEndpoint)->Arg(56)->Arg(1'400);

}  // namespace

}  // namespace shallotport
