#include "batch/yield_notifier.h"

#include <algorithm>

#include "base/codec.h"
#include "batch/window_ownership.h"

namespace shallotport {

namespace {

// Well below the 2 s after which a window removes the count of a source.
constexpr duration kRepeatInterval = std::chrono::milliseconds(400);
// Arrivals within this time are sent in one message.
constexpr duration kMinSendInterval = std::chrono::milliseconds(5);
constexpr duration kDecreaseDelay = std::chrono::milliseconds(50);
constexpr uint32_t kZeroCountNotices = 3;

}  // namespace

std::string EncodeYieldNotice(const yield_notice& notice) {
  return Encode(notice);
}

result<yield_notice> DecodeYieldNotice(std::string_view bytes) {
  return Decode<yield_notice>(bytes);
}

void yield_notifier::SetInFlight(steady_time now,
                                 const endpoint_id& endpoint,
                                 uint32_t in_flight) {
  if (CountOf(endpoint).in_flight == in_flight) {
    return;
  }
  entry& each = entries_[endpoint];
  const bool is_arrival = in_flight > each.count.in_flight;
  each.count = {++sequence_, in_flight};
  each.zero_notices_left = kZeroCountNotices;
  // A decrease is not urgent.
  each.next_send_at = is_arrival
                          ? std::max(now, each.last_sent_at + kMinSendInterval)
                          : std::min(each.next_send_at, now + kDecreaseDelay);
}

std::vector<outgoing_notice> yield_notifier::TakeDueNotices(
    steady_time now,
    const window_ownership& ownership) {
  std::map<host_id, yield_notice> notices;
  for (auto& [endpoint, each] : entries_) {
    if (each.next_send_at > now) {
      continue;
    }
    for (const host_id& host : ownership.Successors(endpoint)) {
      if (host != self_) {
        notices[host].endpoints.push_back({endpoint, each.count});
      }
    }
    each.last_sent_at = now;
    each.next_send_at =
        now + (each.count.in_flight > 0 ? kRepeatInterval : kDecreaseDelay);
    if (each.count.in_flight == 0) {
      --each.zero_notices_left;
    }
  }
  std::erase_if(entries_, [](const auto& each) {
    return each.second.zero_notices_left == 0;
  });
  std::vector<outgoing_notice> out;
  out.reserve(notices.size());
  for (auto& [host, notice] : notices) {
    out.push_back({host, std::move(notice)});
  }
  return out;
}

std::optional<steady_time> yield_notifier::NextSendAt() const {
  std::optional<steady_time> next;
  for (const auto& [endpoint, each] : entries_) {
    next = std::min(next.value_or(each.next_send_at), each.next_send_at);
  }
  return next;
}

online_count yield_notifier::CountOf(const endpoint_id& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? online_count{sequence_, 0}
                                 : found->second.count;
}

}  // namespace shallotport
