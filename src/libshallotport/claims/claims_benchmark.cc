#include <benchmark/benchmark.h>
#include <malloc.h>

#include <sstream>

#include "base/codec.h"
#include "claims/claim_state.h"

namespace shallotport {
namespace {

constexpr size_t kResponseBytes = 200;

claim_begin MakeBegin(uint64_t number) {
  claim_begin begin;
  begin.key = {number * 0x9E3779B97F4A7C15ULL, number * 0xC2B2AE3D27D4EB4FULL};
  begin.host = host_id("host-a-01");
  begin.host_incarnation = 1;
  begin.attempt = attempt_id("host-a-01/1/" + std::to_string(number));
  begin.endpoint = endpoint_id("unlock-1");
  begin.open_timeout_ms = 30'000;
  begin.retention_ms = 86'400'000;
  return begin;
}

claim_finish MakeFinish(const claim_begin& begin) {
  return {begin.key,
          begin.attempt,
          {200,
           {{"Content-Type", "application/json"}},
           std::string(kResponseBytes, 'x'),
           false}};
}

void BeginAndFinish(benchmark::State& state) {
  const claim_limits limits{.max_claims = 1U << 30U,
                            .max_keys = 1U << 30U,
                            .max_response_bytes = 1ULL << 40U};
  auto claims = std::make_unique<claim_state>(limits);
  uint64_t number = 0;
  for (auto step : state) {
    const claim_begin begin = MakeBegin(++number);
    const std::string encoded_begin = Encode(claim_command(begin));
    const std::string encoded_finish = Encode(claim_command(MakeFinish(begin)));
    benchmark::DoNotOptimize(claims->Apply({number, 1}, encoded_begin));
    benchmark::DoNotOptimize(claims->Apply({number, 1}, encoded_finish));
  }
  state.counters["begin_bytes"] =
      static_cast<double>(Encode(claim_command(MakeBegin(1))).size());
  state.counters["finish_bytes"] = static_cast<double>(
      Encode(claim_command(MakeFinish(MakeBegin(1)))).size());
}
BENCHMARK(BeginAndFinish);

void Resend(benchmark::State& state) {
  claim_state claims;
  claims.ApplyCommand(1, MakeBegin(1));
  claims.ApplyCommand(1, MakeFinish(MakeBegin(1)));
  const std::string command = Encode(claim_command(MakeBegin(1)));
  for (auto step : state) {
    benchmark::DoNotOptimize(claims.Apply({2, 1}, command));
  }
}
BENCHMARK(Resend);

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

// Heap bytes of each claim with a recorded response, and of each key after it
// has expired.
void HeapBytesPerClaim(benchmark::State& state) {
  const auto count = static_cast<uint64_t>(state.range(0));
  for (auto step : state) {
    const size_t before = HeapBytes();
    claim_state claims;
    const size_t empty = HeapBytes();
    for (uint64_t i = 1; i <= count; ++i) {
      claims.ApplyCommand(1, MakeBegin(i));
      claims.ApplyCommand(1, MakeFinish(MakeBegin(i)));
    }
    const size_t full = HeapBytes();
    claims.ApplyCommand(2 * 86'400'000, claim_abandon{});
    claims.ApplyCommand(3 * 86'400'000LL, claim_abandon{});
    const size_t expired = HeapBytes();
    state.counters["empty_bytes"] = static_cast<double>(empty - before);
    state.counters["bytes_per_claim"] =
        static_cast<double>(full - empty) / static_cast<double>(count);
    state.counters["bytes_per_expired_key"] =
        static_cast<double>(expired - empty) / static_cast<double>(count);
  }
}
BENCHMARK(HeapBytesPerClaim)
    ->Arg(100'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

void WriteAndLoadSnapshot(benchmark::State& state) {
  claim_state claims;
  for (uint64_t i = 1; i <= 100'000; ++i) {
    claims.ApplyCommand(1, MakeBegin(i));
    claims.ApplyCommand(1, MakeFinish(MakeBegin(i)));
  }
  double begin_seconds = 0;
  double load_seconds = 0;
  double size = 0;
  for (auto step : state) {
    const auto start = std::chrono::steady_clock::now();
    const auto writer = claims.BeginSnapshot();
    const auto taken = std::chrono::steady_clock::now();
    std::stringstream bytes;
    benchmark::DoNotOptimize(writer->Write(bytes));
    size = static_cast<double>(bytes.tellp());
    claim_state loaded;
    const auto written = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(loaded.LoadSnapshot(bytes));
    const auto end = std::chrono::steady_clock::now();
    begin_seconds = std::chrono::duration<double>(taken - start).count();
    load_seconds = std::chrono::duration<double>(end - written).count();
  }
  state.counters["begin_us"] = begin_seconds * 1e6;
  state.counters["load_ms"] = load_seconds * 1e3;
  state.counters["bytes"] = size;
}
BENCHMARK(WriteAndLoadSnapshot)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace shallotport
