#ifndef SHALLOTPORT_BASE_BOUNDED_RING_H_
#define SHALLOTPORT_BASE_BOUNDED_RING_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// A fixed-capacity queue from any number of producers to one duty thread. A
// full ring refuses at once; a producer never waits.
template <typename T>
class bounded_ring {
 public:
  explicit bounded_ring(size_t capacity) : slots_(capacity) {}

  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  // False when the ring is full or closed; `item` is then left untouched.
  bool TryPush(T&& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || used_ == slots_.size()) {
        ++refused_;
        return false;
      }
      slots_[(first_ + used_) % slots_.size()].emplace(std::move(item));
      ++used_;
    }
    arrived_.notify_one();
    return true;
  }

  // As TryPush(), but gives a refused item back.
  std::optional<T> Offer(T item) {
    std::optional<T> refused;
    if (!TryPush(std::move(item))) {
      // TryPush() has left the item as it was.
      refused.emplace(std::move(item));  // NOLINT(bugprone-use-after-move)
    }
    return refused;
  }

  // Waits for an item until `until`. Nothing on timeout, or when the ring is
  // closed and drained.
  std::optional<T> PopUntil(steady_time until) {
    std::unique_lock lock(mutex_);
    arrived_.wait_until(lock, until, [this] { return used_ > 0 || closed_; });
    return TakeFirst();
  }

  std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return TakeFirst();
  }

  // Refuses all further items; those already in the ring can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    arrived_.notify_all();
  }

  bool IsClosed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t size() const {
    const std::lock_guard lock(mutex_);
    return used_;
  }

  // Number of items refused since the start.
  size_t refused() const {
    const std::lock_guard lock(mutex_);
    return refused_;
  }

 private:
  std::optional<T> TakeFirst() {
    if (used_ == 0) {
      return std::nullopt;
    }
    std::optional<T> item = std::move(slots_[first_]);
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --used_;
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<std::optional<T>> slots_;
  size_t first_ = 0;
  size_t used_ = 0;
  size_t refused_ = 0;
  bool closed_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_BOUNDED_RING_H_
