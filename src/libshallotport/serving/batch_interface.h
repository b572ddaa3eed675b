#ifndef SHALLOTPORT_SERVING_BATCH_INTERFACE_H_
#define SHALLOTPORT_SERVING_BATCH_INTERFACE_H_

#include <string_view>

#include "base/clock.h"
#include "batch/job_client.h"
#include "http/http_message.h"
#include "serving/route_table.h"

namespace shallotport {

struct authenticated_caller;
class replicated_log;

// The callers' requests about batch jobs, at and below /v1/batches. Every call
// is safe to resend: a job is found again by its Idempotency-Key, items by
// their index.
class batch_interface {
 public:
  batch_interface(replicated_log& log, const clock_source& clock);

  http_reply Handle(const http_request& request,
                    const authenticated_caller& caller);

 private:
  using handler =
      http_reply (batch_interface::*)(const http_request& request,
                                      const authenticated_caller& caller,
                                      const job_id& id);
  struct operation {
    std::string_view method;
    std::string_view action;  // The path's part after the job's id.
    bool has_job = false;
    handler handle = nullptr;
  };
  static const operation kOperations[];

  http_reply Create(const http_request& request,
                    const authenticated_caller& caller,
                    const job_id& id);
  http_reply List(const http_request& request,
                  const authenticated_caller& caller,
                  const job_id& id);
  http_reply Show(const http_request& request,
                  const authenticated_caller& caller,
                  const job_id& id);
  http_reply AddItems(const http_request& request,
                      const authenticated_caller& caller,
                      const job_id& id);
  http_reply Seal(const http_request& request,
                  const authenticated_caller& caller,
                  const job_id& id);
  http_reply Cancel(const http_request& request,
                    const authenticated_caller& caller,
                    const job_id& id);
  http_reply Delete(const http_request& request,
                    const authenticated_caller& caller,
                    const job_id& id);
  http_reply Results(const http_request& request,
                     const authenticated_caller& caller,
                     const job_id& id);

  result<create_job> ReadCreate(const http_request& request,
                                const authenticated_caller& caller) const;
  // Adds `items` from `first` on in commands of bounded size.
  result<uint32_t> Upload(const account_id& account,
                          const job_id& id,
                          uint32_t first,
                          std::span<const std::string_view> items);
  steady_time Deadline() const;

  job_client client_;
  const clock_source& clock_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_BATCH_INTERFACE_H_
