#ifndef SHALLOTPORT_CLAIMS_CLAIM_CLIENT_H_
#define SHALLOTPORT_CLAIMS_CLAIM_CLIENT_H_

#include "base/clock.h"
#include "base/result.h"
#include "claims/claim_messages.h"

namespace shallotport {

class replicated_log;

// Typed access to the claims slice of the replicated log, from any host. Calls
// block until the log replies or the deadline passes, and return the errors of
// the log. A host claims the calls that it sends through claim_coordinator, not
// through this class.
class claim_client {
 public:
  // The log must outlive the client.
  explicit claim_client(replicated_log& log) : log_(log) {}

  result<claim_reply> Propose(const claim_command& command,
                              steady_time deadline);

  result<claim_reply> Begin(const claim_begin& begin, steady_time deadline) {
    return Propose(begin, deadline);
  }
  result<claim_reply> Finish(const claim_finish& finish, steady_time deadline) {
    return Propose(finish, deadline);
  }
  result<claim_reply> Release(const claim_release& release,
                              steady_time deadline) {
    return Propose(release, deadline);
  }
  result<claim_reply> Abandon(const claim_abandon& abandon,
                              steady_time deadline) {
    return Propose(abandon, deadline);
  }
  result<claim_reply> Resolve(const claim_resolve& resolve,
                              steady_time deadline) {
    return Propose(resolve, deadline);
  }

  result<claim_reply> Lookup(const claim_lookup& lookup, steady_time deadline);

 private:
  replicated_log& log_;
};

// The error returned to the caller for a result that is neither kGranted,
// kResponseRecorded nor kApplied.
error ErrorOfResult(const claim_reply& reply);

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_CLAIM_CLIENT_H_
