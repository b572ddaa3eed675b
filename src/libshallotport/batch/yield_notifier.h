#ifndef SHALLOTPORT_BATCH_YIELD_NOTIFIER_H_
#define SHALLOTPORT_BATCH_YIELD_NOTIFIER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "batch/batch_window.h"

namespace shallotport {

class window_ownership;

struct endpoint_online {
  endpoint_id endpoint;
  online_count count;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, count);
  }
};

// Sent on peer_channel::kBatchYield as a datagram.
struct yield_notice {
  std::vector<endpoint_online> endpoints;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoints);
  }
};

std::string EncodeYieldNotice(const yield_notice& notice);
result<yield_notice> DecodeYieldNotice(std::string_view bytes);

struct outgoing_notice {
  host_id to;
  yield_notice notice;
};

// Notifies the batch senders of the failure domain of this host's in-flight
// online requests: at once on an arrival, periodically while any is in flight,
// and a few times after the last one has ended, since datagrams get lost. Not
// thread-safe; batch_duty owns it and uses it on its thread.
class yield_notifier {
 public:
  explicit yield_notifier(host_id self) : self_(std::move(self)) {}

  // Sets the number of online requests that this host has in flight there.
  void SetInFlight(steady_time now,
                   const endpoint_id& endpoint,
                   uint32_t in_flight);

  // Notices to send now, at most one for each other host.
  std::vector<outgoing_notice> TakeDueNotices(
      steady_time now,
      const window_ownership& ownership);
  std::optional<steady_time> NextSendAt() const;

  // This host's own count, for a window that it owns.
  online_count CountOf(const endpoint_id& endpoint) const;

 private:
  struct entry {
    online_count count;
    steady_time next_send_at;
    steady_time last_sent_at;
    // Notices left to send once the count is zero.
    uint32_t zero_notices_left = 0;
  };

  const host_id self_;
  uint64_t sequence_ = 0;  // Shared by all endpoints.
  std::map<endpoint_id, entry> entries_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_YIELD_NOTIFIER_H_
