#ifndef SHALLOTPORT_STREAMS_STREAM_ORIGINS_H_
#define SHALLOTPORT_STREAMS_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "streams/stream_messages.h"

namespace shallotport {

// Origins of the streams that began within a retention period, so that a caller
// who resumes one is sent to an endpoint of the same software version. Entry
// hosts keep one of their own streams, job stores one of the streams that entry
// hosts report. Bounded: beyond `max_count` the oldest is forgotten. Pure.
class stream_origins {
 public:
  struct options {
    duration retention = kStreamLifetime;
    // About 10 MB.
    size_t max_count = 100'000;
  };

  stream_origins() : stream_origins(options()) {}
  explicit stream_origins(options options) : options_(options) {}

  // Replaces what was known of the stream.
  void Record(steady_time now, uint64_t stream, const stream_origin& origin);
  // Null if the stream is not known.
  const stream_origin* Find(steady_time now, uint64_t stream) const;
  // All streams that are known.
  stream_report Report(steady_time now) const;

  size_t size() const { return entries_.size(); }

 private:
  struct entry {
    steady_time recorded_at{};
    uint64_t record = 0;                    // Number of the call of Record().
    const stream_origin* origin = nullptr;  // Key in `use_counts_`.
  };
  struct queued_record {
    uint64_t record = 0;
    uint64_t stream = 0;
  };

  bool IsExpired(steady_time now, const entry& each) const;
  void Forget(uint64_t stream);
  void Release(const stream_origin& origin);
  void Expire(steady_time now);

  options options_;
  uint64_t record_count_ = 0;
  std::unordered_map<uint64_t, entry> entries_;
  std::deque<queued_record> records_;  // In the order of their recording.
  // Streams of each origin: few origins are shared by many streams.
  std::map<stream_origin, size_t> use_counts_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STREAMS_STREAM_ORIGINS_H_
