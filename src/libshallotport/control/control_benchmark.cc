#include <benchmark/benchmark.h>

#include <sstream>

#include "base/codec.h"
#include "base/digest.h"
#include "control/configuration_parser.h"
#include "control/configuration_spread.h"
#include "control/configuration_state.h"

namespace shallotport {
namespace {

constexpr int kServices = 37;

configuration ConfigurationOf(int64_t accounts) {
  configuration config;
  for (int64_t i = 0; i < accounts; ++i) {
    account_configuration account;
    account.id = account_id("account-" + std::to_string(100'000 + i));
    account.token_sha256 = Sha256Hex(account.id.text());
    config.accounts.push_back(account);
  }
  for (int i = 0; i < kServices; ++i) {
    service_configuration service;
    service.id = service_id("model-" + std::to_string(10 + i));
    config.services.push_back(service);
  }
  return config;
}

configuration_change ChangeOf(const configuration& config,
                              const std::string& text,
                              uint64_t number,
                              log_index expected) {
  configuration_change change;
  change.change_id = "change-" + std::to_string(number);
  change.expected_revision = expected;
  change.parsed = config;
  change.parsed.accounts[number % config.accounts.size()].batch_weight =
      static_cast<uint32_t>(number % 1000 + 1);
  change.text = text + "# " + std::to_string(number) + "\n";
  return change;
}

void ApplyChange(benchmark::State& state) {
  const configuration config = ConfigurationOf(state.range(0));
  const std::string text = PrintConfiguration(config);
  configuration_state replicated;
  uint64_t number = 0;
  size_t bytes = 0;
  for (auto step : state) {
    state.PauseTiming();
    ++number;
    const std::string command =
        Encode(ChangeOf(config, text, number, replicated.revision()));
    bytes = command.size();
    state.ResumeTiming();
    benchmark::DoNotOptimize(replicated.Apply({number, 0}, command));
  }
  state.counters["command_bytes"] = static_cast<double>(bytes);
  state.counters["delta_bytes"] = static_cast<double>(
      Encode(replicated.Since(replicated.revision() - 1)).size());
}
BENCHMARK(ApplyChange)->Arg(3)->Arg(330)->Arg(3'300);

void Parse(benchmark::State& state) {
  const std::string text = PrintConfiguration(ConfigurationOf(state.range(0)));
  for (auto step : state) {
    benchmark::DoNotOptimize(ParseConfiguration(text, "bench"));
  }
  state.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(Parse)->Arg(3)->Arg(330)->Arg(3'300);

// What one change costs a host that gets it as a delta.
void ApplyDeltaAtHost(benchmark::State& state) {
  const configuration config = ConfigurationOf(state.range(0));
  configuration_delta whole;
  whole.to = 1;
  whole.is_whole = true;
  whole.accounts = config.accounts;
  whole.services = config.services;
  configuration_replica replica;
  benchmark::DoNotOptimize(replica.Apply(whole));
  log_index revision = 1;
  for (auto step : state) {
    configuration_delta delta;
    delta.from = revision;
    delta.to = ++revision;
    delta.accounts = {config.accounts[revision % config.accounts.size()]};
    delta.accounts[0].batch_weight = static_cast<uint32_t>(revision % 1000);
    benchmark::DoNotOptimize(replica.Apply(delta));
  }
}
BENCHMARK(ApplyDeltaAtHost)->Arg(3)->Arg(330)->Arg(3'300);

}  // namespace
}  // namespace shallotport
