#ifndef SHALLOTPORT_BATCH_JOB_CLIENT_H_
#define SHALLOTPORT_BATCH_JOB_CLIENT_H_

#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "batch/job_messages.h"

namespace shallotport {

class replicated_log;

// A lease with the bodies of its items, in the order of `grant.items`. The body
// of an item that was settled in the meantime is empty.
struct leased_work {
  items_leased grant;
  std::vector<std::string> bodies;
};

// Client of the job catalogue over the replicated log. Thread-safe; calls block
// until the reply or the deadline. Returns the errors of the log and, as
// errors, the refusals of the catalogue.
class job_client {
 public:
  explicit job_client(replicated_log& log) : log_(log) {}

  result<job_created> Create(const create_job& command, steady_time deadline);
  result<items_added> Add(const add_items& command, steady_time deadline);
  result<job_status> Seal(const seal_job& command, steady_time deadline);
  result<job_status> Cancel(const cancel_job& command, steady_time deadline);
  result<job_deleted> Delete(const delete_job& command, steady_time deadline);
  result<jobs_expired> Expire(steady_time deadline);

  // If reading the bodies fails, the host still holds the lease, which then
  // expires.
  result<leased_work> Lease(const lease_items& command, steady_time deadline);
  result<results_recorded> Record(const record_results& command,
                                  steady_time deadline);
  result<lease_changes> Renew(const renew_leases& command,
                              steady_time deadline);

  result<job_status> Status(const job_status_query& query,
                            steady_time deadline);
  result<job_list> List(const list_jobs_query& query, steady_time deadline);
  result<results_page> Results(const results_query& query,
                               steady_time deadline);
  result<lease_changes> Revocations(const revocations_query& query,
                                    steady_time deadline);
  result<next_expiry> NextExpiry(steady_time deadline);
  result<waiting_items> Waiting(const waiting_query& query,
                                steady_time deadline);

 private:
  replicated_log& log_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_CLIENT_H_
