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

// Lets one thread wait for a reply that another thread sets. Both threads hold
// a shared pointer to it, so a reply that arrives after the deadline is safe.
class blocking_reply {
 public:
  // Later replies are ignored.
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

  // Returns nullopt if no reply arrives before `until`.
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
