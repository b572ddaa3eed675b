#include "batch/lease_order.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr int64_t kUrgentLaxityMilliseconds = 10 * 60 * 1000;
// One item of this many is not given to urgent jobs, and one of this many of
// an account to its shortest job.
constexpr uint64_t kShareDenominator = 4;

// A job that needs far more than the time left gets no preference: it would
// make others late without being on time itself.
bool IsHopeless(int64_t laxity, int64_t time_left) {
  return laxity < -(time_left / 4);
}

}  // namespace

bool HasSuspectRoom(const service_progress& service) {
  return service.suspects_leased < service.suspect_limit;
}

lease_order::lease_order(job_catalogue& catalogue,
                         std::span<const service_id> services,
                         wall_milliseconds now)
    : catalogue_(catalogue) {
  for (const job_number number : catalogue.running) {
    job_record& job = catalogue.jobs.at(number);
    if (std::ranges::find(services, job.service) == services.end() ||
        !IsLeasable(job)) {
      continue;
    }
    const int64_t time_left = job.deadline - now;
    const int64_t laxity =
        time_left - ExpectedMilliseconds(catalogue.services.at(job.service),
                                         job.Remaining());
    const bool is_urgent = time_left > 0 &&
                           laxity < kUrgentLaxityMilliseconds &&
                           !IsHopeless(laxity, time_left);
    const candidate chosen{&job, laxity, is_urgent};
    by_account_[job.account].push_back(chosen);
    if (is_urgent) {
      urgent_.push_back(chosen);
    }
  }
  std::ranges::stable_sort(urgent_, {}, &candidate::laxity);
  for (auto& [account, candidates] : by_account_) {
    std::ranges::stable_sort(candidates, {}, &candidate::laxity);
  }
}

bool lease_order::IsLeasable(const job_record& job) const {
  if (job.WaitingRegular() > 0) {
    return true;
  }
  return job.waiting_suspects > 0 &&
         HasSuspectRoom(catalogue_.services.at(job.service));
}

job_record* lease_order::Next() {
  if (catalogue_.leased_in_total % kShareDenominator != 0) {
    job_record* const job = NextUrgent();
    if (job != nullptr) {
      return job;
    }
  }
  return NextByShare();
}

job_record* lease_order::NextUrgent() {
  return NextOf(urgent_, false);
}

// Candidates that ran out are dropped on the way.
job_record* lease_order::NextOf(candidate_list& candidates, bool prefer_short) {
  std::erase_if(candidates, [this](const candidate& each) {
    return !IsLeasable(*each.job);
  });
  if (candidates.empty()) {
    return nullptr;
  }
  if (!prefer_short) {
    return candidates.front().job;
  }
  return std::ranges::min_element(
             candidates, {},
             [](const candidate& each) { return each.job->Remaining(); })
      ->job;
}

job_record* lease_order::NextByShare() {
  while (!by_account_.empty()) {
    const auto least =
        std::ranges::min_element(by_account_, {}, [this](const auto& each) {
          return catalogue_.accounts.at(each.first).served;
        });
    // Independent of the turn that the urgent jobs take.
    const uint64_t turn = catalogue_.leased_in_total / kShareDenominator;
    const bool prefer_short = turn % kShareDenominator == 0;
    job_record* const job = NextOf(least->second, prefer_short);
    if (job != nullptr) {
      return job;
    }
    by_account_.erase(least);
  }
  return nullptr;
}

}  // namespace shallotport
