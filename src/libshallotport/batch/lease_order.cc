#include "batch/lease_order.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace shallotport {

namespace {

constexpr int64_t kUrgentLaxityMilliseconds = 10 * 60 * 1000;
// One of this many items is not reserved for urgent jobs, and of those one of
// this many comes from the account's job with the fewest remaining items.
constexpr uint64_t kShareDenominator = 4;

// A job that needs more than 1.25 times the time left is not preferred: it
// would delay other jobs and still miss its deadline.
bool IsHopeless(int64_t laxity, int64_t time_left) {
  return laxity < -(time_left / 4);
}

}  // namespace

bool IsBelowSuspectLimit(const service_progress& service) {
  return service.suspects_leased < service.suspect_limit;
}

lease_order::lease_order(job_catalogue& catalogue,
                         std::span<const service_id> services,
                         wall_milliseconds now)
    : catalogue_(catalogue) {
  std::map<std::string_view, size_t> positions;  // Of accounts in by_account_.
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
    const auto [position, is_new] =
        positions.emplace(job.account.text(), by_account_.size());
    if (is_new) {
      by_account_.push_back({&catalogue.accounts.at(job.account), {}, 0});
    }
    by_account_[position->second].candidates.push_back({&job, laxity});
    if (is_urgent) {
      urgent_.candidates.push_back({&job, laxity});
    }
  }
  std::ranges::stable_sort(urgent_.candidates, {}, &candidate::laxity);
  for (candidate_list& list : by_account_) {
    std::ranges::stable_sort(list.candidates, {}, &candidate::laxity);
  }
}

bool lease_order::IsLeasable(const job_record& job) const {
  if (job.WaitingRegular() > 0) {
    return true;
  }
  return job.waiting_suspects > 0 &&
         IsBelowSuspectLimit(catalogue_.services.at(job.service));
}

job_record* lease_order::Next() {
  if (catalogue_.leased_in_total % kShareDenominator != 0) {
    job_record* const job = LeastLaxity(urgent_);
    if (job != nullptr) {
      return job;
    }
  }
  return NextByAccount();
}

// The job with the least laxity of those that have items to lease.
job_record* lease_order::LeastLaxity(candidate_list& list) const {
  while (list.first < list.candidates.size() &&
         !IsLeasable(*list.candidates[list.first].job)) {
    ++list.first;
  }
  return list.first < list.candidates.size() ? list.candidates[list.first].job
                                             : nullptr;
}

job_record* lease_order::FewestRemaining(candidate_list& list) const {
  job_record* fewest = nullptr;
  for (size_t i = list.first; i < list.candidates.size(); ++i) {
    job_record* const job = list.candidates[i].job;
    const bool has_fewer =
        fewest == nullptr || job->Remaining() < fewest->Remaining();
    if (has_fewer && IsLeasable(*job)) {
      fewest = job;
    }
  }
  return fewest;
}

job_record* lease_order::NextByAccount() {
  // leased_in_total modulo kShareDenominator already decides about urgent jobs,
  // so this second choice uses the quotient.
  const uint64_t round = catalogue_.leased_in_total / kShareDenominator;
  const bool prefer_fewest = round % kShareDenominator == 0;
  while (!by_account_.empty()) {
    const auto least = std::ranges::min_element(
        by_account_, {},
        [](const candidate_list& list) { return list.usage->virtual_time; });
    job_record* const job =
        prefer_fewest ? FewestRemaining(*least) : LeastLaxity(*least);
    if (job != nullptr) {
      return job;
    }
    by_account_.erase(least);
  }
  return nullptr;
}

}  // namespace shallotport
