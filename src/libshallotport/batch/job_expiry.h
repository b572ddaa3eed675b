#ifndef SHALLOTPORT_BATCH_JOB_EXPIRY_H_
#define SHALLOTPORT_BATCH_JOB_EXPIRY_H_

#include <functional>

#include "base/clock.h"
#include "base/duty_thread.h"
#include "batch/job_client.h"

namespace shallotport {

// Duty on a thread of its own at each member of the log's group. While the
// member is the leader, it proposes expire_jobs whenever leases, jobs or keys
// have expired.
class job_expiry {
 public:
  // `is_leader` may be called from any thread.
  job_expiry(replicated_log& log,
             const clock_source& clock,
             std::function<bool()> is_leader);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

 private:
  struct no_message {};

  steady_time OnTimer(steady_time now);

  job_client client_;
  const clock_source& clock_;
  const std::function<bool()> is_leader_;
  duty_thread<no_message> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_EXPIRY_H_
