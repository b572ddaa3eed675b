#ifndef SHALLOTPORT_BATCH_ONLINE_COUNTS_H_
#define SHALLOTPORT_BATCH_ONLINE_COUNTS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// In-flight online requests of this host by endpoint, and samples of their time
// to the first byte. Written by the threads of online requests, which hold the
// mutex only briefly, and read by the thread of batch_duty. Thread-safe.
class online_counts {
 public:
  struct sample {
    endpoint_id endpoint;
    duration first_byte{0};
  };

  void Add(const endpoint_id& endpoint) {
    const std::lock_guard lock(mutex_);
    ++in_flight_[endpoint];
  }

  void Remove(const endpoint_id& endpoint) {
    const std::lock_guard lock(mutex_);
    const auto found = in_flight_.find(endpoint);
    if (found != in_flight_.end() && found->second > 0) {
      --found->second;
    }
  }

  void AddSample(const endpoint_id& endpoint, duration first_byte) {
    const std::lock_guard lock(mutex_);
    if (samples_.size() < kMaxSamples) {
      samples_.push_back({endpoint, first_byte});
    }
  }

  // A count of zero is returned once and then removed.
  std::map<endpoint_id, uint32_t> TakeCounts() {
    const std::lock_guard lock(mutex_);
    std::map<endpoint_id, uint32_t> counts = in_flight_;
    std::erase_if(in_flight_,
                  [](const auto& each) { return each.second == 0; });
    return counts;
  }

  std::vector<sample> TakeSamples() {
    const std::lock_guard lock(mutex_);
    return std::exchange(samples_, {});
  }

 private:
  static constexpr size_t kMaxSamples = 1'024;

  std::mutex mutex_;
  std::map<endpoint_id, uint32_t> in_flight_;
  std::vector<sample> samples_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_ONLINE_COUNTS_H_
