#include "ratelimits/limit_exchange.h"

#include <algorithm>

#include "eventio/host_link.h"
#include "ratelimits/limit_messages.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kSendInterval{100};
// Of the leader, without a change; for hosts that have just started.
constexpr std::chrono::milliseconds kUnchangedInterval{1'000};
// Without load totals for this long, the leader is assumed to be lost.
constexpr std::chrono::milliseconds kLeaderTimeout{800};
constexpr auto kFrame = static_cast<uint8_t>(fleet_frame::kEndpointLimits);

}  // namespace

limit_exchange::limit_exchange(fleet_host& fleet, endpoint_limits& limits)
    : fleet_(fleet), limits_(limits) {}

void limit_exchange::SetLeader(steady_time now, const std::string& ip) {
  if (leader_ip_ != ip) {
    leader_ip_ = ip;
    known_to_leader_.clear();
  }
  leader_heard_at_ = now;
}

void limit_exchange::Tick(steady_time now) {
  const bool has_leader =
      !leader_ip_.empty() && now < leader_heard_at_ + kLeaderTimeout;
  const uint32_t hosts = std::max<uint32_t>(fleet_.entry_host_count(), 1);
  limits_.SetShare(now, has_leader ? 0 : 1.0 / hosts);
  if (!has_leader || now < next_send_) {
    return;
  }
  next_send_ = now + kSendInterval;
  std::vector<limit_record> known = known_to_leader_;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - leader_told_at_);
  for (limit_record& each : known) {
    each.age_ms += static_cast<uint32_t>(since.count());
  }
  const auto newer = limits_.NewerThan(now, known);
  if (!newer.empty()) {
    fleet_.hub().Send(leader_ip_, kFrame, EncodeLimits(newer));
  }
}

void limit_exchange::TickLeading(steady_time now) {
  limits_.SetShare(now, 1);
  const bool is_changed = limits_.change_count() != sent_change_count_;
  const duration early = kUnchangedInterval - kSendInterval;
  if (now < next_send_ - (is_changed ? early : duration(0))) {
    return;
  }
  next_send_ = now + kUnchangedInterval;
  sent_change_count_ = limits_.change_count();
  const std::vector<limit_record> records = limits_.Records(now);
  if (records.empty()) {
    return;
  }
  const std::string encoded = EncodeLimits(records);
  for (const auto& link : fleet_.hub().accepted()) {
    if (!link->peer_name.empty()) {
      link->Send(kFrame, encoded);
    }
  }
}

bool limit_exchange::OnFrame(steady_time now,
                             uint8_t kind,
                             std::string_view payload) {
  if (kind != kFrame) {
    return false;
  }
  auto records = DecodeLimits(payload);
  if (IsOk(records)) {
    limits_.Merge(now, ValueOf(records));
    known_to_leader_ = std::move(ValueOf(records));
    leader_told_at_ = now;
  }
  return true;
}

}  // namespace shallotport
