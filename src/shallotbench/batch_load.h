#ifndef SHALLOTPORT_SHALLOTBENCH_BATCH_LOAD_H_
#define SHALLOTPORT_SHALLOTBENCH_BATCH_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace shallotport {

struct batch_load_options {
  std::string host;  // "IP:port" of a callers' interface.
  std::string token;
  std::string service = "assistant";
  std::string name = "run";
  uint32_t items = 2'000;
  uint32_t tokens = 20;
  uint32_t deadline_ms = 3'600'000;
};

struct progress_sample {
  duration at{0};
  uint32_t done = 0;
};

// One batch job whose progress is watched.
class batch_load {
 public:
  explicit batch_load(batch_load_options options);

  // Sends the job.
  status Submit();

  // Asks for the progress until `until`, or until the job has ended.
  void Watch(steady_time start, steady_time until);

  status Cancel();

  // Reads all results and compares the texts. Fails when one is wrong.
  status CheckResults();

  const std::vector<progress_sample>& progress() const { return progress_; }
  uint32_t failed() const { return failed_; }

 private:
  std::string PromptOf(uint32_t item) const;
  std::string UrlOf(const std::string& path) const;

  batch_load_options options_;
  system_clock_source clock_;
  std::string job_;
  std::vector<progress_sample> progress_;
  uint32_t failed_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_BATCH_LOAD_H_
