#ifndef SHALLOTPORT_CONSENSUS_LOG_ENTRY_H_
#define SHALLOTPORT_CONSENSUS_LOG_ENTRY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// Part of the file and message formats: numbers are never reused.
enum class entry_kind : uint8_t {
  kNoop = 1,        // First entry of a leader's term.
  kCommand = 2,     // A command of one slice.
  kMembership = 3,  // The group's new member list.
};

// Identifies one proposal across retries. Each lane of a host carries one
// proposal at a time, with rising sequence numbers, so that the session table
// only needs the last reply of each lane.
struct proposal_origin {
  host_id host;
  incarnation host_incarnation = 0;
  uint32_t lane = 0;
  uint64_t sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, lane, sequence);
  }
};

// A command to be appended to the log.
struct proposal {
  proposal_origin origin;
  replicated_slice slice = replicated_slice::kConfiguration;
  std::string command;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(origin, slice, command);
  }
};

// One entry of the replicated log. Immutable after construction.
struct log_entry {
  log_index index = 0;
  uint64_t term = 0;
  entry_kind kind = entry_kind::kNoop;
  wall_milliseconds leader_time = 0;
  proposal content;  // For kMembership the command is the encoded member list.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, leader_time, content);
  }
};

using log_entry_pointer = std::shared_ptr<const log_entry>;

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_LOG_ENTRY_H_
