#include "routing/account_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "base/random_source.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

const account_id kAccount("nordlykt");
constexpr uint32_t kRate = 120;
constexpr uint32_t kConcurrency = 60;
constexpr size_t kHosts = 6;
constexpr steady_time kStart{std::chrono::seconds(1'000)};

configuration MakeConfiguration() {
  configuration settings;
  settings.accounts.push_back({kAccount, "", kRate, kConcurrency, 1, {}});
  return settings;
}

struct limits_case {
  const char* name;
  uint64_t loss_percent;
  uint64_t longest_delay_ms;
  bool is_partitioned;        // Hosts 0 and 1 are partitioned from 5 s to 15 s.
  bool has_restarts;          // A host restarts every 3 s.
  bool is_skewed;             // All demand at host 0, else at changing hosts.
  double min_rate;            // Admitted per second after 4 s and after 20 s.
  double min_partition_rate;  // Admitted per second from 8 s to 15 s.
};

void PrintTo(const limits_case& param, std::ostream* out) {
  *out << param.name;
}

// Account limiters of several hosts in virtual time, connected by a network
// that loses, delays and repeats messages.
class account_limiter_simulation {
 public:
  account_limiter_simulation(const limits_case& param, uint64_t seed)
      : param_(param), random_(seed) {
    for (size_t i = 0; i < kHosts; ++i) {
      names_.emplace_back("h" + std::to_string(i));
    }
    for (size_t i = 0; i < kHosts; ++i) {
      Restart(i);
    }
    restarts_ = 0;
  }

  void Run() {
    for (int64_t ms = 0; ms < 25'000; ms += 5) {
      now_ = kStart + milliseconds(ms);
      Step(ms);
    }
  }

  // Largest number of requests admitted within `window`, minus the bound that
  // is documented at account_limiter.
  double LargestExcess(duration window) const {
    double largest = -1e9;
    size_t first = 0;
    for (size_t last = 0; last < admitted_at_.size(); ++last) {
      while (admitted_at_[last] - admitted_at_[first] > window) {
        ++first;
      }
      const double seconds = static_cast<double>(window.count()) / 1e6;
      const double bound = kRate * (seconds + 1) + kHosts +
                           restarts_ * (1.0 * kRate / kHosts + 1);
      largest =
          std::max(largest, static_cast<double>(last - first + 1) - bound);
    }
    return largest;
  }

  double RateBetween(int64_t from_ms, int64_t to_ms) const {
    const auto count = std::count_if(
        admitted_at_.begin(), admitted_at_.end(), [&](steady_time time) {
          return time >= kStart + milliseconds(from_ms) &&
                 time < kStart + milliseconds(to_ms);
        });
    return static_cast<double>(count) * 1e3 /
           static_cast<double>(to_ms - from_ms);
  }

  const limit_amount& largest_sum() const { return largest_sum_; }
  size_t most_in_flight() const { return most_in_flight_; }

 private:
  struct message_in_transit {
    size_t from;
    incarnation started;
    size_t to;
    limits_message message;
  };

  bool IsPartitionedNow(size_t a, size_t b) const {
    const bool is_partition_time = now_ >= kStart + milliseconds(5'000) &&
                                   now_ < kStart + milliseconds(15'000);
    return param_.is_partitioned && is_partition_time && (a < 2) != (b < 2);
  }

  void Restart(size_t host) {
    ++restarts_;
    hosts_[host] =
        std::make_unique<account_limiter>(names_[host], ++started_[host]);
    hosts_[host]->SetHosts(names_);
    hosts_[host]->SetConfiguration(MakeConfiguration());
    std::erase_if(in_flight_,
                  [host](const auto& row) { return row.second.first == host; });
  }

  void Step(int64_t ms) {
    if (param_.has_restarts && ms % 3'000 == 2'995) {
      Restart(UniformBelow(random_, kHosts));
    }
    for (size_t i = 0; i < kHosts; ++i) {
      // The exchange periods of the hosts are out of phase.
      if ((ms + static_cast<int64_t>(i) * 85) % 500 == 0) {
        Send(i);
      }
    }
    Deliver();
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      hosts_[in_flight_.begin()->second.first]->Release(kAccount);
      in_flight_.erase(in_flight_.begin());
    }
    if (ms % 2'000 == 0) {
      busy_host_ = param_.is_skewed ? 0 : UniformBelow(random_, kHosts);
    }
    for (int i = 0; i < 2; ++i) {
      SendRequest(busy_host_);
    }
    // At times all hosts get requests at once, while loans are in force.
    const bool is_surge = !param_.is_skewed && ms % 3'000 > 2'300;
    for (size_t i = 0; is_surge && i < kHosts; ++i) {
      SendRequest(i);
    }
    SumShares();
    if (!param_.is_skewed) {
      SendRequest(UniformBelow(random_, kHosts));
    }
  }

  void SumShares() {
    limit_amount sum;
    for (const auto& [index, host] : hosts_) {
      sum += host->ShareAt(now_, kAccount);
    }
    largest_sum_.rate = std::max(largest_sum_.rate, sum.rate);
    largest_sum_.concurrency =
        std::max(largest_sum_.concurrency, sum.concurrency);
  }

  void SendRequest(size_t host) {
    if (IsOk(hosts_[host]->Acquire(now_, kAccount))) {
      admitted_at_.push_back(now_);
      const milliseconds service_time(50 + UniformBelow(random_, 100));
      in_flight_.emplace(now_ + service_time, std::pair(host, 0));
      most_in_flight_ = std::max(most_in_flight_, in_flight_.size());
    }
  }

  void Send(size_t from) {
    for (auto& [to, message] : hosts_[from]->MakeMessages(now_)) {
      const size_t index = static_cast<size_t>(to.text()[1] - '0');
      const int copies = 1 + (UniformBelow(random_, 10) == 0 ? 1 : 0);
      for (int i = 0; i < copies; ++i) {
        if (UniformBelow(random_, 100) >= param_.loss_percent) {
          const milliseconds delay(
              UniformBelow(random_, param_.longest_delay_ms + 1));
          network_.emplace(
              now_ + delay,
              message_in_transit{from, started_[from], index, message});
        }
      }
    }
  }

  void Deliver() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      const message_in_transit sent = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      if (!IsPartitionedNow(sent.from, sent.to)) {
        hosts_[sent.to]->OnMessage(now_, names_[sent.from], sent.started,
                                   sent.message);
      }
    }
  }

  const limits_case& param_;
  random_source random_;
  steady_time now_ = kStart;
  std::vector<host_id> names_;
  std::map<size_t, incarnation> started_;
  std::map<size_t, std::unique_ptr<account_limiter>> hosts_;
  std::multimap<steady_time, message_in_transit> network_;
  std::multimap<steady_time, std::pair<size_t, int>> in_flight_;
  std::vector<steady_time> admitted_at_;
  limit_amount largest_sum_;
  size_t most_in_flight_ = 0;
  size_t busy_host_ = 0;
  int restarts_ = 0;
};

class account_limiter_bound : public testing::TestWithParam<limits_case> {};

// Message loss, delay, repetition, partitions and restarts must neither let all
// hosts together exceed the account's limits nor keep loans from working.
TEST_P(account_limiter_bound, HoldsOverAllHosts) {
  const limits_case& param = GetParam();
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    account_limiter_simulation hosts(param, seed);
    hosts.Run();
    for (const int64_t window_ms : {200, 1'000, 3'000, 10'000}) {
      EXPECT_LE(hosts.LargestExcess(milliseconds(window_ms)), 0) << window_ms;
    }
    EXPECT_LE(hosts.largest_sum().rate, kRate + 1e-3);
    EXPECT_LE(hosts.largest_sum().concurrency, kConcurrency + 1e-3);
    EXPECT_LE(hosts.most_in_flight(), kConcurrency + kHosts);
    EXPECT_GE(hosts.RateBetween(4'000, 5'000), param.min_rate);
    EXPECT_GE(hosts.RateBetween(8'000, 15'000), param.min_partition_rate);
    EXPECT_GE(hosts.RateBetween(20'000, 25'000), param.min_rate);
  }
}

INSTANTIATE_TEST_SUITE_P(
    faults,
    account_limiter_bound,
    testing::Values(limits_case{"clean", 0, 2, false, false, true, 80, 80},
                    limits_case{"moving", 0, 2, false, false, false, 60, 60},
                    limits_case{"loss", 30, 50, false, false, true, 30, 50},
                    limits_case{"slow", 10, 1'500, false, false, false, 20, 20},
                    limits_case{"partition", 0, 2, true, false, true, 80, 30},
                    limits_case{"partition_moving", 20, 300, true, false, false,
                                40, 40},
                    limits_case{"restarts", 0, 2, false, true, false, 40, 40},
                    limits_case{"silence", 100, 0, false, false, true, 15, 15}),
    [](const auto& param) { return param.param.name; });

}  // namespace

}  // namespace shallotport
