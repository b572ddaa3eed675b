#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>

#include "membership/membership_simulation.h"
#include "membership/summary_simulation.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{duration(10'000'000)};

endpoint_record MakeRecord(int number) {
  endpoint_record record;
  record.id = endpoint_id("runner-" + std::to_string(number));
  record.started = 1;
  record.domain = domain_id("a");
  record.address = "127.0.0.1:9000";
  record.services = {service_id("assistant"), service_id("forecast")};
  record.is_runner = true;
  record.load = {1, 3, 0, 8};
  return record;
}

endpoint_registry MakeRegistry(int endpoints) {
  endpoint_registry_options options;
  options.self = host_id("host-1");
  options.domain = domain_id("a");
  options.max_endpoints = 2'048;
  endpoint_registry registry(options, kStart, 1);
  std::vector<host_id> peers;
  for (int i = 2; i <= 13; ++i) {
    peers.emplace_back("host-" + std::to_string(i));
  }
  registry.SetPeers(std::move(peers));
  std::vector<registry_action> out;
  for (int i = 0; i < endpoints; ++i) {
    registry.Announce(kStart, MakeRecord(i), out);
  }
  return registry;
}

void BM_Announce(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  endpoint_registry registry = MakeRegistry(count);
  std::vector<endpoint_record> records;
  records.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    records.push_back(MakeRecord(i));
  }
  std::vector<registry_action> out;
  size_t next = 0;
  for (auto _ : state) {
    endpoint_record& record = records[next++ % records.size()];
    ++record.load.sequence;
    registry.Announce(kStart, record, out);
    out.clear();
  }
}
BENCHMARK(BM_Announce)->Arg(56)->Arg(1'400);

// Decodes and applies one message with the loads of all endpoints.
void BM_ReceiveLoads(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  endpoint_registry sender = MakeRegistry(count);
  endpoint_registry receiver = MakeRegistry(count);
  std::vector<registry_action> out;
  uint64_t sequence = 1;
  steady_time now = kStart;
  for (auto _ : state) {
    state.PauseTiming();
    now += 4s;
    ++sequence;
    for (int i = 0; i < count; ++i) {
      endpoint_record record = MakeRecord(i);
      record.load.sequence = sequence;
      sender.Announce(now, record, out);
    }
    std::string payload;
    for (const registry_action& action : sender.OnTimer(now)) {
      const auto* send = std::get_if<send_registry>(&action);
      if (send != nullptr &&
          std::holds_alternative<registry_loads>(send->message)) {
        payload = EncodeRegistryMessage(send->message);
      }
    }
    state.ResumeTiming();
    const auto message = DecodeRegistryMessage(payload);
    benchmark::DoNotOptimize(
        receiver.OnMessage(now, host_id("host-2"), ValueOf(message)));
  }
}
BENCHMARK(BM_ReceiveLoads)->Arg(56)->Arg(1'400)->Iterations(500);

void BM_RegistryTimer(benchmark::State& state) {
  endpoint_registry registry = MakeRegistry(static_cast<int>(state.range(0)));
  steady_time now = kStart;
  for (auto _ : state) {
    now += 1ms;
    benchmark::DoNotOptimize(registry.OnTimer(now));
    if (now > kStart + 4s) {
      state.PauseTiming();
      registry = MakeRegistry(static_cast<int>(state.range(0)));
      now = kStart;
      state.ResumeTiming();
    }
  }
}
BENCHMARK(BM_RegistryTimer)->Arg(56)->Arg(1'400);

void BM_BytesPerEndpoint(benchmark::State& state) {
  const auto count = static_cast<int>(state.range(0));
  for (auto _ : state) {
    const size_t before = mallinfo2().uordblks;
    endpoint_registry registry = MakeRegistry(count);
    for (int step = 0; step < 60; ++step) {
      registry.OnTimer(kStart + step * 100ms);
    }
    const size_t after = mallinfo2().uordblks;
    state.counters["bytes_per_endpoint"] =
        static_cast<double>(after - before) / count;
  }
}
BENCHMARK(BM_BytesPerEndpoint)->Arg(56)->Arg(1'400)->Iterations(1);

// Bytes, headers included, and messages that each host of a domain sends in a
// minute.
void BM_ControlBytes(benchmark::State& state) {
  const auto hosts = static_cast<size_t>(state.range(0));
  const auto endpoints = static_cast<size_t>(state.range(1));
  for (auto _ : state) {
    membership_simulation net(hosts, 1);
    for (size_t i = 0; i < endpoints; ++i) {
      net.AddEndpoint("runner-" + std::to_string(i), i % hosts);
    }
    net.Run(30s);
    net.counts_bytes = true;
    for (auto& node : net.nodes()) {
      node.sent_messages = 0;
    }
    net.Run(60s);
    size_t most = 0;
    double bytes = 0;
    double messages = 0;
    for (const auto& node : net.nodes()) {
      most = std::max(most, node.sent_bytes);
      bytes += static_cast<double>(node.sent_bytes);
      messages += static_cast<double>(node.sent_messages);
    }
    const double host_seconds = 60.0 * static_cast<double>(hosts);
    state.counters["bytes_per_host_s"] = bytes / host_seconds;
    state.counters["most_bytes_per_host_s"] = static_cast<double>(most) / 60;
    state.counters["messages_per_host_s"] = messages / host_seconds;
  }
}
BENCHMARK(BM_ControlBytes)
    ->Args({2, 5})
    ->Args({6, 23})
    ->Args({13, 56})
    ->Args({13, 112})
    ->Args({26, 112})
    ->Iterations(1);

// Bytes of summaries sent by relays and other hosts in a minute, with four
// domains per region.
void BM_SummaryBytes(benchmark::State& state) {
  const auto domains = static_cast<size_t>(state.range(0));
  const auto hosts = static_cast<size_t>(state.range(1));
  const auto services = static_cast<size_t>(state.range(2));
  for (auto _ : state) {
    summary_simulation simulation(domains, hosts, 4);
    for (int second = 0; second < 60; ++second) {
      for (size_t domain = 0; domain < domains; ++domain) {
        simulation.SetLocalServices(
            domain, hosts, static_cast<uint16_t>(second % 8), services);
      }
      simulation.Run(1s);
    }
    double relay_bytes = 0;
    double other_bytes = 0;
    double relays = 0;
    for (const auto& [name, table] : simulation.tables) {
      (table.IsRelay() ? relay_bytes : other_bytes) +=
          static_cast<double>(simulation.sent_bytes[name]);
      relays += table.IsRelay() ? 1 : 0;
    }
    const double other_hosts = static_cast<double>(domains * hosts) - relays;
    state.counters["relay_bytes_per_s"] = relay_bytes / relays / 60;
    state.counters["other_bytes_per_s"] =
        other_hosts > 0 ? other_bytes / other_hosts / 60 : 0;
  }
}
BENCHMARK(BM_SummaryBytes)
    ->Args({4, 2, 2})
    ->Args({4, 13, 37})
    ->Args({25, 13, 37})
    ->Iterations(1);

}  // namespace
}  // namespace shallotport
