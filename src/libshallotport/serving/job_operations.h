#ifndef SHALLOTPORT_SERVING_JOB_OPERATIONS_H_
#define SHALLOTPORT_SERVING_JOB_OPERATIONS_H_

#include "base/clock.h"
#include "batch/job_client.h"
#include "serving/route_table.h"

namespace shallotport {

// The operators' requests about batch jobs of any account.
class job_operations {
 public:
  job_operations(replicated_log& log, const clock_source& clock);

  // GET /v1/jobs with account, after and limit; GET /v1/jobs/ID;
  // POST /v1/jobs/ID/cancel; GET /v1/jobs/ID/results with from, one page of
  // JSON lines, whose X-Next-Index says where the next one starts.
  void AddRoutes(route_table& routes);

 private:
  http_reply List(const http_request& request);
  http_reply Show(const job_id& id);
  http_reply Cancel(const job_id& id);
  http_reply Results(const http_request& request, const job_id& id);

  job_client client_;
  const clock_source& clock_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_JOB_OPERATIONS_H_
