#ifndef SHALLOTPORT_BATCH_LEASE_ORDER_H_
#define SHALLOTPORT_BATCH_LEASE_ORDER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/clock.h"
#include "batch/job_catalogue.h"

namespace shallotport {

// Chooses which jobs the next items of one grant come from. Lives for one
// grant; the catalogue outlives it.
//
// Three of four items go to the urgent job with the least laxity, the time
// left to the deadline beyond what its items take. All others go to the
// account with the least weighted service, and within the account three of
// four to the least laxity and one to the job with the fewest items left.
class lease_order {
 public:
  lease_order(job_catalogue& catalogue,
              std::span<const service_id> services,
              wall_milliseconds now);

  // The job to take the next item from, or nothing. The caller takes the item
  // before it asks again.
  job_record* Next();

 private:
  struct candidate {
    job_record* job = nullptr;
    int64_t laxity = 0;
  };
  // Sorted by laxity. Those before `first` have run out.
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

// Whether `service` lets a further suspect run.
bool IsBelowSuspectLimit(const service_progress& service);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_LEASE_ORDER_H_
