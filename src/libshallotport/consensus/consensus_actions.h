#ifndef SHALLOTPORT_CONSENSUS_CONSENSUS_ACTIONS_H_
#define SHALLOTPORT_CONSENSUS_CONSENSUS_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "consensus/consensus_message.h"
#include "consensus/log_entry.h"

namespace shallotport {

// Raft's durable state besides the log: the current term and the candidate that
// got this member's vote in it.
struct hard_state {
  uint64_t term = 0;
  host_id vote;
  incarnation vote_disk = 0;

  bool operator==(const hard_state&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, vote, vote_disk);
  }
};

// Send a chunk of this member's snapshot file to a member that needs entries
// which are no longer in the log.
struct chunk_request {
  host_id to;
  log_index snapshot_index = 0;
  uint64_t offset = 0;
};

// Read entries from the log files and pass them to EntriesLoaded().
struct load_request {
  host_id to;
  log_index first = 0;
  uint64_t max_bytes = 0;
};

// Store a chunk of the leader's snapshot file.
struct received_chunk {
  host_id from;
  incarnation from_disk = 0;
  snapshot_chunk chunk;
};

// A read that may be answered once the entries up to `index` are applied.
struct read_grant {
  uint64_t read = 0;
  log_index index = 0;
};

// What the driver has to do, in this order: send `early_messages`; store
// `state` and `entries` and sync; call Persisted(); send `messages`; do the
// rest. `entries` replace all stored entries from the first one's index on.
struct consensus_actions {
  std::vector<consensus_message> early_messages;
  std::optional<hard_state> state;
  std::vector<log_entry_pointer> entries;
  std::vector<consensus_message> messages;
  std::vector<chunk_request> chunk_requests;
  std::vector<load_request> load_requests;
  std::vector<received_chunk> received_chunks;
  std::vector<read_grant> granted_reads;
  std::vector<uint64_t> failed_reads;
  std::string fault;  // If not empty, the member must stop permanently.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_CONSENSUS_ACTIONS_H_
