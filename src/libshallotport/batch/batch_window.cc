#include "batch/batch_window.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace shallotport {

// A named policy that limits the batch work at an endpoint.
struct window_strategy {
  std::string_view name;
  uint32_t (batch_window::*start_limit)(steady_time now);
  uint32_t (batch_window::*keep_limit)(steady_time now);
};

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kMaxSourceAge = seconds(2);
constexpr duration kMaxReportAge = seconds(3);
constexpr duration kPeakHalfLife = seconds(1);
constexpr duration kAverageHalfLife = seconds(4);
// A burst ends this long after the last arrival above the usual demand.
constexpr duration kBurstDuration = milliseconds(300);
constexpr duration kStartHold = milliseconds(100);
// A burst is this many standard deviations above the average. Independent
// arrivals follow a Poisson distribution, whose standard deviation is the root
// of its mean.
constexpr double kBurstDeviations = 3;
constexpr double kMinBurstRequests = 2;
constexpr duration kAdjustInterval = milliseconds(100);
constexpr double kDecreaseFactor = 0.7;
// A request is late if its first byte takes more than this many times the
// typical time.
constexpr double kLateFactor = 2.0;
constexpr uint32_t kMinSamples = 5;
constexpr uint32_t kMaxLatePercent = 20;
// The typical time falls faster than it rises, since it represents an endpoint
// with free slots.
constexpr double kTypicalFallWeight = 0.05;
constexpr double kTypicalRiseWeight = 0.01;

uint32_t SubtractOrZero(uint32_t from, uint32_t part) {
  return from > part ? from - part : 0;
}

}  // namespace

batch_window::batch_window(const window_settings& settings,
                           const window_strategy& strategy)
    : settings_(settings), strategy_(&strategy) {}

result<batch_window> batch_window::Create(const window_settings& settings) {
  static constexpr std::array<window_strategy, 3> kStrategies = {{
      {"guarded", &batch_window::GuardedStartLimit,
       &batch_window::GuardedKeepLimit},
      {"greedy", &batch_window::GreedyLimit, &batch_window::GreedyLimit},
      {"fixed_share", &batch_window::FixedShareLimit,
       &batch_window::FixedShareLimit},
  }};
  for (const window_strategy& strategy : kStrategies) {
    if (strategy.name == settings.strategy) {
      return batch_window(settings, strategy);
    }
  }
  return MakeError(error_kind::kInvalidRequest,
                   "unknown batch strategy " + settings.strategy);
}

uint32_t batch_window::KnownOnline() const {
  uint32_t known = 0;
  for (const auto& [host, source] : sources_) {
    known += source.count.in_flight;
  }
  return known;
}

uint32_t batch_window::Demand() const {
  return KnownOnline() + unattributed_;
}

// Without a slot that it may use, batch work would never begin.
uint32_t batch_window::ReservedSlots() const {
  return std::min(settings_.reserve_slots, SubtractOrZero(slots_, 1));
}

uint32_t batch_window::OnlineDemand(steady_time now) {
  Advance(now);
  return Demand();
}

// Removes expired counts and adjusts the limit at the end of each interval.
void batch_window::Advance(steady_time now) {
  std::erase_if(sources_, [&](const auto& each) {
    return each.second.received_at + kMaxSourceAge <= now;
  });
  if (report_received_at_ + kMaxReportAge <= now) {
    unattributed_ = 0;
  }
  if (next_adjustment_at_ <= now) {
    AdjustLimit(now);
    next_adjustment_at_ = now + kAdjustInterval;
  }
}

void batch_window::OnReport(steady_time now, const load_report& report) {
  slots_ = std::max(report.slots, 1U);
  const uint32_t inside = report.running + report.queued;
  unattributed_ = SubtractOrZero(inside, max_outstanding_ + max_online_);
  report_received_at_ = now;
  max_outstanding_ = outstanding_;
  max_online_ = KnownOnline();
  UpdateDemandStatistics(now);
}

void batch_window::OnOnline(steady_time now,
                            const host_id& source,
                            incarnation source_incarnation,
                            const online_count& count) {
  Advance(now);
  const uint32_t before = Demand();
  source_count& known = sources_[source];
  const bool is_stale = source_incarnation < known.source_incarnation ||
                        (source_incarnation == known.source_incarnation &&
                         count.sequence < known.count.sequence);
  if (is_stale) {
    return;
  }
  known = {source_incarnation, count, now};
  max_online_ = std::max(max_online_, KnownOnline());
  UpdateDemandStatistics(now);
  DetectBurst(now, before);
}

void batch_window::UpdateDemandStatistics(steady_time now) {
  const double demand = Demand();
  const double elapsed =
      std::chrono::duration<double>(now - demand_updated_at_).count();
  const auto kept = [elapsed](duration half_life) {
    return std::exp2(-elapsed /
                     std::chrono::duration<double>(half_life).count());
  };
  peak_demand_ =
      demand + std::max(0.0, peak_demand_ - demand) * kept(kPeakHalfLife);
  average_demand_ =
      demand + (average_demand_ - demand) * kept(kAverageHalfLife);
  demand_updated_at_ = now;
}

