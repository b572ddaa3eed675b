#ifndef SHALLOTPORT_SERVING_EVENT_MAILBOX_H_
#define SHALLOTPORT_SERVING_EVENT_MAILBOX_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

#include "base/clock.h"
#include "routing/online_request_messages.h"

namespace shallotport {

// The events of one request on their way to the thread that drives it. Grows
// as needed up to a bound, unlike a ring: there is one for each request.
class event_mailbox {
 public:
  static constexpr size_t kMaxEvents = 16'384;

  // False when the mailbox is full; ends of attempts are always taken.
  bool Push(online_event event) {
    const bool may_refuse = std::holds_alternative<attempt_chunk>(event);
    {
      const std::lock_guard lock(mutex_);
      if (may_refuse && events_.size() >= kMaxEvents) {
        return false;
      }
      events_.push_back(std::move(event));
    }
    arrived_.notify_one();
    return true;
  }

  // The next event; nothing when `until` passed first.
  std::optional<online_event> PopUntil(steady_time until) {
    std::unique_lock lock(mutex_);
    arrived_.wait_until(lock, until, [this] { return !events_.empty(); });
    if (events_.empty()) {
      return std::nullopt;
    }
    std::optional<online_event> event = std::move(events_.front());
    events_.pop_front();
    return event;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<online_event> events_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_EVENT_MAILBOX_H_
