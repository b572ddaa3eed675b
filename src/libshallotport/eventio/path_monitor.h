#ifndef SHALLOTPORT_EVENTIO_PATH_MONITOR_H_
#define SHALLOTPORT_EVENTIO_PATH_MONITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// Address of an endpoint. It does not identify the endpoint: another one may
// reuse it later.
struct endpoint_address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const endpoint_address&) const = default;
};

// Where a host relays connections to endpoints for others.
struct relay_address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const relay_address&) const = default;
};

// A way to an endpoint: directly, or through a relay.
using endpoint_path = std::optional<relay_address>;

// Decides whether this host reaches endpoints directly or through other hosts.
// An endpoint that cannot be reached may itself be down; if several in a row
// cannot, and none can meanwhile, this host is cut off from them all. It then
// uses relays, and one direct connection a second is tried to find out when the
// partition has ended. A verdict costs little if it is wrong: relayed
// connections keep the promises of direct ones. Owned by the pool of
// connections. Pure.
class path_monitor {
 public:
  // Relays in order of preference.
  void SetRelays(std::vector<relay_address> relays);

  // The way on which to try to connect next; nullopt: none is left. `tried` are
  // those that failed for this connection.
  std::optional<endpoint_path> NextPath(steady_time now,
                                        std::span<const endpoint_path> tried);
  // Whether a kept connection may serve another request.
  bool MayReuse(steady_time now, bool is_relayed);

  // A direct connection was accepted, or neither accepted in time nor at all.
  void RecordConnected(steady_time now);
  void RecordConnectFailed(steady_time now, const endpoint_address& to);
  // An established direct connection got no sign of life for so long that the
  // system gave it up.
  void RecordTimedOut(steady_time now, const endpoint_address& to);
  // The relay is at work; it could not be reached; no endpoint answered it.
  void RecordRelayUsed(steady_time now, const relay_address& relay);
  void RecordRelayFailed(steady_time now, const relay_address& relay);
  void RecordRelayUnanswered(const relay_address& relay);
  // A request was sent on a direct connection, bytes came back, and its
  // response ended. `call` identifies it.
  void RecordSent(steady_time now, uint64_t call, const endpoint_address& to);
  void RecordReceived(steady_time now);
  void RecordEnded(uint64_t call);

  // Direct connections cannot be had.
  bool IsCutOff() const { return is_cut_off_; }
  // The relay that is tried first; nullopt: none can be used now.
  std::optional<relay_address> FirstRelay(steady_time now) const;
  // Neither directly nor through a relay for some time.
  bool IsStranded(steady_time now) const;

 private:
  struct waiting_call {
    endpoint_address to;
    steady_time sent_at{};
  };
  struct relay_backoff {
    steady_time until{};
    uint32_t failures = 0;  // In a row.
  };

  // Endpoints that should have answered while nothing arrives from any.
  size_t CountSilentEndpoints(steady_time now) const;
  bool IsSilent(steady_time now);
  bool IsUsable(steady_time now, const relay_address& relay) const;

  std::vector<relay_address> relays_;
  std::map<relay_address, relay_backoff> backoffs_;
  // Since the last direct connection that was accepted.
  std::map<endpoint_address, steady_time> failed_;
  std::map<uint64_t, waiting_call> waiting_;
  steady_time last_received_at_{};
  bool is_silent_ = false;  // Until the next sign of life.
  bool is_cut_off_ = false;
  // While cut off.
  steady_time next_direct_at_{};
  steady_time last_path_at_{};  // When a relay was used.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_PATH_MONITOR_H_
