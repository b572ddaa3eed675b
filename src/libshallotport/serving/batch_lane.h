#ifndef SHALLOTPORT_SERVING_BATCH_LANE_H_
#define SHALLOTPORT_SERVING_BATCH_LANE_H_

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "batch/batch_calls.h"
#include "http/endpoint_caller.h"

namespace shallotport {

// Carries batch items to endpoints over a caller of their own, so that they
// share no connection limit with online requests. A runner that can resume is
// asked for a stream: what it gave before a cancel is kept.
class batch_lane final : public batch_calls {
 public:
  struct options {
    host_id host;
    incarnation started = 0;
    std::chrono::milliseconds call_timeout{600'000};
  };

  // `caller` and `clock` must outlive this; stop the caller first.
  batch_lane(options chosen,
             const clock_source& clock,
             endpoint_caller& caller);
  ~batch_lane() override;

  void Start(const start_batch_call& call, end_handler ended) override;
  void Cancel(batch_call call) override;

 private:
  struct open_call;
  struct open_calls;
  class sink;

  endpoint_call MakeCall(const start_batch_call& call,
                         const std::string& attempt) const;
  void CancelAtEngine(const open_call& cancelled);

  const options options_;
  const clock_source& clock_;
  endpoint_caller& caller_;
  std::shared_ptr<open_calls> calls_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_BATCH_LANE_H_
