#ifndef SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_
#define SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// How the leader feeds one other member.
enum class feeding : uint8_t {
  kProbe,      // Looking for the last common entry; one message at a time.
  kReplicate,  // Entries are sent ahead of the answers.
  kSnapshot,   // It lacks entries that are gone from the log.
};

// What the leader knows of one other member.
struct peer_progress {
  struct flight {
    log_index last = 0;
    uint64_t bytes = 0;
  };

  feeding state = feeding::kProbe;
  log_index match = 0;  // Last entry known to be stored there.
  log_index next = 1;   // Next entry to send.
  steady_time last_ack{};
  uint64_t acked_round = 0;
  incarnation seen_disk = 0;  // Sent with its last message.
  bool is_probe_sent = false;
  bool is_loading = false;
  std::deque<flight> flights;  // Messages with entries, not yet answered.
  uint64_t flight_bytes = 0;
  log_index snapshot_index = 0;
  uint64_t snapshot_offset = 0;
  steady_time snapshot_sent{};

  void ClearFlights() {
    flights.clear();
    flight_bytes = 0;
  }

  void StartProbe(log_index from) {
    state = feeding::kProbe;
    next = from;
    is_probe_sent = false;
    is_loading = false;
    ClearFlights();
  }

  void AcknowledgeFlights(log_index last) {
    while (!flights.empty() && flights.front().last <= last) {
      flight_bytes -= flights.front().bytes;
      flights.pop_front();
    }
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_PEER_PROGRESS_H_
