// Benchmarks of three replicas in one process, with real files and syncs below
// the working directory, linked by direct calls.
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "consensus/forwarding_log.h"
#include "consensus/recording_state_test_util.h"
#include "consensus/replica.h"
#include "consensus/state_machine_set.h"
#include "storage/file_system.h"

namespace shallotport {
namespace {

constexpr size_t kCommandBytes = 200;

double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Only counts commands, so that the state adds no cost.
class counting_state final : public replicated_state {
 public:
  std::string Apply(const apply_context&, std::string_view) override {
    return std::to_string(++count_);
  }
  std::string Query(std::string_view) const override {
    return std::to_string(count_);
  }
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override {
    return std::make_unique<writer>();
  }
  status LoadSnapshot(std::istream&) override { return success{}; }

 private:
  class writer final : public snapshot_writer {
    status Write(std::ostream&) override { return success{}; }
  };
  uint64_t count_ = 0;
};

class replica_fixture {
 public:
  replica_fixture()
      : folder_("replica_benchmark." + std::to_string(::getpid())) {
    for (const host_id& host : hosts_) {
      replica_options options;
      options.host = host;
      options.folder = folder_ / host.text();
      options.initial_members = hosts_;
      options.snapshot_after_entries = 1'000'000;
      options.snapshot_after_bytes = uint64_t{1} << 40;
      members_[host] = std::move(ValueOf(replica::Create(
          options, clock_, [this, host](const host_id& to, std::string bytes) {
            sent_bytes_ += bytes.size();
            const host_id isolated_host = isolated();
            if (to != isolated_host && host != isolated_host) {
              members_.at(to)->OnPeerMessage(to, std::move(bytes));
            }
          })));
      members_[host]->Register(replicated_slice::kOrders, &states_[host]);
    }
    for (const host_id& host : hosts_) {
      if (!IsOk(members_[host]->Start())) {
        std::abort();
      }
    }
    WaitForLeader(host_id());
  }

  ~replica_fixture() {
    for (auto& [host, member] : members_) {
      member->Stop();
    }
    members_.clear();
    std::filesystem::remove_all(folder_);
  }

