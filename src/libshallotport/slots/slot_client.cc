#include "slots/slot_client.h"

#include <utility>

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

}  // namespace

slot_client::slot_client(const clock_source& clock, fleet_host& fleet)
    : clock_(clock), fleet_(fleet) {}

void slot_client::SetLeader(steady_time now, const std::string& ip) {
  leader_ip_ = ip;
  leader_heard_at_ = now;
}

bool slot_client::Request(const slot_request& request, reply_handler on_reply) {
  const steady_time now = clock_.Now();
  const bool is_available =
      !leader_ip_.empty() && now < leader_heard_at_ + kLeaderTimeout &&
      now >= paused_until_ && fleet_.hub().IsUp(leader_ip_);
  if (!is_available) {
    return false;
  }
  fleet_.hub().Call(
      leader_ip_, static_cast<uint8_t>(fleet_call::kRequestSlot),
      Encode(request), kCallTimeout,
      [this, on_reply = std::move(on_reply)](const result<std::string>& reply) {
        slot_reply decoded_reply;
        if (IsOk(reply)) {
          auto decoded = Decode<slot_reply>(ValueOf(reply));
          if (IsOk(decoded)) {
            decoded_reply = std::move(ValueOf(decoded));
          }
        }
        switch (decoded_reply.kind) {
          case slot_reply_kind::kGranted:
            ++counters_.granted;
            break;
          case slot_reply_kind::kRefused:
            ++counters_.refused;
            break;
          case slot_reply_kind::kNoEndpoint:
            break;
          case slot_reply_kind::kUnavailable:
            ++counters_.unavailable;
            paused_until_ = clock_.Now() + kPauseAfterTimeout;
            break;
        }
        on_reply(std::move(decoded_reply));
      });
  return true;
}

}  // namespace shallotport
