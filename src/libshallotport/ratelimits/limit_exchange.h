#ifndef SHALLOTPORT_RATELIMITS_LIMIT_EXCHANGE_H_
#define SHALLOTPORT_RATELIMITS_LIMIT_EXCHANGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_host.h"
#include "ratelimits/endpoint_limits.h"

namespace shallotport {

// Tells hosts of each other's endpoint limits, and which part of them each may
// use. The leader of the job group sends all that it knows to the other hosts,
// a host sends to it what it knows better. Owned by the duty of a host; runs on
// the event loop of `fleet`.
class limit_exchange {
 public:
  limit_exchange(fleet_host& fleet, endpoint_limits& limits);

  // Of a host that is not the leader: from the leader's load totals, or from
  // any frame of this exchange.
  void SetLeader(steady_time now, const std::string& ip);
  void Tick(steady_time now);
  // Of the leader.
  void TickLeading(steady_time now);
  // False if the frame is of another kind.
  bool OnFrame(steady_time now, uint8_t kind, std::string_view payload);

 private:
  fleet_host& fleet_;
  endpoint_limits& limits_;
  std::string leader_ip_;
  steady_time leader_heard_at_{};
  std::vector<limit_record> known_to_leader_;
  steady_time leader_told_at_{};  // When these records were received.
  steady_time next_send_{};
  uint64_t sent_change_count_ = 0;  // By the leader.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_RATELIMITS_LIMIT_EXCHANGE_H_
