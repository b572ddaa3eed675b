#include "batch/job_catalogue.h"

#include "base/digest.h"

namespace shallotport {

job_record& job_catalogue::Insert(job_record&& job) {
  const job_number number = job.number;
  if (!job.key.empty()) {
    keys[{job.account, job.key}] = number;
  }
  if (job.phase == job_phase::kOpen) {
    open.insert(number);
  } else if (job.phase == job_phase::kRunning) {
    running.insert(number);
  } else {
    ended.emplace(job.ended, number);
  }
  return jobs.insert_or_assign(number, std::move(job)).first->second;
}

uint64_t RemovedKeyHash(const account_id& account, const std::string& key) {
  return HashOf(key, HashOf(account.text()));
}

int64_t ExpectedMilliseconds(const service_progress& service, uint64_t items) {
  if (service.items_per_million_seconds == 0) {
    return 0;
  }
  constexpr uint64_t kMillisecondsPerMillionSeconds = 1'000'000'000;
  return static_cast<int64_t>(items * kMillisecondsPerMillionSeconds /
                              service.items_per_million_seconds);
}

}  // namespace shallotport
