#ifndef SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_
#define SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random_source.h"
#include "entry/domain_reachability.h"
#include "eventio/endpoint_connection_pool.h"
#include "fleet/endpoint_report.h"

namespace shallotport {

// One endpoint that was chosen for a request.
struct selected_endpoint {
  endpoint_id endpoint;
  endpoint_address address;
  domain_id domain;
};

// How a request at an endpoint ended, for the choice of later ones.
enum class endpoint_outcome : uint8_t {
  kServed,
  kShed,           // Refused by the endpoint: it has no room.
  kUnreachable,    // The connection was refused.
  kSilent,         // Nobody answered the attempt to connect.
  kBroken,         // The connection or answer broke.
  kOtherEndpoint,  // Another endpoint has the address now.
  kCancelled,      // The caller left or its time ran out.
};

// What a request asks of its endpoint.
struct selection_constraints {
  std::set<endpoint_id> excluded;  // Tried before.
  std::set<domain_id>
      unreachable_domains;      // Silent when this request tried them.
  uint32_t reserved_slots = 0;  // Places that stay free: batch work.
};

// Why no endpoint was chosen.
enum class selection_failure : uint8_t { kNoEndpoint, kAllBusy };

struct endpoint_selector_options {
  domain_id domain;  // Of this host.
  // Requests beyond an endpoint's places that may wait there. A place comes
  // free every service time / places, well within the objective.
  uint32_t max_waiting = 2;
  uint64_t seed = 1;
};

// Chooses endpoints for requests. Answers the load of several hosts of ours
// that send to the same endpoints, whose engines admit in order of arrival:
// it counts the requests of its own, adds what the others are known to have
// there, and draws an endpoint, the more likely the more room it has: hosts
// that all took the emptiest one would meet there. What is sent to an endpoint
// whose places are all taken would wait behind work that cannot be overtaken,
// so little is. Pure.
class endpoint_selector {
 public:
  explicit endpoint_selector(endpoint_selector_options options);

  void Update(const endpoint_report& report);
  void Remove(const endpoint_id& endpoint);
  // Others' requests at an endpoint, from the hosts' load exchange.
  void SetPeerLoad(steady_time now,
                   const endpoint_id& endpoint,
                   uint32_t peer_load);
  // The endpoint's own count of requests that run and wait there.
  void RecordLoad(steady_time now,
                  const endpoint_id& endpoint,
                  uint32_t running,
                  uint32_t waiting);

  // Chooses among the service's endpoints; the choice counts as a request there
  // until Release().
  std::variant<selected_endpoint, selection_failure> Acquire(
      steady_time now,
      const service_id& service,
      const selection_constraints& constraints);
  void Release(steady_time now,
               const endpoint_id& endpoint,
               endpoint_outcome outcome);

  // Places of an endpoint that nobody has, as far as known; negative when
  // requests wait there.
  int FreeSlots(steady_time now, const endpoint_id& endpoint) const;

  // How old the knowledge of others' requests at an endpoint is.
  duration PeerLoadAge(steady_time now, const endpoint_id& endpoint) const;

  // True when some endpoint has more than `reserve` places free.
  bool HasFreeSlots(steady_time now, uint32_t reserve) const;

  // Places of a service: all, and those taken as far as known.
  struct slot_usage {
    uint32_t slots = 0;
    uint32_t taken = 0;
  };
  slot_usage SlotUsage(steady_time now, const service_id& service) const;
  // Own requests at each endpoint that has any.
  std::vector<std::pair<endpoint_id, uint32_t>> OwnLoad() const;
  bool IsServing(const endpoint_id& endpoint) const;

 private:
  struct endpoint_state {
    endpoint_report report;
    bool is_ready = false;  // Ready, by its last report.
    uint32_t own_load = 0;
    uint32_t peer_load = 0;
    steady_time peer_load_at{};
    steady_time backoff_until{};
    uint32_t failures = 0;  // In a row.
  };

  double EstimatedLoad(steady_time now, const endpoint_state& state) const;
  bool IsUsable(const endpoint_state& state) const;

  const endpoint_selector_options options_;
  random_source random_;
  domain_reachability reachability_;
  std::map<endpoint_id, endpoint_state> endpoints_;
  std::map<service_id, std::set<endpoint_id>> by_service_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_
