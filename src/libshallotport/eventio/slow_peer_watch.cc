#include "eventio/slow_peer_watch.h"

namespace shallotport {

namespace {

// Longer than a sound peer pauses. An engine ends responses that stay unread
// for about as long.
constexpr std::chrono::milliseconds kMaxPause{5'000};
// A peer that waits for bytes takes this much in this time, or all that there
// is: several hundred times slower than a telephone line.
constexpr size_t kMinBytes = 4u << 10;
constexpr std::chrono::milliseconds kMinBytesTime{15'000};

}  // namespace

void slow_peer_watch::OnWaiting(steady_time now) {
  if (!is_waiting_) {
    is_waiting_ = true;
    last_taken_at_ = now;
    slow_since_ = now;
    taken_ = 0;
  }
}

void slow_peer_watch::OnTaken(steady_time now, size_t bytes) {
  last_taken_at_ = now;
  taken_ += bytes;
  if (taken_ >= kMinBytes) {
    taken_ = 0;
    slow_since_ = now;
  }
}

bool slow_peer_watch::HasStalled(steady_time now) const {
  return is_waiting_ && (now >= last_taken_at_ + kMaxPause ||
                         now >= slow_since_ + kMinBytesTime);
}

void slow_peer_watch::Excuse(duration gap) {
  last_taken_at_ += gap;
  slow_since_ += gap;
}

}  // namespace shallotport
