#include "slots/slot_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/codec.h"

namespace shallotport {

namespace {

// Two round trips between failure domains; a small part of any objective.
constexpr std::chrono::milliseconds kCallTimeout{30};
// Without load totals for this long, the leader is assumed to be lost.
constexpr std::chrono::milliseconds kLeaderTimeout{800};
// After a request without a reply, so that few requests wait for a leader that
// is lost.
constexpr std::chrono::milliseconds kPauseAfterTimeout{300};
// Load totals come more often than this from a leader that works: requests that
// wait there for a slot do not wait longer.
constexpr std::chrono::milliseconds kSilentLeaderTimeout{400};

slot_reply DecodeReply(const result<std::string>& reply) {
  auto decoded = IsOk(reply) ? Decode<slot_reply>(ValueOf(reply))
                             : result<slot_reply>(ErrorOf(reply));
  return IsOk(decoded) ? std::move(ValueOf(decoded)) : slot_reply();
}

}  // namespace

slot_client::slot_client(const clock_source& clock, fleet_host& fleet)
    : clock_(clock),
      fleet_(fleet),
      next_ticket_(
          static_cast<uint64_t>(clock.Now().time_since_epoch().count())) {}

void slot_client::SetLeader(steady_time now, const std::string& ip) {
  leader_ip_ = ip;
  leader_heard_at_ = now;
}

void slot_client::SetFeatures(const std::string& ip, uint32_t flags) {
  features_ip_ = ip;
  features_ = flags;
}

bool slot_client::IsAvailable(steady_time now) const {
  return !leader_ip_.empty() && now < leader_heard_at_ + kLeaderTimeout &&
         now >= paused_until_ && fleet_.hub().IsUp(leader_ip_);
}

bool slot_client::Request(const slot_request& request, reply_handler on_reply) {
  if (!IsAvailable(clock_.Now())) {
    return false;
  }
  fleet_.hub().Call(
      leader_ip_, static_cast<uint8_t>(fleet_call::kRequestSlot),
      Encode(request), kCallTimeout,
      [this, on_reply = std::move(on_reply)](const result<std::string>& reply) {
        slot_reply decoded_reply = DecodeReply(reply);
        Count(decoded_reply);
        on_reply(std::move(decoded_reply));
      });
  return true;
}

void slot_client::Count(const slot_reply& reply) {
  switch (reply.kind) {
    case slot_reply_kind::kGranted:
      ++counters_.granted;
      break;
    case slot_reply_kind::kRefused:
      ++counters_.refused;
      break;
    case slot_reply_kind::kQueued:
      ++counters_.queued;
      break;
    case slot_reply_kind::kNoEndpoint:
      break;
    case slot_reply_kind::kUnavailable:
      ++counters_.unavailable;
      paused_until_ = clock_.Now() + kPauseAfterTimeout;
      break;
  }
}

bool slot_client::CanQueue() const {
  return features_ip_ == leader_ip_ && (features_ & kQueuesSlotRequests) != 0;
}

std::optional<uint64_t> slot_client::Queue(queued_slot_request demand,
                                           reply_handler on_reply) {
  const steady_time now = clock_.Now();
  if (!IsAvailable(now)) {
    return std::nullopt;
  }
  const uint64_t ticket = next_ticket_++;
  demand.ticket = ticket;
  const duration longest =
      std::chrono::milliseconds(demand.request.max_wait_ms);
  waiting_[ticket] = {leader_ip_, now + longest + kCallTimeout, false,
                      std::move(on_reply)};
  fleet_.hub().Call(leader_ip_, static_cast<uint8_t>(fleet_call::kQueueSlot),
                    Encode(demand), kCallTimeout,
                    [this, ticket](const result<std::string>& reply) {
                      OnQueueReply(ticket, reply);
                    });
  return ticket;
}

void slot_client::OnQueueReply(uint64_t ticket,
                               const result<std::string>& reply) {
  slot_reply decoded_reply = DecodeReply(reply);
  const auto found = waiting_.find(ticket);
  if (decoded_reply.kind == slot_reply_kind::kQueued) {
    Count(decoded_reply);
    if (found != waiting_.end()) {
      found->second.is_queued = true;
    }
    return;
  }
  if (found != waiting_.end() &&
      decoded_reply.kind == slot_reply_kind::kUnavailable) {
    SendCancellation(found->second.leader_ip, ticket);
  }
  Answer(ticket, std::move(decoded_reply));
}

void slot_client::OnGrant(const slot_grant& grant) {
  Answer(grant.ticket, grant.reply);
}

void slot_client::Answer(uint64_t ticket, slot_reply reply) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return;
  }
  const reply_handler on_reply = std::move(found->second.on_reply);
  waiting_.erase(found);
  Count(reply);
  on_reply(std::move(reply));
}

void slot_client::Cancel(uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return;
  }
  SendCancellation(found->second.leader_ip, ticket);
  waiting_.erase(found);
}

void slot_client::SendCancellation(const std::string& leader_ip,
                                   uint64_t ticket) {
  fleet_.hub().Send(leader_ip, static_cast<uint8_t>(fleet_frame::kSlotCancel),
                    Encode(slot_cancellation{ticket}));
}

// Requests whose leader is lost are not granted a slot any more.
void slot_client::Tick(steady_time now) {
  std::vector<uint64_t> ended;
  for (const auto& [ticket, each] : waiting_) {
    const bool has_leader = each.leader_ip == leader_ip_ &&
                            now < leader_heard_at_ + kSilentLeaderTimeout &&
                            fleet_.hub().IsUp(each.leader_ip);
    if (each.is_queued && (now >= each.give_up_at || !has_leader)) {
      ended.push_back(ticket);
    }
  }
  for (const uint64_t each : ended) {
    const auto found = waiting_.find(each);
    if (found != waiting_.end()) {
      SendCancellation(found->second.leader_ip, each);
    }
    Answer(each, {});
  }
}

}  // namespace shallotport
