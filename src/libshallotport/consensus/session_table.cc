#include "consensus/session_table.h"

#include <algorithm>

#include "base/codec.h"

namespace shallotport {

session_table::verdict session_table::Check(
    const proposal_origin& origin) const {
  if (origin.lane >= kMaxLanes) {
    return verdict::kOvertaken;
  }
  const auto found = sessions_.find(origin.host);
  if (found == sessions_.end() ||
      found->second.host_incarnation < origin.host_incarnation) {
    return verdict::kNew;
  }
  if (found->second.host_incarnation > origin.host_incarnation) {
    return verdict::kOvertaken;
  }
  const auto lane = found->second.lanes.find(origin.lane);
  if (lane == found->second.lanes.end() ||
      lane->second.sequence < origin.sequence) {
    return verdict::kNew;
  }
  return lane->second.sequence == origin.sequence ? verdict::kDuplicate
                                                  : verdict::kOvertaken;
}

result<std::string> session_table::ReplyTo(
    const proposal_origin& origin) const {
  const lane& kept = sessions_.at(origin.host).lanes.at(origin.lane);
  if (!kept.is_kept) {
    return MakeError(error_kind::kOutcomeUnknown,
                     "applied before; its reply was too long to keep");
  }
  return kept.reply;
}

void session_table::Record(const proposal_origin& origin,
                           log_index index,
                           std::string_view reply) {
  if (!sessions_.contains(origin.host)) {
    MakeRoom();
  }
  session& used = sessions_[origin.host];
  if (used.host_incarnation < origin.host_incarnation) {
    used.lanes.clear();
  }
  used.host_incarnation = origin.host_incarnation;
  used.last_use = index;
  lane& last = used.lanes[origin.lane];
  last.sequence = origin.sequence;
  last.is_kept = reply.size() <= kMaxKeptReply;
  last.reply = last.is_kept ? std::string(reply) : std::string();
}

void session_table::MakeRoom() {
  if (sessions_.size() < kMaxOrigins) {
    return;
  }
  const auto oldest = std::min_element(
      sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
        return a.second.last_use < b.second.last_use;
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
