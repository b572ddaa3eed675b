#include "batch/batch_window.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace shallotport {

// A named way to limit the batch work at an endpoint.
struct window_strategy {
  std::string_view name;
  uint32_t (batch_window::*start_limit)(steady_time now);
  uint32_t (batch_window::*keep_limit)(steady_time now);
};

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kSourceAge = seconds(2);
constexpr duration kReportAge = seconds(3);
constexpr duration kPeakHalfLife = seconds(1);
constexpr duration kAverageHalfLife = seconds(4);
// A burst lasts so long after the last arrival above the usual demand.
constexpr duration kBurstHold = milliseconds(300);
constexpr duration kStartHold = milliseconds(100);
// Standard deviations above the average that make a burst; requests that
// arrive independently of each other vary by the root of their mean.
constexpr double kBurstDeviations = 3;
constexpr double kMinBurst = 2;
constexpr duration kInterval = milliseconds(100);
constexpr double kDecrease = 0.7;
// A first byte that takes this many times the typical one is late.
constexpr double kLateFactor = 2.0;
constexpr uint32_t kMinSamples = 5;
constexpr uint32_t kMaxLatePercent = 20;
// The typical time falls faster than it rises: it stands for an endpoint with
// room.
constexpr double kTypicalFall = 0.05;
constexpr double kTypicalRise = 0.01;

uint32_t Less(uint32_t from, uint32_t part) {
  return from > part ? from - part : 0;
}

}  // namespace

batch_window::batch_window(const window_settings& settings,
                           const window_strategy& strategy)
    : settings_(settings), strategy_(&strategy) {}

result<batch_window> batch_window::Create(const window_settings& settings) {
  static constexpr std::array<window_strategy, 3> kStrategies = {{
      {"guarded", &batch_window::GuardedStart, &batch_window::GuardedKeep},
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
  return KnownOnline() + unexplained_;
}

uint32_t batch_window::OnlineDemand(steady_time now) {
  Advance(now);
  return Demand();
}

// Forgets what aged, and adjusts the limit at the end of each interval.
void batch_window::Advance(steady_time now) {
  std::erase_if(sources_, [&](const auto& each) {
    return each.second.heard + kSourceAge <= now;
  });
  if (report_heard_ + kReportAge <= now) {
    unexplained_ = 0;
  }
  if (interval_end_ <= now) {
    AdjustLimit(now);
    interval_end_ = now + kInterval;
  }
}

void batch_window::OnReport(steady_time now, const load_report& report) {
  slots_ = std::max(report.slots, 1U);
  const uint32_t inside = report.running + report.queued;
  unexplained_ = Less(inside, most_outstanding_ + most_online_);
  report_heard_ = now;
  most_outstanding_ = outstanding_;
  most_online_ = KnownOnline();
  FollowDemand(now);
}

void batch_window::OnOnline(steady_time now,
                            const host_id& source,
                            incarnation source_incarnation,
                            const online_count& count) {
  Advance(now);
  const uint32_t before = Demand();
  source_count& known = sources_[source];
  const bool is_older = source_incarnation < known.source_incarnation ||
                        (source_incarnation == known.source_incarnation &&
                         count.sequence < known.count.sequence);
  if (is_older) {
    return;
  }
  known = {source_incarnation, count, now};
  most_online_ = std::max(most_online_, KnownOnline());
  FollowDemand(now);
  NoticeBurst(now, before);
}

void batch_window::FollowDemand(steady_time now) {
  const double demand = Demand();
  const double elapsed =
      std::chrono::duration<double>(now - peak_time_).count();
  const auto kept = [elapsed](duration half_life) {
    return std::exp2(-elapsed /
                     std::chrono::duration<double>(half_life).count());
  };
  peak_ = demand + std::max(0.0, peak_ - demand) * kept(kPeakHalfLife);
  average_ = demand + (average_ - demand) * kept(kAverageHalfLife);
  peak_time_ = now;
}

// A demand well above the usual one is a burst; one that used the reserve only
// delays new batch work.
void batch_window::NoticeBurst(steady_time now, uint32_t demand_before) {
  const uint32_t demand = Demand();
  if (demand <= demand_before) {
    return;
  }
  const double margin =
      std::max(kMinBurst, kBurstDeviations * std::sqrt(average_));
  const bool is_unusual = demand > average_ + margin;
  const bool has_room =
      demand + outstanding_ + settings_.reserve_slots <= slots_;
  if (is_unusual) {
    bursts_ += now >= burst_until_ ? 1 : 0;
    burst_until_ = now + kBurstHold;
  }
  if (!has_room) {
    hold_until_ = now + kStartHold;
  }
}

void batch_window::OnOnlineLatency(steady_time now, duration first_byte) {
  Advance(now);
  const double sample = static_cast<double>(first_byte.count());
  if (typical_us_ == 0) {
    typical_us_ = sample;
  }
  ++samples_;
  if (sample > kLateFactor * typical_us_) {
    ++late_samples_;
  }
  typical_us_ *= sample < typical_us_ ? 1 - kTypicalFall : 1 + kTypicalRise;
}

void batch_window::AdjustLimit(steady_time now) {
  const double most = std::max(slots_, 1U);
  if (samples_ >= kMinSamples) {
    if (late_samples_ * 100 > samples_ * kMaxLatePercent) {
      limit_ = std::max(1.0, limit_ * kDecrease);
      safe_limit_ = limit_;
      ++decreases_;
    } else {
      limit_ += 1;
    }
    samples_ = 0;
    late_samples_ = 0;
  } else if (Demand() == 0 || limit_ < safe_limit_) {
    // Nobody online to be harmed, or still below what did no harm.
    limit_ *= 2;
  }
  if (Demand() == 0) {
    samples_ = 0;
    late_samples_ = 0;
  }
  limit_ = std::min(limit_, most);
  safe_limit_ = std::min(std::max(safe_limit_, limit_), most);
  FollowDemand(now);
}

void batch_window::SetOutstanding(steady_time now, uint32_t outstanding) {
  Advance(now);
  outstanding_ = outstanding;
  most_outstanding_ = std::max(most_outstanding_, outstanding);
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
                  std::min(interval_end_, now + kInterval));
}

// Leaves room for the online demand to rise to its recent peak again.
uint32_t batch_window::GuardedStart(steady_time now) {
  if (now < burst_until_) {
    return 0;
  }
  if (now < hold_until_) {
    return std::min(outstanding_, GuardedKeep(now));
  }
  const uint32_t online = Demand() + settings_.reserve_slots;
  const uint32_t peak = static_cast<uint32_t>(std::ceil(peak_ - 0.25));
  const uint32_t room = Less(slots_, std::max(online, peak));
  return std::min(room, static_cast<uint32_t>(limit_));
}

// The room for the peak is there to be used. In a burst batch work falls below
// the reserve, so that the engine is as fast as without it.
uint32_t batch_window::GuardedKeep(steady_time now) {
  const uint32_t room = Less(slots_, Demand() + settings_.reserve_slots);
  return now < burst_until_ ? std::min(room, Less(settings_.reserve_slots, 1))
                            : room;
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
         {"unexplained", unexplained_},
         {"peak", peak_},
         {"average", average_},
         {"limit", limit_},
         {"typical_first_byte_us", typical_us_}};
  out["counters"] = {{"batch_bursts", bursts_},
                     {"batch_limit_decreases", decreases_}};
}

}  // namespace shallotport
