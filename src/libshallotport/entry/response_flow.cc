#include "entry/response_flow.h"

namespace shallotport {

namespace {

constexpr size_t kHighBytes = 64u << 10;
constexpr size_t kLowBytes = 16u << 10;
// While a response is paused, a little is read this often.
constexpr std::chrono::milliseconds kMaxUnreadTime{1'000};
constexpr size_t kMaxBytes = 256u << 10;

}  // namespace

flow_action response_flow::OnSent(steady_time now, size_t held) {
  if (held <= kHighBytes) {
    return flow_action::kNone;
  }
  is_paused_ = true;
  paused_at_ = now;
  return flow_action::kPause;
}

flow_action response_flow::OnTaken(size_t held) {
  if (!is_paused_ || held >= kLowBytes) {
    return flow_action::kNone;
  }
  is_paused_ = false;
  return flow_action::kResume;
}

flow_action response_flow::OnTick(steady_time now, size_t held) {
  if (!is_paused_ || held >= kMaxBytes || now < paused_at_ + kMaxUnreadTime) {
    return flow_action::kNone;
  }
  // What is read pauses it again.
  paused_at_ = now;
  return flow_action::kResume;
}

}  // namespace shallotport
