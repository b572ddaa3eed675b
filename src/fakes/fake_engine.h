#ifndef SHALLOTPORT_FAKES_FAKE_ENGINE_H_
#define SHALLOTPORT_FAKES_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "membership/endpoint_record.h"

namespace shallotport {

// How fast a fake engine is.
struct fake_engine_options {
  uint32_t slots = 8;
  duration first_token_time{20'000};
  duration token_time{5'000};
  // Share by which each further running call lengthens both times.
  double occupancy_slope = 0.05;
  uint32_t cached_prefixes = 32;
  size_t prefix_length = 64;  // Characters of the prompt that form the prefix.
  double cache_hit_factor = 0.25;  // Of the time to the first token.
  duration report_lag{200'000};
  uint32_t cache_event_gap = 7;  // Every n-th cache event is lost; 0: none.
};

struct fake_engine_call {
  std::string attempt;
  std::string prompt;
  uint32_t token_count = 16;
  uint32_t first_token = 0;  // Above zero for a resumed stream.
};

struct fake_engine_event {
  enum class event_kind : uint8_t { kToken, kFinished, kCancelled };
  event_kind kind = event_kind::kToken;
  std::string attempt;
  uint32_t token_index = 0;
  steady_time at;
};

// A change of the prefix cache. Sequence numbers rise; some are missing.
struct fake_cache_event {
  uint64_t sequence = 0;
  uint64_t prefix_hash = 0;
  bool is_stored = true;  // False: evicted.
};

// The text of one token: a function of prompt and index only, so that a
// repeated or resumed call gives the same answer.
std::string FakeTokenText(std::string_view prompt, uint32_t index);

// The whole answer to a prompt.
std::string FakeAnswer(std::string_view prompt, uint32_t token_count);

// A model engine in virtual time: continuous batching over a number of slots,
// admission in order of arrival, a limited prefix cache, and times that grow
// with the number of running calls. Pure; the fake endpoint's HTTP server and
// virtual-time experiments drive it.
class fake_engine {
 public:
  explicit fake_engine(const fake_engine_options& options);

  // False when a call with this attempt is already running or queued.
  bool Submit(steady_time now, fake_engine_call call);

  // False when the attempt is neither running nor queued.
  bool Cancel(steady_time now, std::string_view attempt);

  // When Advance() has something to do next; nothing while idle.
  std::optional<steady_time> NextEvent() const;

  // Everything that happened up to `now`, in order of time.
  std::vector<fake_engine_event> Advance(steady_time now);

  // The load as it was `report_lag` ago, with a rising sequence number.
  load_report Report(steady_time now);

  // The cache events since the last call.
  std::vector<fake_cache_event> TakeCacheEvents();

  size_t running() const { return running_.size(); }
  size_t queued() const { return queue_.size(); }
  uint64_t cache_hits() const { return cache_hits_; }
  uint64_t cache_misses() const { return cache_misses_; }

 private:
  struct running_call {
    fake_engine_call call;
    uint32_t next_token = 0;
    steady_time next_at;
  };
  struct load_sample {
    steady_time at;
    uint32_t running = 0;
    uint32_t queued = 0;
  };

  void AdmitQueued(steady_time now);
  void SampleLoad(steady_time now);
  bool LookUpPrefix(std::string_view prompt);
  void AddCacheEvent(uint64_t prefix_hash, bool is_stored);
  duration Stretched(duration base, size_t other_calls) const;
  std::map<std::string, running_call>::iterator FirstDue();

  fake_engine_options options_;
  std::map<std::string, running_call> running_;
  std::deque<fake_engine_call> queue_;
  std::vector<fake_engine_event> pending_events_;
  std::list<uint64_t> cache_;  // Most recently used first.
  std::vector<fake_cache_event> cache_events_;
  std::deque<load_sample> samples_;
  uint64_t cache_event_sequence_ = 0;
  uint64_t report_sequence_ = 0;
  uint64_t cache_hits_ = 0;
  uint64_t cache_misses_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_ENGINE_H_
