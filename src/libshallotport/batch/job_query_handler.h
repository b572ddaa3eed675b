#ifndef SHALLOTPORT_BATCH_JOB_QUERY_HANDLER_H_
#define SHALLOTPORT_BATCH_JOB_QUERY_HANDLER_H_

#include <optional>

#include "batch/item_payloads.h"
#include "batch/job_catalogue.h"
#include "batch/job_messages.h"

namespace shallotport {

// The public id of a job: consists of the group of the replicated log that
// stores the job and the job's number there.
job_id MakeJobId(uint32_t group, job_number number);

// The job's number, or nothing if `id` is not an id of this group.
std::optional<job_number> ParseJobId(uint32_t group, const job_id& id);

// Executes queries on the job catalogue. Created for one query; the catalogue
// and the payloads must outlive it.
class job_query_handler {
 public:
  job_query_handler(const job_catalogue& catalogue,
                    const item_payloads& payloads,
                    uint32_t group,
                    wall_milliseconds now)
      : catalogue_(catalogue), payloads_(payloads), group_(group), now_(now) {}

  // Counts and the expected end, which follows from the service's throughput
  // and its items with an earlier or equal deadline.
  job_status StatusOf(const job_record& job) const;

  job_reply<job_status> Reply(const job_status_query& query) const;
  job_reply<job_list> Reply(const list_jobs_query& query) const;
  job_reply<results_page> Reply(const results_query& query) const;
  job_reply<lease_bodies> Reply(const lease_bodies_query& query) const;
  job_reply<lease_changes> Reply(const revocations_query& query) const;
  job_reply<waiting_items> Reply(const waiting_query& query) const;
  // Not used: job_state replies itself, since it knows the expiry times.
  job_reply<next_expiry> Reply(const expiry_query&) const {
    return next_expiry{};
  }

 private:
  const job_record* FindJob(const account_id& account, const job_id& id) const;
  uint64_t ItemsWithEarlierDeadline(const job_record& job) const;
  result<std::string> ReadBody(const item_ref& ref) const;
  status AddLine(const job_record& job,
                 const item_entry& entry,
                 uint32_t index,
                 results_page& page) const;

  const job_catalogue& catalogue_;
  const item_payloads& payloads_;
  const uint32_t group_;
  const wall_milliseconds now_;
};

// Whether `account` may access the job. An empty account stands for an
// operator.
bool IsVisibleTo(const account_id& account, const job_record& job);

// The given leases that the host no longer holds, and the items revoked from
// the others.
lease_changes LeaseChangesOf(const job_catalogue& catalogue,
                             const host_id& host,
                             incarnation host_incarnation,
                             const std::vector<lease_epoch>& epochs);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_QUERY_HANDLER_H_
