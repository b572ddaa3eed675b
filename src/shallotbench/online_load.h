#ifndef SHALLOTPORT_SHALLOTBENCH_ONLINE_LOAD_H_
#define SHALLOTPORT_SHALLOTBENCH_ONLINE_LOAD_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "shallotbench/arrival_plan.h"
#include "shallotbench/sample_book.h"

namespace shallotport {

struct online_load_options {
  std::vector<std::string> hosts;  // "IP:port" of callers' interfaces.
  std::string token;
  std::string service = "assistant";
  std::string name = "run";  // Part of the prompts: keeps them unique.
  uint32_t tokens = 20;
  uint32_t deadline_ms = 10'000;
  uint32_t workers = 96;  // Requests at the same time at most.
  arrival_options arrivals;
};

struct online_counts {
  uint64_t sent = 0;
  uint64_t whole = 0;    // Complete and equal to the expected text.
  uint64_t wrong = 0;    // Complete with another text, or cut off.
  uint64_t refused = 0;  // An error status.
  uint64_t broken = 0;   // No answer.
};

// Streamed completions at planned times, spread over the hosts in turn. Times
// count from the planned arrival, so a late start is part of the latency.
class online_load {
 public:
  explicit online_load(online_load_options options);
  ~online_load();
  online_load(const online_load&) = delete;
  online_load& operator=(const online_load&) = delete;

  void Start(steady_time start);
  void WaitUntilDone();

  online_counts Counts() const;
  const sample_book& first_tokens() const { return first_tokens_; }
  const sample_book& token_gaps() const { return token_gaps_; }

 private:
  void RunWorker();
  void SendOne(size_t number);

  online_load_options options_;
  system_clock_source clock_;
  std::vector<duration> arrivals_;
  steady_time start_;
  std::atomic<size_t> next_{0};
  std::vector<std::thread> workers_;
  std::atomic<uint64_t> whole_{0};
  std::atomic<uint64_t> wrong_{0};
  std::atomic<uint64_t> refused_{0};
  std::atomic<uint64_t> broken_{0};
  sample_book first_tokens_;
  sample_book token_gaps_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_ONLINE_LOAD_H_
