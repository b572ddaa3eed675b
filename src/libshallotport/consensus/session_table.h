#ifndef SHALLOTPORT_CONSENSUS_SESSION_TABLE_H_
#define SHALLOTPORT_CONSENSUS_SESSION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "consensus/log_entry.h"

namespace shallotport {

// Makes proposals idempotent: a retry of an applied proposal gets the recorded
// reply and is not applied again. Part of the replicated state. Keeps the
// latest incarnation of each origin host, and the last sequence and reply of
// each of its lanes. Bounded by kMaxOrigins hosts, kMaxLanes lanes each and
// kMaxKeptReplyBytes a reply; a new host replaces the least recently used one.
class session_table {
 public:
  static constexpr size_t kMaxOrigins = 2'048;
  static constexpr uint32_t kMaxLanes = 256;
  static constexpr size_t kMaxKeptReplyBytes = 4'096;

  enum class proposal_status : uint8_t {
    kNew,        // To be applied.
    kDuplicate,  // Applied before: RecordedReply() has the reply.
    kStale,      // Older than the recorded one: rejected.
  };

  proposal_status Check(const proposal_origin& origin) const;

  // The reply to a duplicate; kOutcomeUnknown if it was too long to keep.
  result<std::string> RecordedReply(const proposal_origin& origin) const;

  // Records the reply to a new proposal that was applied at `index`.
  void Record(const proposal_origin& origin,
              log_index index,
              std::string_view reply);

  size_t size() const { return sessions_.size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sessions_);
  }

 private:
  struct lane {
    uint64_t sequence = 0;
    bool is_reply_kept = true;
    std::string reply;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(sequence, is_reply_kept, reply);
    }
  };

  struct session {
    incarnation host_incarnation = 0;
    log_index last_used_index = 0;
    std::map<uint32_t, lane> lanes;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(host_incarnation, last_used_index, lanes);
    }
  };

  void RemoveLeastRecentlyUsed();

  std::map<host_id, session> sessions_;
};

std::string EncodeSessions(const session_table& sessions);
result<session_table> DecodeSessions(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_SESSION_TABLE_H_