// Demand well above the average is a burst. Demand that only takes reserved
// slots delays new batch streams.
void batch_window::DetectBurst(steady_time now, uint32_t demand_before) {
  const uint32_t demand = Demand();
  if (demand <= demand_before) {
    return;
  }
  const double margin = std::max(kMinBurstRequests,
                                 kBurstDeviations * std::sqrt(average_demand_));
  const bool is_unusual = demand > average_demand_ + margin;
  const bool has_free_slots = demand + outstanding_ + ReservedSlots() <= slots_;
  if (is_unusual) {
    bursts_ += now >= burst_until_ ? 1 : 0;
    burst_until_ = now + kBurstDuration;
  }
  if (!has_free_slots) {
    start_hold_until_ = now + kStartHold;
  }
}

void batch_window::OnOnlineLatency(steady_time now, duration first_byte) {
  Advance(now);
  const double sample = static_cast<double>(first_byte.count());
  if (typical_first_byte_us_ == 0) {
    typical_first_byte_us_ = sample;
  }
  ++latency_samples_;
  if (sample > kLateFactor * typical_first_byte_us_) {
    ++late_samples_;
  }
  typical_first_byte_us_ *= sample < typical_first_byte_us_
                                ? 1 - kTypicalFallWeight
                                : 1 + kTypicalRiseWeight;
}

void batch_window::AdjustLimit(steady_time now) {
  const double max_limit = std::max(slots_, 1U);
  if (latency_samples_ >= kMinSamples) {
    if (late_samples_ * 100 > latency_samples_ * kMaxLatePercent) {
      limit_ = std::max(1.0, limit_ * kDecreaseFactor);
      safe_limit_ = limit_;
      ++decreases_;
    } else {
      limit_ += 1;
    }
    latency_samples_ = 0;
    late_samples_ = 0;
  } else if (Demand() == 0 || limit_ < safe_limit_) {
    // No online requests to slow down, or below a limit that slowed none.
    limit_ *= 2;
  }
  if (Demand() == 0) {
    latency_samples_ = 0;
    late_samples_ = 0;
  }
  limit_ = std::min(limit_, max_limit);
  safe_limit_ = std::min(std::max(safe_limit_, limit_), max_limit);
  UpdateDemandStatistics(now);
}

void batch_window::SetOutstanding(steady_time now, uint32_t outstanding) {
  Advance(now);
  outstanding_ = outstanding;
  max_outstanding_ = std::max(max_outstanding_, outstanding);
}

uint32_t batch_window::StartLimit(steady_time now) {
  Advance(now);
  if (slots_ == 0) {
    return 0;
  }
  return (this->*strategy_->start_limit)(now);
}

uint32_t batch_window::KeepLimit(steady_time now) {
  Advance(now);
  return (this->*strategy_->keep_limit)(now);
}

steady_time batch_window::NextChange(steady_time now) const {
  return std::max(now + milliseconds(1),
                  std::min(next_adjustment_at_, now + kAdjustInterval));
}

// Keeps slots free for the online demand to rise to its recent peak again.
uint32_t batch_window::GuardedStartLimit(steady_time now) {
  if (now < burst_until_) {
    return 0;
  }
  if (now < start_hold_until_) {
    return std::min(outstanding_, GuardedKeepLimit(now));
  }
  const uint32_t online = Demand() + ReservedSlots();
  const uint32_t peak = static_cast<uint32_t>(std::ceil(peak_demand_ - 0.25));
  const uint32_t available = SubtractOrZero(slots_, std::max(online, peak));
  return std::min(available, static_cast<uint32_t>(limit_));
}

// Online requests may take the slots that are kept free for the peak, so the
// peak does not count here. In a burst batch work falls below the reserve, so
// that the engine is as fast as without batch work.
uint32_t batch_window::GuardedKeepLimit(steady_time now) {
  const uint32_t available = SubtractOrZero(slots_, Demand() + ReservedSlots());
  return now < burst_until_
             ? std::min(available, SubtractOrZero(ReservedSlots(), 1))
             : available;
}

uint32_t batch_window::GreedyLimit(steady_time) {
  return slots_;
}

uint32_t batch_window::FixedShareLimit(steady_time) {
  return std::max(1U, slots_ * settings_.share_percent / 100);
}

void batch_window::WriteState(nlohmann::json& out) const {
  out = {{"strategy", settings_.strategy},
         {"slots", slots_},
         {"outstanding", outstanding_},
         {"online", Demand()},
         {"unexplained", unattributed_},
         {"peak", peak_demand_},
         {"average", average_demand_},
         {"limit", limit_},
         {"typical_first_byte_us", typical_first_byte_us_}};
  out["counters"] = {{"batch_bursts", bursts_},
                     {"batch_limit_decreases", decreases_}};
}

}  // namespace shallotport
