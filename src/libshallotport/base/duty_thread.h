#ifndef SHALLOTPORT_BASE_DUTY_THREAD_H_
#define SHALLOTPORT_BASE_DUTY_THREAD_H_

#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include "base/bounded_ring.h"
#include "base/clock.h"

namespace shallotport {

// The thread of one duty: it takes messages from the duty's ring and calls the
// duty's timer when it is due. The duty's state is touched by this thread only.
template <typename Message>
class duty_thread {
 public:
  // Handles one message.
  using message_handler = std::function<void(steady_time now, Message message)>;
  // Runs whatever is due and returns when to be called next.
  using timer_handler = std::function<steady_time(steady_time now)>;

  duty_thread(const clock_source& clock,
              size_t ring_capacity,
              message_handler on_message,
              timer_handler on_timer)
      : clock_(clock),
        ring_(ring_capacity),
        on_message_(std::move(on_message)),
        on_timer_(std::move(on_timer)) {}

  ~duty_thread() { Stop(); }

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  // Handles what is in the ring, then ends the thread. Idempotent.
  void Stop() {
    ring_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool TryPush(Message&& message) { return ring_.TryPush(std::move(message)); }

  // As TryPush(), but gives a refused message back.
  std::optional<Message> Offer(Message message) {
    return ring_.Offer(std::move(message));
  }

  const bounded_ring<Message>& ring() const { return ring_; }

 private:
  void Run() {
    steady_time next_timer = on_timer_(clock_.Now());
    while (true) {
      std::optional<Message> message = ring_.PopUntil(next_timer);
      const steady_time now = clock_.Now();
      const bool has_message = message.has_value();
      if (has_message) {
        on_message_(now, *std::move(message));
      } else if (ring_.IsClosed()) {
        return;
      }
      if (now >= next_timer || has_message) {
        next_timer = on_timer_(now);
      }
    }
  }

  const clock_source& clock_;
  bounded_ring<Message> ring_;
  message_handler on_message_;
  timer_handler on_timer_;
  std::thread thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_DUTY_THREAD_H_
