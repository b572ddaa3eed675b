#include "entry/hold_up_record.h"

#include <algorithm>

namespace shallotport {

namespace {

// A tick that is later than this was held up.
constexpr std::chrono::milliseconds kTickInterval{20};
// A machine that is busy is busy for some seconds.
constexpr std::chrono::milliseconds kMemory{5'000};

}  // namespace

void hold_up_record::RecordTick(steady_time now) {
  const bool is_first = last_tick_at_ == steady_time{};
  const duration length = now - last_tick_at_ - kTickInterval;
  last_tick_at_ = now;
  while (!recent_.empty() && now > recent_.front().ended_at + kMemory) {
    recent_.pop_front();
  }
  if (is_first || length <= duration(0)) {
    return;
  }
  while (!recent_.empty() && recent_.back().length <= length) {
    recent_.pop_back();
  }
  recent_.push_back({now, length});
}

duration hold_up_record::Longest(steady_time now) const {
  const auto found = std::find_if(
      recent_.begin(), recent_.end(),
      [now](const hold_up& each) { return now <= each.ended_at + kMemory; });
  return found == recent_.end() ? duration(0) : found->length;
}

}  // namespace shallotport
