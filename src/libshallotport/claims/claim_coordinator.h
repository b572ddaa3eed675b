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
  // How long a claim stays open for the response after the call's deadline.
  std::chrono::milliseconds open_timeout_margin{30'000};
  // How long a claim and its response are kept.
  std::chrono::milliseconds retention{24LL * 3600 * 1000};
  // Time limit of one proposal in the background.
  std::chrono::milliseconds settle_timeout{1'000};
  claim_tracker_options tracker = {};
};

// One attempt of a caller's request, for which a claim is wanted.
struct claim_request {
  account_id account;
  std::string_view idempotency_key;
  claim_digest request;  // MakeRequestDigest().
  attempt_id attempt;    // Unique among all calls of all hosts.
  endpoint_id endpoint;  // The selected endpoint, when known.
};

// Permission to send the call once.
struct claim_granted {};
using claim_permission = std::variant<claim_granted, claim_response>;

// Claims the calls of one host in the replicated log, so that the call of an
// idempotency key is sent at most once. Thread-safe: the threads that serve
// requests call it and block; a background thread retries the settlements that
// were not committed in their time.
class claim_coordinator {
 public:
  // The log and the clock must outlive the coordinator.
  claim_coordinator(claim_coordinator_options options,
                    replicated_log& log,
                    const clock_source& clock);
  ~claim_coordinator();

  void Start();
  // Waits for proposals in flight. Claims that are not settled by then become
  // unknown after their open timeout. Idempotent.
  void Stop();

  // Claims the request, waiting until `send_deadline` at most. Returns the
  // permission to send it once, or the recorded response of an earlier attempt.
  // An error whose run is not_run holds for all attempts under this key.
  // Without a quorum the error is kNoQuorum, since earlier attempts are then
  // unknown. The call itself ends by `call_deadline`.
  result<claim_permission> Begin(const claim_request& request,
                                 steady_time send_deadline,
                                 steady_time call_deadline);

  // Records the response of a granted attempt. True once it is committed; false
  // at `wait_until`, after which the background thread keeps proposing it.
  bool Finish(const attempt_id& attempt,
              claim_response response,
              steady_time wait_until);
  // States that the call was certainly not executed, so that the key can be
  // claimed again. Returns as Finish() does.
  bool Release(const attempt_id& attempt, steady_time wait_until);
  // The call was sent and its outcome is not known. Resends get
  // kOutcomeUnknown once the open timeout has passed.
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
