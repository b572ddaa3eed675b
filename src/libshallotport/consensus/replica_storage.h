#ifndef SHALLOTPORT_CONSENSUS_REPLICA_STORAGE_H_
#define SHALLOTPORT_CONSENSUS_REPLICA_STORAGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "consensus/consensus_core.h"
#include "consensus/log_entry.h"
#include "storage/snapshot_folder.h"
#include "storage/write_ahead_log.h"

namespace shallotport {

class file_system;

// The files of one member: its identity, the write-ahead log with entries and
// hard state, and the snapshots.
class replica_storage {
 public:
  // Opens existing files, or prepares new ones with `new_disk` as the disk's
  // incarnation. kCorrupt for files of another host or group, and for an
  // identity without its log: a member that lost part of its files must not
  // vote.
  static result<std::unique_ptr<replica_storage>> Open(
      file_system& files,
      write_ahead_log_options options,
      const host_id& host,
      incarnation new_disk);

  incarnation disk() const { return disk_; }
  const snapshot_folder& snapshots() const { return snapshots_; }

  // Index of the newest complete snapshot; 0: none.
  result<log_index> NewestSnapshot() const;

  // Opens the log and passes its records to the core's Restore functions in
  // their order. Completes the creation of new files.
  status Recover(consensus_core& core, const snapshot_point& point);

  // Buffer records for the next Sync().
  void PutState(const hard_state& state);
  void PutEntry(const log_entry& entry);
  void PutReset(const snapshot_point& point);

  // Makes all buffered records durable. May be retried after kStorageFull.
  status Sync();

  result<log_entry_pointer> ReadEntry(log_index index) const;

  // Removes log segments and snapshots that are no longer needed.
  status RemoveBefore(log_index first_kept_entry,
                      log_index first_kept_snapshot);

  // True if new entries should be rejected, before the disk is full.
  bool IsNearlyFull() const;

  void WriteState(nlohmann::json& out) const;

 private:
  replica_storage(file_system& files, write_ahead_log_options options);

  status ReadIdentity(const host_id& host, incarnation new_disk);
  status CreateIdentity();
  status CheckLogExists() const;
  status OnRecord(consensus_core& core, const log_record& record);
  void RecordPosition(log_index index, const log_position& position);
  status StartSegment();

  file_system& files_;
  const write_ahead_log_options options_;
  const std::string folder_;
  const uint32_t group_;
  const snapshot_folder snapshots_;
  host_id host_;
  incarnation disk_ = 0;
  bool is_new_ = false;  // The identity file does not exist yet.
  bool has_records_ = false;
  std::unique_ptr<write_ahead_log> log_;
  hard_state state_;
  log_index first_stored_index_ = 1;
  std::deque<log_position> positions_;
  std::map<uint32_t, log_index> last_index_in_segment_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICA_STORAGE_H_
