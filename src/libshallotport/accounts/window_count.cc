#include "accounts/window_count.h"

#include <algorithm>
#include <limits>

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kStep{100};
constexpr std::chrono::milliseconds kReportStep{500};
constexpr int64_t kStepsPerReport = kReportStep / kStep;

int64_t StepOf(steady_time at) {
  return at.time_since_epoch() / kStep;
}

}  // namespace

void window_count::Expire(steady_time now) {
  const int64_t oldest = StepOf(now - window_);
  while (!steps_.empty() && steps_.front().number < oldest) {
    sum_ -= steps_.front().events;
    steps_.pop_front();
  }
}

// The sum saturates: other hosts' messages may state any number.
void window_count::AddAt(int64_t number, uint32_t events) {
  events = std::min(events, std::numeric_limits<uint32_t>::max() - sum_);
  const auto at = std::lower_bound(
      steps_.begin(), steps_.end(), number,
      [](const step& each, int64_t value) { return each.number < value; });
  if (at != steps_.end() && at->number == number) {
    at->events += events;
  } else {
    steps_.insert(at, {number, events});
  }
  sum_ += events;
}

void window_count::Add(steady_time now, uint32_t events) {
  Expire(now);
  if (events > 0) {
    AddAt(StepOf(now), events);
  }
}

uint32_t window_count::Remove(steady_time now, uint32_t events) {
  Expire(now);
  uint32_t rest = events;
  for (auto each = steps_.rbegin(); each != steps_.rend() && rest > 0; ++each) {
    const uint32_t taken = std::min(rest, each->events);
    each->events -= taken;
    rest -= taken;
  }
  sum_ -= events - rest;
  return events - rest;
}

uint32_t window_count::Sum(steady_time now) {
  Expire(now);
  return sum_;
}

duration window_count::TimeUntil(steady_time now, uint32_t most) {
  Expire(now);
  uint32_t left = sum_;
  for (const step& each : steps_) {
    if (left <= most) {
      break;
    }
    left -= each.events;
    if (left <= most) {
      const steady_time ends_at =
          steady_time(
              std::chrono::duration_cast<duration>(kStep * (each.number + 1))) +
          window_;
      return std::max(ends_at - now, duration(0));
    }
  }
  return left <= most ? duration(0) : window_;
}

std::vector<uint32_t> window_count::CountsByAge(steady_time now) {
  Expire(now);
  std::vector<uint32_t> counts;
  const int64_t newest = StepOf(now);
  for (const step& each : steps_) {
    const auto index =
        static_cast<size_t>((newest - each.number) / kStepsPerReport);
    counts.resize(std::max(counts.size(), index + 1));
    counts[index] += each.events;
  }
  return counts;
}

void window_count::AddByAge(steady_time now, std::span<const uint32_t> counts) {
  Expire(now);
  const auto most = static_cast<size_t>(window_ / kReportStep) + 1;
  for (size_t i = 0; i < std::min(counts.size(), most); ++i) {
    if (counts[i] > 0) {
      AddAt(StepOf(now) - static_cast<int64_t>(i) * kStepsPerReport, counts[i]);
    }
  }
}

void window_count::AddCounts(const window_count& other) {
  for (const step& each : other.steps_) {
    if (each.events > 0) {
      AddAt(each.number, each.events);
    }
  }
}

void window_count::RemoveCounts(const window_count& other) {
  auto at = steps_.begin();
  for (const step& each : other.steps_) {
    while (at != steps_.end() && at->number < each.number) {
      ++at;
    }
    if (at != steps_.end() && at->number == each.number) {
      const uint32_t taken = std::min(at->events, each.events);
      at->events -= taken;
      sum_ -= taken;
    }
  }
}

}  // namespace shallotport
