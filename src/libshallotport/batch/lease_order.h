#ifndef SHALLOTPORT_BATCH_LEASE_ORDER_H_
#define SHALLOTPORT_BATCH_LEASE_ORDER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"
#include "batch/job_catalogue.h"

namespace shallotport {

// Chooses the jobs that the items of one lease are taken from. Created for one
// lease; the catalogue must outlive it.
//
// Three of four items come from the urgent job with the least laxity: the time
// to the deadline minus the expected time for its remaining items. The others
// come from the account with the least virtual time, and there three of four
// from the job with the least laxity and one from the job with the fewest
// remaining items.
class lease_order {
 public:
  lease_order(job_catalogue& catalogue,
              std::span<const service_id> services,
              wall_milliseconds now);

  // The job to lease the next item from, or nullptr. That item must be leased
  // before the next call.
  job_record* Next();

 private:
  struct candidate {
    job_record* job = nullptr;
    int64_t laxity = 0;
  };
  // Candidates sorted by laxity; those before `first` have no items to lease.
  struct candidate_list {
    account_usage* usage = nullptr;
    std::vector<candidate> candidates;
    size_t first = 0;
  };

  bool IsLeasable(const job_record& job) const;
  job_record* LeastLaxity(candidate_list& list) const;
  job_record* FewestRemaining(candidate_list& list) const;
  job_record* NextByAccount();

  job_catalogue& catalogue_;
  candidate_list urgent_;
  std::vector<candidate_list> by_account_;
};

// Whether another suspect of the service may be leased.
bool IsBelowSuspectLimit(const service_progress& service);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_LEASE_ORDER_H_
