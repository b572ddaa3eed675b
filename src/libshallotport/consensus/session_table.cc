#include "consensus/session_table.h"

#include <algorithm>

#include "base/codec.h"

namespace shallotport {

session_table::proposal_status session_table::Check(
    const proposal_origin& origin) const {
  if (origin.lane >= kMaxLanes) {
    return proposal_status::kStale;
  }
  const auto found = sessions_.find(origin.host);
  if (found == sessions_.end() ||
      found->second.host_incarnation < origin.host_incarnation) {
    return proposal_status::kNew;
  }
  if (found->second.host_incarnation > origin.host_incarnation) {
    return proposal_status::kStale;
  }
  const auto lane = found->second.lanes.find(origin.lane);
  if (lane == found->second.lanes.end() ||
      lane->second.sequence < origin.sequence) {
    return proposal_status::kNew;
  }
  return lane->second.sequence == origin.sequence ? proposal_status::kDuplicate
                                                  : proposal_status::kStale;
}

result<std::string> session_table::RecordedReply(
    const proposal_origin& origin) const {
  const lane& kept = sessions_.at(origin.host).lanes.at(origin.lane);
  if (!kept.is_reply_kept) {
    return MakeError(error_kind::kOutcomeUnknown,
                     "applied before; its reply was too long to keep");
  }
  return kept.reply;
}

void session_table::Record(const proposal_origin& origin,
                           log_index index,
                           std::string_view reply) {
  if (!sessions_.contains(origin.host)) {
    RemoveLeastRecentlyUsed();
  }
  session& used = sessions_[origin.host];
  if (used.host_incarnation < origin.host_incarnation) {
    used.lanes.clear();
  }
  used.host_incarnation = origin.host_incarnation;
  used.last_used_index = index;
  lane& last = used.lanes[origin.lane];
  last.sequence = origin.sequence;
  last.is_reply_kept = reply.size() <= kMaxKeptReplyBytes;
  last.reply = last.is_reply_kept ? std::string(reply) : std::string();
}

void session_table::RemoveLeastRecentlyUsed() {
  if (sessions_.size() < kMaxOrigins) {
    return;
  }
  const auto oldest = std::min_element(
      sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
        return a.second.last_used_index < b.second.last_used_index;
      });
  sessions_.erase(oldest);
}

std::string EncodeSessions(const session_table& sessions) {
  return Encode(sessions);
}

result<session_table> DecodeSessions(std::string_view bytes) {
  return Decode<session_table>(bytes);
}

}  // namespace shallotport
