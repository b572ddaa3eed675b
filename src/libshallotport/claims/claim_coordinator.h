#ifndef SHALLOTPORT_CLAIMS_CLAIM_COORDINATOR_H_
#define SHALLOTPORT_CLAIMS_CLAIM_COORDINATOR_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/duty_thread.h"
#include "base/result.h"
#include "claims/claim_client.h"
#include "claims/claim_tracker.h"

namespace shallotport {

struct claim_coordinator_options {
  host_id host;
  incarnation started = 0;  // Higher at each start of this host.
  // After a call's deadline, how long its claim stays open for the answer.
  std::chrono::milliseconds open_timeout_margin{30'000};
  // How long a claim and its answer are kept.
  std::chrono::milliseconds retention{24LL * 3600 * 1000};
  // How long one background proposal may take.
  std::chrono::milliseconds settle_timeout{1'000};
  claim_tracker_options tracker = {};
};

// What the caller's request is claimed as.
struct claim_request {
  account_id account;
  std::string_view idempotency_key;
  claim_digest request;  // MakeRequestDigest().
  attempt_id attempt;    // Unique; used for no other call.
  endpoint_id endpoint;  // Where the call is meant to go, when known.
};

// The call may be sent, once.
struct claim_granted {};
using claim_permission = std::variant<claim_granted, claim_response>;

// Claims for the calls of one host. Threads that serve requests call it and
// wait; a thread of its own goes on proposing what they could not settle.
class claim_coordinator {
 public:
  // The log and the clock must outlive the coordinator.
  claim_coordinator(claim_coordinator_options options,
                    replicated_log& log,
                    const clock_source& clock);
  ~claim_coordinator();

  void Start();
  // Waits for proposals under way; what is not settled is left to the open
  // limits. Idempotent.
  void Stop();

  // Claims the request, waiting until `send_deadline` at most. Gives the
  // permission to send it once, or the recorded answer of an earlier try. An
  // error of run not_run is sure for all tries under this key; without quorum
  // the error is kNoQuorum. The call itself ends by `call_deadline`.
  result<claim_permission> Begin(const claim_request& request,
                                 steady_time send_deadline,
                                 steady_time call_deadline);

  // Settles a granted attempt. Returns when the log has it, or at `wait_until`
  // with false; it is then proposed further in the background.
  bool Finish(const attempt_id& attempt,
              claim_response response,
              steady_time wait_until);
  // The call certainly did not run: the key can be claimed anew.
  bool Release(const attempt_id& attempt, steady_time wait_until);
  // The call was sent and its outcome is not known: resends are told so once
  // the open limit has passed.
  void StopTracking(const attempt_id& attempt);

  void WriteState(nlohmann::json& out) const;

 private:
  struct wake_up {};

  claim_begin MakeBegin(const claim_request& request,
                        steady_time now,
                        steady_time call_deadline) const;
  bool MaySend(const attempt_id& attempt, const result<claim_reply>& reply);
  bool ProposeSettlement(const attempt_id& attempt, steady_time wait_until);
  steady_time ProposeDueSettlements(steady_time now);

  const claim_coordinator_options options_;
  claim_client client_;
  const clock_source& clock_;
  mutable std::mutex mutex_;  // Guards tracker_ and host_incarnation_.
  claim_tracker tracker_;
  incarnation host_incarnation_;
  duty_thread<wake_up> duty_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_CLAIM_COORDINATOR_H_
