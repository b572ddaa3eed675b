#ifndef SHALLOTPORT_STREAMS_STREAM_ORIGIN_CLIENT_H_
#define SHALLOTPORT_STREAMS_STREAM_ORIGIN_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_host.h"
#include "streams/stream_origins.h"

namespace shallotport {

// Where the origin of a stream was found.
enum class origin_source : uint8_t { kNone, kOwn, kStore };

struct found_origin {
  origin_source source = origin_source::kNone;
  stream_origin origin;  // Unless kNone.
};

// Keeps the origins of the streams that an entry host has begun, sends them to
// two job stores, and finds those of other entry hosts' streams there: the host
// that began a stream is often the one that is lost when its caller resumes it.
// Owned by entry_host; runs on the event loop of `fleet`.
class stream_origin_client {
 public:
  using find_handler = std::function<void(const found_origin& found)>;

  stream_origin_client(const clock_source& clock, fleet_host& fleet);

  // Load totals from the job group's leader arrived.
  void SetLeader(steady_time now, const std::string& ip);

  void Record(uint64_t stream, const stream_origin& origin);
  // Sends what was recorded; for a change that the caller is about to see.
  void Flush();
  // The handler is called once, possibly before this returns.
  void Find(uint64_t stream, find_handler on_found) const;

  // Call at least ten times a second.
  void Tick(steady_time now);

 private:
  std::vector<host_announcement> LinkedStores() const;
  // The leader and one other store, of the own failure domain if possible;
  // without a leader, all.
  std::vector<host_announcement> SelectTargets(steady_time now) const;
  void UpdateTargets(steady_time now);
  void Send(const std::string& ip, const stream_report& report);

  const clock_source& clock_;
  fleet_host& fleet_;
  stream_origins own_;
  std::map<stream_origin, std::vector<uint64_t>> unsent_;
  std::string leader_ip_;
  steady_time leader_heard_at_{};
  // Stores that have all records of `own_`, and their starts: one that starts
  // again has lost them.
  std::map<std::string, incarnation> targets_;
  steady_time next_target_update_{};
  steady_time flushed_at_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STREAMS_STREAM_ORIGIN_CLIENT_H_
