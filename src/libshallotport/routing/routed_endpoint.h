#ifndef SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_
#define SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_

#include <cstdint>

#include "base/clock.h"
#include "membership/endpoint_record.h"
#include "routing/circuit_breaker.h"

namespace shallotport {

// State that the request_router keeps about one incarnation of an endpoint: its
// record, its load corrected for the lag of the load reports, and its circuit
// breaker. A new incarnation gets a new object.
class routed_endpoint {
 public:
  // Time in which a new incarnation ramps up to its full share of the requests.
  static constexpr duration kSlowStartDuration{10'000'000};
  static constexpr double kSlowStartWeight = 0.1;
  // Without a report for this long, the peer load is uncertain and its estimate
  // is halved; it is halved again after each further period.
  static constexpr duration kReportHalfLife{2'000'000};

  routed_endpoint(steady_time now, endpoint_record record, uint64_t hash);

  // Applies a record of the same incarnation. A record without a higher
  // sequence changes nothing but `is_leaving`, which once set is never reset.
  void Update(steady_time now, const endpoint_record& record);

  // Peer load: requests of other hosts at the endpoint, running and queued,
  // smoothed over the last reports.
  double PeerLoadAt(steady_time now) const;
  // Peer load of the last report alone: more current and noisier.
  double RecentPeerLoadAt(steady_time now) const;
  // Weight in the endpoint choice: kSlowStartWeight at first, 1 after slow
  // start.
  double WeightAt(steady_time now) const;
  double slots() const;

  // `order` increases with each attempt that the router sends.
  void OnSent(uint64_t order) {
    ++own_load_;
    last_chosen_ = order;
  }
  void OnEnded() { --own_load_; }

  const endpoint_record& record() const { return record_; }
  uint64_t hash() const { return hash_; }
  uint32_t own_load() const { return own_load_; }
  uint64_t last_chosen() const { return last_chosen_; }

  circuit_breaker& breaker() { return breaker_; }
  const circuit_breaker& breaker() const { return breaker_; }

 private:
  // Relevance of the last report: from 1 when fresh down to 0 as it ages.
  double ReportRelevanceAt(steady_time now) const;
  void ApplyReport(steady_time now, const load_report& report);

  endpoint_record record_;
  uint64_t hash_;
  steady_time first_seen_at_;
  steady_time reported_at_;
  double peer_load_ = 0;  // Smoothed.
  double recent_peer_load_ = 0;
  uint32_t own_load_ = 0;
  uint64_t last_chosen_ = 0;
  circuit_breaker breaker_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_
