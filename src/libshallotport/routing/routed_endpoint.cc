#include "routing/routed_endpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotport {

namespace {

// Weight of a new report in the smoothed peer load. A report is older than most
// requests at the endpoint, so a single one says little about the current load.
constexpr double kReportSmoothing = 0.05;

}  // namespace

routed_endpoint::routed_endpoint(steady_time now,
                                 endpoint_record record,
                                 uint64_t hash)
    : record_(std::move(record)),
      hash_(hash),
      first_seen_at_(now),
      reported_at_(now),
      peer_load_(record_.load.running + record_.load.queued),
      recent_peer_load_(peer_load_) {}

void routed_endpoint::Update(steady_time now, const endpoint_record& record) {
  const load_report last = record_.load;
  const bool was_leaving = record_.is_leaving;
  const bool is_newer = record.load.sequence > last.sequence;
  if (is_newer) {
    record_ = record;
    ApplyReport(now, record.load);
  }
  record_.is_leaving = was_leaving || record.is_leaving;
}

void routed_endpoint::ApplyReport(steady_time now, const load_report& report) {
  const double total = report.running + report.queued;
  const double peer_load = total - own_load_;
  recent_peer_load_ = peer_load;
  peer_load_ =
      (1 - kReportSmoothing) * peer_load_ + kReportSmoothing * peer_load;
  reported_at_ = now;
}

double routed_endpoint::ReportRelevanceAt(steady_time now) const {
  const duration age = now - reported_at_;
  if (age <= kReportHalfLife) {
    return 1;
  }
  return std::exp2(-static_cast<double>((age - kReportHalfLife).count()) /
                   static_cast<double>(kReportHalfLife.count()));
}

double routed_endpoint::PeerLoadAt(steady_time now) const {
  return std::max(0.0, peer_load_) * ReportRelevanceAt(now);
}

double routed_endpoint::RecentPeerLoadAt(steady_time now) const {
  return recent_peer_load_ * ReportRelevanceAt(now);
}

double routed_endpoint::WeightAt(steady_time now) const {
  const duration age = now - first_seen_at_;
  if (age >= kSlowStartDuration) {
    return 1;
  }
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(kSlowStartDuration.count());
  return kSlowStartWeight + (1 - kSlowStartWeight) * share;
}

double routed_endpoint::slots() const {
  return std::max<uint32_t>(record_.load.slots, 1);
}

}  // namespace shallotport
