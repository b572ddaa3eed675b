#ifndef SHALLOTPORT_CONSENSUS_LOG_WINDOW_H_
#define SHALLOTPORT_CONSENSUS_LOG_WINDOW_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "consensus/log_entry.h"

namespace shallotport {

// The part of the log after the last compaction: the term and time of each
// entry, and the entries themselves up to a memory limit. The driver reads
// evicted entries back from the log files.
class log_window {
 public:
  explicit log_window(uint64_t memory_limit_bytes)
      : memory_limit_bytes_(memory_limit_bytes) {}

  // Index of the entry before the first one; 0 if nothing was compacted.
  log_index base_index() const { return base_index_; }
  uint64_t base_term() const { return base_term_; }
  log_index last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const;
  wall_milliseconds last_time() const { return last_time_; }
  uint64_t held_bytes() const { return held_bytes_; }
  // Entries up to this one may be evicted from memory.
  log_index evicted_to() const { return evicted_to_; }

  // nullopt if the entry was compacted or does not exist.
  std::optional<uint64_t> TermAt(log_index index) const;

  // The leader's time in the entry; 0 if it was compacted or does not exist.
  wall_milliseconds TimeAt(log_index index) const;

  // Null if the entry is not held in memory.
  log_entry_pointer EntryAt(log_index index) const;

  void Append(log_entry_pointer entry);
  // Removes the entries from `index` on.
  void TruncateFrom(log_index index);
  // Removes the entries up to `index`, which is in the window.
  void CompactTo(log_index index);
  // Removes all entries; the log continues after a snapshot at `index`.
  void Reset(log_index index, uint64_t term, wall_milliseconds time);

  // Evicts entries up to `index` from memory, oldest first, while above the
  // memory limit.
  void Evict(log_index index);

 private:
  struct window_entry {
    uint64_t term;
    wall_milliseconds time;
    log_entry_pointer entry;
  };

  const window_entry* Find(log_index index) const;
  void ReleaseEntry(window_entry& released);

  const uint64_t memory_limit_bytes_;
  log_index base_index_ = 0;
  uint64_t base_term_ = 0;
  wall_milliseconds base_time_ = 0;
  wall_milliseconds last_time_ = 0;
  std::deque<window_entry> entries_;
  uint64_t held_bytes_ = 0;
  log_index evicted_to_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_LOG_WINDOW_H_
