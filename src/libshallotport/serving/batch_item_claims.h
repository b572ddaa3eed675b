#ifndef SHALLOTPORT_SERVING_BATCH_ITEM_CLAIMS_H_
#define SHALLOTPORT_SERVING_BATCH_ITEM_CLAIMS_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "base/clock.h"
#include "base/ids.h"
#include "batch/batch_calls.h"
#include "serving/online_claims.h"

namespace shallotport {

// The claims of batch items of non-idempotent services: those of online
// requests, under a key that names the job and the item.
class batch_item_claims final : public item_claims {
 public:
  // `claims` and `clock` must outlive this.
  batch_item_claims(online_claims& claims,
                    const clock_source& clock,
                    const host_id& host,
                    incarnation started);

  item_claim_reply Begin(const begin_item_claim& claim) override;
  void Finish(const finish_item_claim& claim) override;
  void Release(const release_item_claim& claim) override;
  void Abandon(const abandon_item_claim& claim) override;

 private:
  claim_subject SubjectOf(const item_ref& item,
                          const leased_job& job,
                          const std::string& body) const;
  // The subject under which the item was begun; forgets it.
  claim_subject TakeBegun(const item_ref& item, const leased_job& job);

  online_claims& claims_;
  const clock_source& clock_;
  const std::string attempt_prefix_;
  std::mutex mutex_;
  std::map<item_ref, claim_subject> begun_;
  uint64_t attempts_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_BATCH_ITEM_CLAIMS_H_
