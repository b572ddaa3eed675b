#ifndef SHALLOTPORT_SHALLOTBENCH_SAMPLE_BOOK_H_
#define SHALLOTPORT_SHALLOTBENCH_SAMPLE_BOOK_H_

#include <mutex>
#include <vector>

#include "base/clock.h"

namespace shallotport {

struct time_sample {
  duration at{0};  // Since the start of the run.
  duration value{0};
};

// Latencies of a run. Thread-safe.
class sample_book {
 public:
  void Add(duration at, duration value);
  std::vector<time_sample> Samples() const;

 private:
  mutable std::mutex mutex_;
  std::vector<time_sample> samples_;
};

// The value below which `share` of the samples lie (nearest rank), in
// milliseconds; 0 without samples.
double PercentileMs(std::vector<time_sample> samples, double share);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_SAMPLE_BOOK_H_
