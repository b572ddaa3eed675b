#ifndef SHALLOTPORT_BATCH_JOB_STATE_H_
#define SHALLOTPORT_BATCH_JOB_STATE_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "batch/item_payloads.h"
#include "batch/job_catalogue.h"
#include "batch/job_messages.h"
#include "batch/pinned_payloads.h"
#include "consensus/replicated_state.h"

namespace shallotport {

struct job_state_settings {
  uint32_t group = 0;  // Of the replicated log; part of job ids.
  uint32_t max_items_per_job = 200'000;
  uint32_t max_items_per_lease = 256;
  uint32_t max_interruptions = 8;                   // Expired leases per item.
  uint32_t max_endpoint_deaths = 2;                 // Per item.
  int64_t retention_ms = 3LL * 24 * 3600 * 1000;    // After a job's end.
  int64_t upload_idle_ms = 3600LL * 1000;           // Of an unsealed job.
  int64_t key_horizon_ms = 7LL * 24 * 3600 * 1000;  // After a job's removal.
};

// The job catalogue as a replicated state machine: jobs, their items, the
// leases and their holders, and the outcomes. Every member of the group applies
// the same commands (job_messages.h) and has the same catalogue; bodies and
// results are kept in the member's own payload store.
//
// The first final result of an item that the log commits is its outcome; later
// ones are only counted. Refused commands change no state.
class job_state final : public replicated_state {
 public:
  job_state(const job_state_settings& settings, item_payloads& payloads);

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  // The earliest leader time at which something expires, or nothing.
  std::optional<wall_milliseconds> NextExpiry() const;

  // An error once the payload store has failed: this member could not apply a
  // command, refuses all further ones and must be restored from a snapshot.
  const status& health() const { return health_; }

  const job_catalogue& catalogue() const { return catalogue_; }
  void WriteState(nlohmann::json& out) const override;

 private:
  // One overload for each command; those for lease_items, record_results and
  // renew_leases are defined in job_leases.cc.
  job_reply<job_created> Execute(const apply_context& context,
                                 const create_job& command);
  job_reply<items_added> Execute(const apply_context& context,
                                 const add_items& command);
  job_reply<job_status> Execute(const apply_context& context,
                                const seal_job& command);
  job_reply<job_status> Execute(const apply_context& context,
                                const cancel_job& command);
  job_reply<job_deleted> Execute(const apply_context& context,
                                 const delete_job& command);
  job_reply<items_leased> Execute(const apply_context& context,
                                  const lease_items& command);
  job_reply<results_recorded> Execute(const apply_context& context,
                                      const record_results& command);
  job_reply<lease_changes> Execute(const apply_context& context,
                                   const renew_leases& command);
  job_reply<jobs_expired> Execute(const apply_context& context,
                                  const expire_jobs& command);

  job_record* FindJob(const account_id& account, const job_id& id);
  job_status StatusOf(const apply_context& context,
                      const job_record& job) const;
  void StartJob(const apply_context& context, job_record& job);
  void EndJob(const apply_context& context, job_record& job, job_phase phase);
  void EndJobIfComplete(const apply_context& context, job_record& job);
  void RevokeLeases(const job_record& job);
  void ReleaseUnsettled(const job_record& job);
  void RemoveJob(const apply_context& context, job_number number);

  leased_item LeaseItem(job_record& job, lease_epoch epoch);
  uint32_t PopWaiting(job_record& job);
  record_status RecordResult(const apply_context& context,
                             const item_result& item);
  record_status RecordAttempt(const apply_context& context,
                              job_record& job,
                              const item_result& item);
  void RecordDone(const apply_context& context,
                  job_record& job,
                  const item_result& item);
  void Settle(const apply_context& context,
              job_record& job,
              item_entry& entry,
              const item_result& item);
  void RemoveFromLease(job_record& job, item_entry& entry, uint32_t index);
  void Detach(job_record& job, item_entry& entry, uint32_t index);
  void Requeue(job_record& job, item_entry& entry, uint32_t index);
  void RecordInterruption(const apply_context& context, const item_ref& item);
  void EndLease(const apply_context& context, lease_epoch epoch);
  void EndLeases(const apply_context& context,
                 const host_id& host,
                 incarnation before);
  void RecordProgress(const apply_context& context, const job_record& job);

  // Appends to the payload store; on an error sets health_.
  payload_location Store(std::string_view bytes);

  const job_state_settings settings_;
  pinned_payloads payloads_;
  job_catalogue catalogue_;
  // Number of snapshots begun; item_table copies the chunks that they share.
  mutable uint64_t generation_ = 0;
  status health_;
  wall_milliseconds leader_time_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_STATE_H_
