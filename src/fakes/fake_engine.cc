#include "fakes/fake_engine.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/digest.h"

namespace shallotport {

using event_kind = fake_engine_event::event_kind;

std::string FakeTokenText(std::string_view prompt, uint32_t index) {
  char text[16];
  std::snprintf(
      text, sizeof(text), " %06llx",
      static_cast<unsigned long long>(HashOf(prompt, index + 1) & 0xFFFFFF));
  return text;
}

std::string FakeAnswer(std::string_view prompt, uint32_t token_count) {
  std::string answer;
  for (uint32_t i = 0; i < token_count; ++i) {
    answer += FakeTokenText(prompt, i);
  }
  return answer;
}

fake_engine::fake_engine(const fake_engine_options& options)
    : options_(options) {}

bool fake_engine::Submit(steady_time now, fake_engine_call call) {
  const auto is_same = [&call](const fake_engine_call& other) {
    return other.attempt == call.attempt;
  };
  if (running_.contains(call.attempt) ||
      std::any_of(queue_.begin(), queue_.end(), is_same)) {
    return false;
  }
  queue_.push_back(std::move(call));
  AdmitQueued(now);
  SampleLoad(now);
  return true;
}

bool fake_engine::Cancel(steady_time now, std::string_view attempt) {
  const std::string key(attempt);
  const auto queued = std::find_if(
      queue_.begin(), queue_.end(),
      [&key](const fake_engine_call& call) { return call.attempt == key; });
  if (queued != queue_.end()) {
    queue_.erase(queued);
  } else if (running_.erase(key) == 0) {
    return false;
  }
  pending_events_.push_back({event_kind::kCancelled, key, 0, now});
  AdmitQueued(now);
  SampleLoad(now);
  return true;
}

std::optional<steady_time> fake_engine::NextEvent() const {
  if (!pending_events_.empty()) {
    return pending_events_.front().at;
  }
  std::optional<steady_time> next;
  for (const auto& [attempt, call] : running_) {
    if (!next || call.next_at < *next) {
      next = call.next_at;
    }
  }
  return next;
}

std::vector<fake_engine_event> fake_engine::Advance(steady_time now) {
  std::vector<fake_engine_event> events = std::exchange(pending_events_, {});
  while (true) {
    const auto due = FirstDue();
    if (due == running_.end() || due->second.next_at > now) {
      return events;
    }
    running_call& running = due->second;
    const steady_time at = running.next_at;
    if (running.next_token < running.call.token_count) {
      events.push_back(
          {event_kind::kToken, due->first, running.next_token, at});
      ++running.next_token;
    }
    if (running.next_token < running.call.token_count) {
      running.next_at =
          at + Stretched(options_.token_time, running_.size() - 1);
      continue;
    }
    events.push_back({event_kind::kFinished, due->first, 0, at});
    running_.erase(due);
    AdmitQueued(at);
    SampleLoad(at);
  }
}

load_report fake_engine::Report(steady_time now) {
  while (samples_.size() > 1 && samples_[1].at + options_.report_lag <= now) {
    samples_.pop_front();
  }
  load_report report;
  report.sequence = ++report_sequence_;
  report.slots = options_.slots;
  if (!samples_.empty() && samples_.front().at + options_.report_lag <= now) {
    report.running = samples_.front().running;
    report.queued = samples_.front().queued;
  }
  return report;
}

std::vector<fake_cache_event> fake_engine::TakeCacheEvents() {
  return std::exchange(cache_events_, {});
}

void fake_engine::AdmitQueued(steady_time now) {
  while (!queue_.empty() && running_.size() < options_.slots) {
    running_call admitted;
    admitted.call = std::move(queue_.front());
    queue_.pop_front();
    admitted.next_token = admitted.call.first_token;
    const bool hit = LookUpPrefix(admitted.call.prompt);
    const auto prefill = std::chrono::duration_cast<duration>(
        options_.first_token_time * (hit ? options_.cache_hit_factor : 1.0));
    admitted.next_at = now + Stretched(prefill, running_.size());
    std::string attempt = admitted.call.attempt;
    running_.emplace(std::move(attempt), std::move(admitted));
  }
}

void fake_engine::SampleLoad(steady_time now) {
  samples_.push_back({now, static_cast<uint32_t>(running_.size()),
                      static_cast<uint32_t>(queue_.size())});
  while (samples_.size() > 1 && samples_[1].at + options_.report_lag <= now) {
    samples_.pop_front();
  }
}

bool fake_engine::LookUpPrefix(std::string_view prompt) {
  const uint64_t hash = HashOf(prompt.substr(0, options_.prefix_length));
  const auto found = std::find(cache_.begin(), cache_.end(), hash);
  if (found != cache_.end()) {
    cache_.splice(cache_.begin(), cache_, found);
    ++cache_hits_;
    return true;
  }
  ++cache_misses_;
  if (options_.cached_prefixes == 0) {
    return false;
  }
  if (cache_.size() >= options_.cached_prefixes) {
    AddCacheEvent(cache_.back(), false);
    cache_.pop_back();
  }
  cache_.push_front(hash);
  AddCacheEvent(hash, true);
  return false;
}

void fake_engine::AddCacheEvent(uint64_t prefix_hash, bool is_stored) {
  constexpr size_t kMaxPendingEvents = 256;
  ++cache_event_sequence_;
  const bool is_lost = options_.cache_event_gap != 0 &&
                       cache_event_sequence_ % options_.cache_event_gap == 0;
  if (!is_lost && cache_events_.size() < kMaxPendingEvents) {
    cache_events_.push_back({cache_event_sequence_, prefix_hash, is_stored});
  }
}

duration fake_engine::Stretched(duration base, size_t other_calls) const {
  const double factor =
      1.0 + options_.occupancy_slope * static_cast<double>(other_calls);
  return std::chrono::duration_cast<duration>(base * factor);
}

std::map<std::string, fake_engine::running_call>::iterator
fake_engine::FirstDue() {
  return std::min_element(running_.begin(), running_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.next_at < b.second.next_at;
                          });
}

}  // namespace shallotport
