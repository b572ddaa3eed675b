#ifndef SHALLOTPORT_SHALLOTPORTD_LOG_CLAIMS_H_
#define SHALLOTPORT_SHALLOTPORTD_LOG_CLAIMS_H_

#include "claims/claim_coordinator.h"
#include "serving/online_claims.h"

namespace shallotport {

// The claims of online requests, kept in the replicated log.
class log_claims final : public online_claims {
 public:
  // `coordinator`, `log` and `clock` must outlive this.
  log_claims(claim_coordinator& coordinator,
             replicated_log& log,
             const clock_source& clock,
             duration record_timeout)
      : coordinator_(coordinator),
        client_(log),
        clock_(clock),
        record_timeout_(record_timeout) {}

  claim_decided Begin(const claim_subject& subject,
                      const endpoint_id& endpoint,
                      incarnation started,
                      steady_time deadline,
                      steady_time call_deadline) override;
  claim_decided Lookup(const claim_subject& subject,
                       steady_time deadline) override;
  bool Finish(const claim_subject& subject,
              const endpoint_response& answer) override;
  void Release(const claim_subject& subject) override;
  void Abandon(const claim_subject& subject) override;

 private:
  claim_coordinator& coordinator_;
  claim_client client_;
  const clock_source& clock_;
  duration record_timeout_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_LOG_CLAIMS_H_
