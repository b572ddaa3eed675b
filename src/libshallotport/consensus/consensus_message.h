#ifndef SHALLOTPORT_CONSENSUS_CONSENSUS_MESSAGE_H_
#define SHALLOTPORT_CONSENSUS_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "consensus/log_entry.h"

namespace shallotport {

// Requests a vote. A pre-vote changes no state at the receiver: it only finds
// out whether the sender could win an election.
struct vote_request {
  bool is_pre_vote = false;
  bool is_transfer = false;  // The leader requested this election.
  log_index last_index = 0;
  uint64_t last_term = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(is_pre_vote, is_transfer, last_index, last_term);
  }
};

struct vote_reply {
  bool is_pre_vote = false;
  bool is_granted = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(is_pre_vote, is_granted);
  }
};

// The entries after `previous_index`; a heartbeat has none.
struct append_request {
  uint64_t round = 0;  // Echoed in the reply, which the leader thereby dates.
  log_index previous_index = 0;
  uint64_t previous_term = 0;
  log_index commit_index = 0;
  std::vector<log_entry_pointer> entries;
};

struct append_reply {
  uint64_t round = 0;
  bool is_accepted = false;
  // If accepted, the last entry known to match the leader's log; otherwise the
  // entry after which the leader should probe next.
  log_index last_index = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(round, is_accepted, last_index);
  }
};

// A chunk of the leader's snapshot file.
struct snapshot_chunk {
  uint64_t round = 0;
  log_index snapshot_index = 0;
  uint64_t snapshot_term = 0;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(round, snapshot_index, snapshot_term, offset, total, bytes);
  }
};

struct snapshot_reply {
  uint64_t round = 0;
  log_index snapshot_index = 0;
  uint64_t next_offset = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(round, snapshot_index, next_offset);
  }
};

// Tells the receiver to start an election immediately (Raft's TimeoutNow).
struct timeout_now {
  template <typename Archive>
  void serialize(Archive&) {}
};

using consensus_body = std::variant<vote_request,
                                    vote_reply,
                                    append_request,
                                    append_reply,
                                    snapshot_chunk,
                                    snapshot_reply,
                                    timeout_now>;

// One message between two members of a group.
struct consensus_message {
  uint32_t group = 0;
  host_id from;
  incarnation from_incarnation = 0;
  host_id to;
  incarnation to_incarnation = 0;  // 0: any.
  uint64_t term = 0;
  consensus_body body;
};

std::string EncodeMessage(const consensus_message& message);
result<consensus_message> DecodeMessage(std::string_view bytes);

std::string EncodeEntry(const log_entry& entry);
result<log_entry> DecodeEntry(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_CONSENSUS_MESSAGE_H_
