#ifndef SHALLOTPORT_BATCH_BATCH_WINDOW_H_
#define SHALLOTPORT_BATCH_BATCH_WINDOW_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "membership/endpoint_record.h"

namespace shallotport {

struct window_strategy;

struct window_settings {
  std::string strategy = "guarded";  // Or "greedy", "fixed_share".
  // Kept free of batch at all times; at most all slots but one.
  uint32_t reserve_slots = 1;
  uint32_t share_percent = 50;  // Of the slots, for fixed_share.
};

// Number of online requests that one host has in flight at one endpoint. It is
// absolute instead of a difference, so that the next message corrects a lost
// one.
struct online_count {
  // Increases within one incarnation of a source; stale counts are ignored.
  uint64_t sequence = 0;
  uint32_t in_flight = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, in_flight);
  }
};

// Limits the number of batch streams at one endpoint. The engine admits
// requests first in, first out and has no priorities, so the only way to keep
// the latency of online requests low is to limit the batch work inside it.
// Owned by a batch_sender and used on its thread.
class batch_window {
 public:
  // Fails with kInvalidRequest for an unknown strategy.
  static result<batch_window> Create(const window_settings& settings);

  // The endpoint's load report, which lags. Work in it that is neither own
  // batch work nor in an online count counts as online.
  void OnReport(steady_time now, const load_report& report);

  // In-flight online requests of this host or, by yield notice, of another one.
  void OnOnline(steady_time now,
                const host_id& source,
                incarnation source_incarnation,
                const online_count& count);

  // Time to the first byte of an online request at the endpoint.
  void OnOnlineLatency(steady_time now, duration first_byte);

  // Number of batch streams at the endpoint now.
  void SetOutstanding(steady_time now, uint32_t outstanding);

  // New streams may be started up to this total.
  uint32_t StartLimit(steady_time now);

  // Streams above this total must be cancelled, the youngest first.
  uint32_t KeepLimit(steady_time now);

  // When a limit may rise without any input.
  steady_time NextChange(steady_time now) const;

  // Estimated number of online requests at the endpoint.
  uint32_t OnlineDemand(steady_time now);

  uint32_t slots() const { return slots_; }
  void WriteState(nlohmann::json& out) const;

 private:
  friend struct window_strategy;

  struct source_count {
    incarnation source_incarnation = 0;
    online_count count;
    steady_time received_at;
  };

  batch_window(const window_settings& settings,
               const window_strategy& strategy);

  uint32_t GuardedStartLimit(steady_time now);
  uint32_t GuardedKeepLimit(steady_time now);
  uint32_t GreedyLimit(steady_time now);
  uint32_t FixedShareLimit(steady_time now);

  void Advance(steady_time now);
  void UpdateDemandStatistics(steady_time now);
  void DetectBurst(steady_time now, uint32_t demand_before);
  void AdjustLimit(steady_time now);
  uint32_t KnownOnline() const;
  uint32_t Demand() const;
  uint32_t ReservedSlots() const;

  window_settings settings_;
  const window_strategy* strategy_;
  uint32_t slots_ = 0;
  std::map<host_id, source_count> sources_;
  // Work in the last report that is neither own batch work nor counted online.
  uint32_t unattributed_ = 0;
  steady_time report_received_at_;
  uint32_t outstanding_ = 0;
  uint32_t max_outstanding_ = 0;  // Since the last report.
  uint32_t max_online_ = 0;

  // Decaying peak and moving average of the online demand.
  double peak_demand_ = 0;
  double average_demand_ = 0;
  steady_time demand_updated_at_;
  steady_time burst_until_;
  steady_time start_hold_until_;

  // Additive increase, multiplicative decrease, driven by the share of late
  // online requests.
  double limit_ = 1;
  double safe_limit_ = 1;  // Below this value the limit doubles.
  // Approximate median time to the first byte while slots are free.
  double typical_first_byte_us_ = 0;
  uint32_t latency_samples_ = 0;
  uint32_t late_samples_ = 0;
  steady_time next_adjustment_at_;

  uint64_t bursts_ = 0;
  uint64_t decreases_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_BATCH_WINDOW_H_
