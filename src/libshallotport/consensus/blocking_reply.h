#ifndef SHALLOTPORT_CONSENSUS_BLOCKING_REPLY_H_
#define SHALLOTPORT_CONSENSUS_BLOCKING_REPLY_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/result.h"

namespace shallotport {

// Lets one thread wait for a reply that another one gives. Shared by both, so
// that a reply after the deadline finds it still there.
class blocking_reply {
 public:
  // The first reply counts.
  void Set(result<std::string> reply) {
    {
      const std::lock_guard lock(mutex_);
      if (reply_) {
        return;
      }
      reply_ = std::move(reply);
    }
    arrived_.notify_all();
  }

  // Nothing when `until` passes first.
  std::optional<result<std::string>> WaitUntil(steady_time until) {
    std::unique_lock lock(mutex_);
    arrived_.wait_until(lock, until, [this] { return reply_.has_value(); });
    return reply_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::optional<result<std::string>> reply_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_BLOCKING_REPLY_H_
