#ifndef SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_
#define SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// How the leader replicates the log to one other member.
enum class replication_state : uint8_t {
  kProbe,      // Searching for the last matching entry; one message at a time.
  kReplicate,  // Entries are sent without waiting for replies.
  kSnapshot,   // Needs entries that were compacted; gets a snapshot.
};

// What the leader knows about one other member.
struct peer_progress {
  struct in_flight_message {
    log_index last = 0;
    uint64_t bytes = 0;
  };

  replication_state state = replication_state::kProbe;
  log_index match_index = 0;  // Last entry known to be stored there.
  log_index next_index = 1;   // Next entry to send.
  steady_time last_received_at{};
  uint64_t last_replied_round = 0;
  incarnation last_seen_disk = 0;  // From its last message.
  bool is_probe_sent = false;
  bool is_loading = false;
  // Messages with entries that are not acknowledged yet.
  std::deque<in_flight_message> in_flight;
  uint64_t in_flight_bytes = 0;
  log_index snapshot_index = 0;
  uint64_t snapshot_offset = 0;
  steady_time snapshot_sent_at{};

  void ClearInFlight() {
    in_flight.clear();
    in_flight_bytes = 0;
  }

  void StartProbe(log_index from) {
    state = replication_state::kProbe;
    next_index = from;
    is_probe_sent = false;
    is_loading = false;
    ClearInFlight();
  }

  void AcknowledgeUpTo(log_index last) {
    while (!in_flight.empty() && in_flight.front().last <= last) {
      in_flight_bytes -= in_flight.front().bytes;
      in_flight.pop_front();
    }
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_
