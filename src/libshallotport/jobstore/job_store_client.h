#ifndef SHALLOTPORT_JOBSTORE_JOB_STORE_CLIENT_H_
#define SHALLOTPORT_JOBSTORE_JOB_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "fleet/fleet_host.h"
#include "jobstore/job_records.h"

namespace shallotport {

// Calls the leader of the job group on behalf of an entry host. Finds the
// leader among the job stores and repeats a call until the leader has replied
// or the call has timed out. Runs on the event loop of `fleet`.
class job_store_client {
 public:
  using reply_handler = std::function<void(job_store_reply reply)>;

  job_store_client(boost::asio::io_context& loop,
                   const clock_source& clock,
                   fleet_host& fleet);

  // The reply is kDone, kOverLimit, kNotFound, kNotLeader (no leader was found
  // in time and nothing was done) or kUnknown.
  void Submit(const job_submission& submission, reply_handler on_reply);
  void Read(const job_read_request& read, reply_handler on_reply);
  void ReadItem(const job_read_request& read, reply_handler on_reply);
  void Cancel(const job_read_request& read, reply_handler on_reply);

 private:
  struct pending_call;

  void BeginCall(fleet_call method,
                 std::string body,
                 duration timeout,
                 reply_handler on_reply);
  void SendToNextStore(const std::shared_ptr<pending_call>& call);
  std::string NextStore(const pending_call& call) const;

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  fleet_host& fleet_;
  std::string leader_ip_;  // Last known leader; empty: unknown.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_STORE_CLIENT_H_
