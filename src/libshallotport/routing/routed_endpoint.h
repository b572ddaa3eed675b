#ifndef SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_
#define SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_

#include <cstdint>

#include "base/clock.h"
#include "membership/endpoint_record.h"
#include "routing/circuit_breaker.h"

namespace shallotport {

// What the router knows about one incarnation of an endpoint: its record, the
// load corrected for the lag of its reports, and its merit so far. A new
// incarnation starts with a new object.
class routed_endpoint {
 public:
  // How long a new incarnation takes to its full share of the work.
  static constexpr duration kSlowStartDuration{10'000'000};
  static constexpr double kSlowStartWeight = 0.1;
  // After this time without a report the load of other hosts counts as unknown
  // and is taken to be half of what was last known, and so on.
  static constexpr duration kReportHalfLife{2'000'000};

  routed_endpoint(steady_time now, endpoint_record record, uint64_t hash);

  // Takes a newer record of the same incarnation. A lower sequence changes no
  // load, and leaving is never undone.
  void Update(steady_time now, const endpoint_record& record);

  // Requests in the endpoint that other hosts sent: an average over the last
  // reports.
  double PeerLoadAt(steady_time now) const;
  // The same from the last report alone: sooner and noisier.
  double RecentPeerLoadAt(steady_time now) const;
  double WeightAt(steady_time now) const;
  double slots() const;

  // `order` rises with each attempt that the router sends.
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
  // What is left of what was known when the last report came.
  double ReportRelevanceAt(steady_time now) const;
  void ApplyReport(steady_time now, const load_report& report);

  endpoint_record record_;
  uint64_t hash_;
  steady_time first_seen_at_;
  steady_time reported_at_;
  double peer_load_ = 0;  // Load that does not come from this host, smoothed.
  double recent_peer_load_ = 0;
  uint32_t own_load_ = 0;
  uint64_t last_chosen_ = 0;
  circuit_breaker breaker_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ROUTED_ENDPOINT_H_
