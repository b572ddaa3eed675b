#include <benchmark/benchmark.h>
#include <malloc.h>

#include <sstream>
#include <string>

#include "base/codec.h"
#include "batch/job_client.h"
#include "batch/job_state.h"
#include "consensus/replicated_log.h"

namespace shallotport {
namespace {

constexpr uint32_t kLargestJob = 190'000;
constexpr uint32_t kItemsPerLease = 64;
constexpr size_t kBodyBytes = 500;

// Discards the bytes, so that only the catalogue itself is measured.
class discarding_payloads final : public item_payloads {
 public:
  result<payload_location> Append(std::string_view bytes) override {
    return payload_location{0, 0, static_cast<uint32_t>(bytes.size())};
  }
  result<std::string> Read(const payload_location& payload) const override {
    return std::string(payload.length, '\0');
  }
  void Release(const payload_location&) override {}
};

struct job_state_fixture {
  discarding_payloads payloads;
  job_state state{{}, payloads};
  log_index index = 0;
  wall_milliseconds time = 1'000'000;
  uint64_t log_bytes = 0;

  template <typename Reply, typename Command>
  Reply Apply(const Command& command) {
    const std::string bytes = Encode(job_command(command));
    log_bytes += bytes.size();
    const std::string reply = state.Apply({++index, time}, bytes);
    return std::get<Reply>(ValueOf(Decode<job_reply<Reply>>(reply)));
  }

  job_id Submit(uint32_t count, uint32_t account = 0) {
    create_job request;
    request.account = account_id("account" + std::to_string(account));
    request.key = "nightly-" + std::to_string(index);
    request.digest = std::string(64, 'd');
    request.service = service_id("model");
    request.path = "/v1/chat/completions";
    request.deadline = time + 3'600'000;
    job_id id = Apply<job_created>(request).id;
    for (uint32_t first = 0; first < count; first += 1'000) {
      const uint32_t part = std::min(1'000U, count - first);
      Apply<items_added>(add_items{
          request.account, id, first,
          std::vector<std::string>(part, std::string(kBodyBytes, 'x'))});
    }
    Apply<job_status>(seal_job{request.account, id, count});
    return id;
  }

  items_leased Lease() {
    return Apply<items_leased>(lease_items{
        host_id("h"), 1, {service_id("model")}, kItemsPerLease, 60'000});
  }

  void Record(const items_leased& grant) {
    record_results command{host_id("h"), 1, {}};
    for (const leased_item& item : grant.items) {
      command.results.push_back({item.ref, grant.epoch, item_outcome::kDone,
                                 error_kind::kInternal,
                                 std::string(kBodyBytes, 'y')});
    }
    Apply<results_recorded>(command);
    time += 100;
  }
};

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Leases 64 items and records their results while `jobs` jobs wait.
void LeaseAndRecord(benchmark::State& state) {
  job_state_fixture test;
  const uint32_t jobs = static_cast<uint32_t>(state.range(0));
  for (uint32_t i = 0; i < jobs; ++i) {
    test.Submit(std::max(160U, kLargestJob / jobs), i % 100);
  }
  uint64_t items = 0;
  for (auto _ : state) {
    const items_leased grant = test.Lease();
    if (grant.items.empty()) {
      state.SkipWithError("ran out of items");
      break;
    }
    test.Record(grant);
    items += grant.items.size();
  }
  state.counters["ns_per_item"] = benchmark::Counter(
      static_cast<double>(items) / 1e9,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(LeaseAndRecord)->Arg(1)->Arg(100)->Arg(1'000)->Iterations(1'000);

void AddItems(benchmark::State& state) {
  uint64_t items = 0;
  for (auto _ : state) {
    job_state_fixture test;
    test.Submit(kLargestJob);
    items += kLargestJob;
  }
  state.counters["ns_per_item"] = benchmark::Counter(
      static_cast<double>(items) / 1e9,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(AddItems)->Iterations(3);

// Heap bytes of the catalogue for an open job of the largest size.
void BytesOfOpenJob(benchmark::State& state) {
  for (auto _ : state) {
    job_state_fixture test;
    const size_t before = HeapBytes();
    test.Submit(kLargestJob);
    const size_t held = HeapBytes() - before;
    state.counters["bytes_per_item"] =
        static_cast<double>(held) / static_cast<double>(kLargestJob);
    state.counters["log_bytes_per_item_upload"] =
        static_cast<double>(test.log_bytes) / kLargestJob - kBodyBytes;
  }
}
BENCHMARK(BytesOfOpenJob)->Iterations(1);

// Heap bytes of an ended job by its number of items, and the log bytes for
// leasing and recording, less the size of the results.
void BytesOfEndedJob(benchmark::State& state) {
  constexpr uint32_t kJobs = 2'000;
  const uint32_t size = static_cast<uint32_t>(state.range(0));
  for (auto _ : state) {
    job_state_fixture test;
    const size_t before = HeapBytes();
    uint64_t log_bytes = 0;
    for (uint32_t i = 0; i < kJobs; ++i) {
      test.Submit(size, i % 100);
      const uint64_t log_before = test.log_bytes;
      for (items_leased grant = test.Lease(); !grant.items.empty();
           grant = test.Lease()) {
        test.Record(grant);
      }
      log_bytes += test.log_bytes - log_before;
    }
    state.counters["bytes_per_job"] =
        static_cast<double>(HeapBytes() - before) / kJobs;
    state.counters["log_bytes_per_item_run"] =
        static_cast<double>(log_bytes) / (double{kJobs} * size) - kBodyBytes;
  }
}
BENCHMARK(BytesOfEndedJob)->Arg(1)->Arg(160)->Iterations(1);

// Time that BeginSnapshot() takes on the thread that applies commands.
void BeginSnapshot(benchmark::State& state) {
  job_state_fixture test;
  for (uint32_t i = 0; i < 1'000; ++i) {
    test.Submit(190, i % 100);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(test.state.BeginSnapshot());
  }
}
BENCHMARK(BeginSnapshot);

}  // namespace
}  // namespace shallotport
