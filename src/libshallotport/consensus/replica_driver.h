#ifndef SHALLOTPORT_CONSENSUS_REPLICA_DRIVER_H_
#define SHALLOTPORT_CONSENSUS_REPLICA_DRIVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/duty_thread.h"
#include "base/ids.h"
#include "base/result.h"
#include "consensus/consensus_core.h"
#include "consensus/log_entry.h"
#include "consensus/replica.h"
#include "consensus/replica_storage.h"
#include "consensus/state_machine_set.h"
#include "consensus/sync_totals.h"
#include "storage/incoming_snapshot.h"

namespace shallotport {

class file_system;

// Events for a replica's duty thread.
struct peer_bytes {
  std::string bytes;
};
struct submitted_proposal {
  proposal content;
  replica::reply_function reply;
};
struct submitted_query {
  replicated_slice slice = replicated_slice::kConfiguration;
  std::string query;
  replica::reply_function reply;
};
struct submitted_step {
  membership_step step = membership_step::kAddLearner;
  host_id host;
  replica::reply_function reply;
};
struct state_dump_request {
  std::shared_ptr<std::promise<std::string>> text;
};
struct stop_request {
  std::shared_ptr<std::promise<void>> done;
};
using replica_event = std::variant<peer_bytes,
                                   submitted_proposal,
                                   submitted_query,
                                   submitted_step,
                                   state_dump_request,
                                   stop_request>;

// Runs one member: passes events to the consensus core and carries out its
// actions. Owned by a replica, whose duty thread reads the events from a ring,
// or by an object on an event loop that calls Handle() and Flush() itself.
// Events that are in the ring together share one sync. While it runs, other
// threads may only call TryPush(), Stop(), clock() and the published_...()
// functions.
class replica_driver {
 public:
  replica_driver(replica_options options,
                 const clock_source& clock,
                 replica::send_function send);
  ~replica_driver();

  state_machine_set& states() { return states_; }
  const clock_source& clock() const { return clock_; }

  // Recovers the states from the files.
  status Open();
  // Starts the duty thread. Without it, the driver's owner calls Handle() for
  // each event and then Flush().
  void Start();
  void Stop();

  bool TryPush(replica_event event);
  void Handle(steady_time now, replica_event event);
  // Carries out all pending work; returns when it must be called next.
  steady_time Flush(steady_time now);
  // Blocks until the snapshot that is being written, if any, is complete.
  void WaitForSnapshot();

  host_id published_leader() const;
  std::vector<host_id> published_members() const;
  steady_time published_lease_end() const;
  uint64_t published_term() const;

  const consensus_core* core() const { return core_.get(); }
  log_index applied_index() const { return applied_index_; }
  bool is_failed() const { return !failure_.empty(); }
  const sync_totals& syncs() const { return syncs_; }
  // For tests: called with each applied entry.
  std::function<void(const log_entry& entry)> on_applied;

 private:
  struct waiting_proposal {
    uint64_t term = 0;
    replica::reply_function reply;
  };
  struct waiting_query {
    replicated_slice slice = replicated_slice::kConfiguration;
    std::string query;
    replica::reply_function reply;
  };

  // replica_driver.cc
  void OnEvent(steady_time now, peer_bytes& event);
  void OnEvent(steady_time now, submitted_proposal& event);
  void OnEvent(steady_time now, submitted_query& event);
  void OnEvent(steady_time now, submitted_step& event);
  void OnEvent(steady_time now, state_dump_request& event);
  void OnEvent(steady_time now, stop_request& event);
  void AwaitCommit(const result<log_index>& index,
                   replica::reply_function reply);
  void Fail(const std::string& reason);
  void FailWaiting(const error& cause);
  void Publish();
  void FinishStop(steady_time now);
  void WriteState(nlohmann::json& out) const;

  // replica_execution.cc
  bool RunActions(steady_time now);
  bool Store(steady_time now, const consensus_actions& actions);
  // Syncs the log, and counts syncs that are slow.
  status SyncLog();
  bool RetryStore(steady_time now);
  void SendAll(const std::vector<consensus_message>& messages);
  void SendChunks(const std::vector<chunk_request>& requests);
  void LoadEntries(const std::vector<load_request>& requests);
  void StoreChunk(steady_time now, const received_chunk& received);
  void InstallSnapshot(const received_chunk& last);
  void ApplyCommitted();
  void ApplyEntry(const log_entry& entry);
  result<log_entry_pointer> EntryAt(log_index index) const;
  void AnswerReads(const consensus_actions& actions);
  void AnswerRead(uint64_t read);
  void StartSnapshotWhenDue(steady_time now);
  void CollectSnapshotResult(steady_time now);

  const replica_options options_;
  const clock_source& clock_;
  const replica::send_function send_;
  file_system& files_;
  state_machine_set states_;
  std::unique_ptr<replica_storage> storage_;
  std::unique_ptr<consensus_core> core_;

  log_index applied_index_ = 0;
  bool was_leader_ = false;
  std::string failure_;
  sync_totals syncs_;
  steady_time next_slow_sync_line_at_{};
  bool is_disk_full_ = false;
  steady_time next_disk_retry_at_{};
  bool is_nearly_full_ = false;
  steady_time next_space_check_at_{};
  uint64_t next_read_ = 1;
  std::map<log_index, waiting_proposal> proposals_;
  std::map<uint64_t, waiting_query> queries_;
  // Read ids by the index that must be applied first.
  std::multimap<log_index, uint64_t> granted_queries_;
  std::unique_ptr<incoming_snapshot> incoming_snapshot_;

  uint64_t bytes_since_snapshot_ = 0;
  log_index snapshot_index_ = 0;
  steady_time next_snapshot_at_{};  // Earliest retry after a failure.
  uint64_t last_snapshot_bytes_ = 0;
  uint64_t snapshots_taken_ = 0;
  uint64_t snapshots_failed_ = 0;
  uint64_t sent_bytes_ = 0;
  std::future<std::pair<log_index, result<uint64_t>>> snapshot_task_;

  std::shared_ptr<std::promise<void>> stop_promise_;
  steady_time stop_deadline_{};

  mutable std::mutex published_mutex_;
  host_id published_leader_;
  std::vector<host_id> published_members_;
  std::atomic<duration::rep> published_lease_end_{0};
  std::atomic<uint64_t> published_term_{0};

  std::atomic<int64_t> queued_bytes_{0};
  duty_thread<replica_event> duty_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICA_DRIVER_H_