  host_id WaitForLeader(const host_id& not_this) {
    while (true) {
      for (auto& [host, member] : members_) {
        if (host != not_this && member->is_leader()) {
          return host;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  host_id isolated() const {
    const std::lock_guard lock(mutex_);
    return isolated_;
  }
  // Drops all messages from and to the host.
  void Isolate(const host_id& host) {
    const std::lock_guard lock(mutex_);
    isolated_ = host;
  }

  replica& member(const host_id& host) { return *members_.at(host); }
  const clock_source& clock() const { return clock_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  const std::vector<host_id>& hosts() const { return hosts_; }

 private:
  const std::vector<host_id> hosts_ = {host_id("host-1"), host_id("host-2"),
                                       host_id("host-3")};
  const std::filesystem::path folder_;
  system_clock_source clock_;
  mutable std::mutex mutex_;
  host_id isolated_;
  std::atomic<uint64_t> sent_bytes_{0};
  std::map<host_id, counting_state> states_;
  std::map<host_id, std::unique_ptr<replica>> members_;
};

// Commit throughput and latency. Each proposer waits for its commit before it
// proposes the next command.
void Commits(benchmark::State& state) {
  const auto proposers = static_cast<size_t>(state.range(0));
  const size_t each = std::max<size_t>(20, 20'000 / (proposers + 50));
  replica_fixture replicas;
  replica& leader = replicas.member(replicas.WaitForLeader(host_id()));
  std::vector<double> latencies;
  uint64_t bytes = 0;
  double cpu = 0;
  for (auto _ : state) {
    std::vector<std::vector<double>> taken(proposers);
    const uint64_t bytes_before = replicas.sent_bytes();
    const double cpu_before = ProcessCpuSeconds();
    std::vector<std::thread> threads;
    for (size_t i = 0; i < proposers; ++i) {
      threads.emplace_back([&, i] {
        for (size_t k = 0; k < each; ++k) {
          const steady_time begin = replicas.clock().Now();
          const auto reply = leader.Propose(replicated_slice::kOrders,
                                            std::string(kCommandBytes, 'x'),
                                            begin + std::chrono::seconds(10));
          const duration time = replicas.clock().Now() - begin;
          if (IsOk(reply)) {
            taken[i].push_back(static_cast<double>(time.count()) / 1e3);
          }
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    cpu += ProcessCpuSeconds() - cpu_before;
    bytes += replicas.sent_bytes() - bytes_before;
    for (const auto& part : taken) {
      latencies.insert(latencies.end(), part.begin(), part.end());
    }
  }
  std::sort(latencies.begin(), latencies.end());
  const auto commits = static_cast<double>(latencies.size());
  state.counters["commits/s"] =
      benchmark::Counter(commits, benchmark::Counter::kIsRate);
  state.counters["p50_ms"] = latencies[latencies.size() / 2];
  state.counters["p99_ms"] = latencies[latencies.size() * 99 / 100];
  state.counters["lost"] =
      static_cast<double>(state.iterations() * proposers * each) - commits;
  state.counters["bytes/entry/member"] =
      static_cast<double>(bytes) / commits / 3;
  state.counters["cpu_us/entry/member"] = cpu * 1e6 / commits / 3;
}
BENCHMARK(Commits)
    ->Arg(1)
    ->Arg(16)
    ->Arg(256)
    ->UseRealTime()
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

// Time from the isolation of the leader until another member holds the lease.
void TimeWithoutLeader(benchmark::State& state) {
  double longest = 0;
  for (auto _ : state) {
    replica_fixture replicas;
    const host_id old_leader = replicas.WaitForLeader(host_id());
    const steady_time begin = replicas.clock().Now();
    replicas.Isolate(old_leader);
    replicas.WaitForLeader(old_leader);
    const duration time = replicas.clock().Now() - begin;
    const double seconds = static_cast<double>(time.count()) / 1e6;
    longest = std::max(longest, seconds);
    state.SetIterationTime(seconds);
  }
  state.counters["longest_s"] = longest;
}
BENCHMARK(TimeWithoutLeader)
    ->UseManualTime()
    ->Iterations(20)
    ->Unit(benchmark::kMillisecond);

// Traffic and CPU time of a member while nothing is proposed.
void IdleSecond(benchmark::State& state) {
  replica_fixture replicas;
  uint64_t bytes = 0;
  double cpu = 0;
  for (auto _ : state) {
    const uint64_t bytes_before = replicas.sent_bytes();
    const double cpu_before = ProcessCpuSeconds();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cpu += ProcessCpuSeconds() - cpu_before;
    bytes += replicas.sent_bytes() - bytes_before;
  }
  const auto seconds = static_cast<double>(state.iterations());
  state.counters["bytes/s/member"] = static_cast<double>(bytes) / seconds / 3;
  state.counters["core_percent/member"] = 100 * cpu / seconds / 3;
}
BENCHMARK(IdleSecond)->UseRealTime()->Iterations(5);

// Restart time of a single member with this many entries in its log.
void RestartFromLog(benchmark::State& state) {
  const auto entries = static_cast<size_t>(state.range(0));
  system_clock_source clock;
  const std::filesystem::path folder =
      "replica_benchmark." + std::to_string(::getpid());
  const auto start = [&](recording_state& held) {
    replica_options options;
    options.host = host_id("host-1");
    options.folder = folder;
    options.initial_members = {options.host};
    options.snapshot_after_entries = 1'000'000;
    options.snapshot_after_bytes = uint64_t{1} << 40;
    auto member = std::move(ValueOf(replica::Create(
        options, clock, [](const host_id&, const std::string&) {})));
    member->Register(replicated_slice::kOrders, &held);
    if (!IsOk(member->Start())) {
      std::abort();
    }
    return member;
  };
  {
    recording_state held;
    const auto member = start(held);
    while (!member->is_leader()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::atomic<size_t> waiting{entries};
    for (size_t i = 0; i < entries; ++i) {
      proposal command;
      command.slice = replicated_slice::kOrders;
      command.command = std::string(kCommandBytes, 'x');
      if (i % 1000 == 999) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      member->SubmitProposal(std::move(command),
                             [&](const auto&) { --waiting; });
    }
    while (waiting > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    member->Stop();
  }
  for (auto _ : state) {
    recording_state held;
    const auto begin = std::chrono::steady_clock::now();
    const auto member = start(held);
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
    state.SetIterationTime(time.count());
    member->Stop();
  }
  std::filesystem::remove_all(folder);
}
BENCHMARK(RestartFromLog)
    ->Arg(1'000)
    ->Arg(20'000)
    ->UseManualTime()
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

// Time to write and load a snapshot of this many MiB.
void Snapshot(benchmark::State& state) {
  const auto megabytes = static_cast<size_t>(state.range(0));
  const std::string folder = "replica_benchmark." + std::to_string(::getpid());
  std::filesystem::create_directories(folder);
  const snapshot_folder snapshots(PosixFileSystem(), folder);
  recording_state held;
  for (size_t i = 0; i < megabytes * 1024; ++i) {
    held.Apply({i + 1, 0}, std::string(1023, 'x'));
  }
  state_machine_set states;
  states.Register(replicated_slice::kOrders, &held);
  double written = 0;
  for (auto _ : state) {
    state_snapshot copy = states.BeginSnapshot({1, 1, 0, {}});
    const auto begin = std::chrono::steady_clock::now();
    if (!IsOk(WriteSnapshotFile(snapshots, 1, copy))) {
      std::abort();
    }
    const auto middle = std::chrono::steady_clock::now();
    if (!IsOk(states.Load(snapshots, 1, 1))) {
      std::abort();
    }
    const std::chrono::duration<double> load =
        std::chrono::steady_clock::now() - middle;
    written += std::chrono::duration<double>(middle - begin).count();
    state.SetIterationTime(load.count());
  }
  state.counters["write_ms/MiB"] = 1e3 * written /
                                   static_cast<double>(state.iterations()) /
                                   static_cast<double>(megabytes);
  std::filesystem::remove_all(folder);
}
BENCHMARK(Snapshot)->Arg(1)->Arg(64)->UseManualTime()->Iterations(5)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace shallotport
