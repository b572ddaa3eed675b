#include "routing/routed_endpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotport {

namespace {

// Share of a new report in the smoothed load of other hosts. Reports are older
// than most requests in the endpoint, so a single one says little about now.
constexpr double kReportWeight = 0.05;

}  // namespace

routed_endpoint::routed_endpoint(steady_time now,
                                 endpoint_record record,
                                 uint64_t hash)
    : record_(std::move(record)),
      hash_(hash),
      first_seen_(now),
      reported_at_(now),
      others_(record_.load.running + record_.load.queued),
      recent_others_(others_) {}

void routed_endpoint::Update(steady_time now, const endpoint_record& record) {
  const load_report last = record_.load;
  const bool was_leaving = record_.is_leaving;
  const bool is_newer = record.load.sequence > last.sequence;
  if (is_newer) {
    record_ = record;
    TakeReport(now, record.load);
  }
  record_.is_leaving = was_leaving || record.is_leaving;
}

void routed_endpoint::TakeReport(steady_time now, const load_report& report) {
  const double total = report.running + report.queued;
  const double others = total - own_outstanding_;
  recent_others_ = others;
  others_ = (1 - kReportWeight) * others_ + kReportWeight * others;
  reported_at_ = now;
}

double routed_endpoint::KnowledgeAt(steady_time now) const {
  const duration age = now - reported_at_;
  if (age <= kReportHalfLife) {
    return 1;
  }
  return std::exp2(-static_cast<double>((age - kReportHalfLife).count()) /
                   static_cast<double>(kReportHalfLife.count()));
}

double routed_endpoint::OthersAt(steady_time now) const {
  return std::max(0.0, others_) * KnowledgeAt(now);
}

double routed_endpoint::RecentOthersAt(steady_time now) const {
  return recent_others_ * KnowledgeAt(now);
}

double routed_endpoint::WeightAt(steady_time now) const {
  const duration age = now - first_seen_;
  if (age >= kSlowStart) {
    return 1;
  }
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(kSlowStart.count());
  return kSlowStartWeight + (1 - kSlowStartWeight) * share;
}

double routed_endpoint::slots() const {
  return std::max<uint32_t>(record_.load.slots, 1);
}

}  // namespace shallotport
