#ifndef SHALLOTPORT_SERVING_ONLINE_CLAIMS_H_
#define SHALLOTPORT_SERVING_ONLINE_CLAIMS_H_

#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/online_request_messages.h"

namespace shallotport {

// What a claim is about.
struct claim_subject {
  account_id account;
  std::string key;  // The caller's Idempotency-Key.
  std::string method;
  std::string path;
  std::string body;
  attempt_id attempt;
};

// The claims that online requests need, as their driver sees them. Calls block
// the request's own thread; all are thread-safe.
class online_claims {
 public:
  virtual ~online_claims() = default;

  // Has the claim committed before `deadline`. When that is not known in time
  // the claim is given up: it is never granted later. The call itself ends by
  // `call_deadline`.
  virtual claim_decided Begin(const claim_subject& subject,
                              const endpoint_id& endpoint,
                              incarnation started,
                              steady_time deadline,
                              steady_time call_deadline) = 0;

  // What a resend would be told, without claiming: kRecorded, kRefused with the
  // reason, or kGranted when nothing is known about the key, so that no call
  // under it was ever sent.
  virtual claim_decided Lookup(const claim_subject& subject,
                               steady_time deadline) = 0;

  // Records the answer. False when it could not be recorded in time; it is
  // then tried further in the background.
  virtual bool Finish(const claim_subject& subject,
                      const endpoint_response& answer) = 0;

  // The call was certainly not run.
  virtual void Release(const claim_subject& subject) = 0;

  // Nobody can know whether the call ran.
  virtual void Abandon(const claim_subject& subject) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ONLINE_CLAIMS_H_
