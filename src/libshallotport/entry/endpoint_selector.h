#ifndef SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_
#define SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random_source.h"
#include "entry/domain_reachability.h"
#include "eventio/endpoint_connection_pool.h"
#include "fleet/endpoint_report.h"
#include "fleet/leaving_endpoints.h"
#include "poison/crash_attribution.h"
#include "ratelimits/endpoint_limits.h"

namespace shallotport {

// The endpoint that was selected for a request.
struct selected_endpoint {
  endpoint_id endpoint;
  endpoint_address address;
  domain_id domain;
  // By the report that was known when it was selected. Empty: not known.
  std::string software_version;
  uint64_t start_time_ms = 0;
};

// How a request at an endpoint ended, as far as later selections are concerned.
enum class endpoint_outcome : uint8_t {
  kServed,
  kShed,           // The endpoint refused it: no free slot.
  kUnreachable,    // It could not be connected to.
  kEnded,          // As kUnreachable: no process listens there.
  kSilent,         // The attempt to connect timed out.
  kBroken,         // The connection or response broke.
  kOtherEndpoint,  // The address now belongs to another endpoint.
  kCancelled,      // This host ended it early.
  kFailed,         // The endpoint answered with an error.
};

// Restrictions on the selection for one request.
struct selection_constraints {
  std::set<endpoint_id> excluded;  // Already attempted.
  // Endpoints that the request may return to. Selected only if no other one
  // takes it, and then whether or not their failure domain is in doubt.
  std::set<endpoint_id> avoided;
  bool is_limited_to_avoided = false;       // No other endpoint may take it.
  std::set<domain_id> unreachable_domains;  // Timed out for this request.
  // Only endpoints of this version; of any if empty.
  std::optional<std::string> software_version;
  // Endpoints whose version is not known are used only if no other takes it.
  bool prefers_known_version = false;
  // Of the request; they outlive the constraints. Null: none.
  const request_traits* traits = nullptr;
  bool is_trial = false;   // Of a blocked part; crash_attribution agreed.
  bool is_repeat = false;  // It may have been executed already.
  bool is_limited_rate_only = false;  // Only endpoints that name a limit.
  // Batch requests take free slots only; others may also wait at an endpoint.
  bool is_batch = false;
  uint32_t reserved_slots =
      0;  // Of each endpoint, kept free by batch requests.
};

// Why no endpoint was selected.
enum class selection_failure : uint8_t {
  kNoEndpoint,
  kAllBusy,
  kPoison,  // Endpoints crash under the request or a part of its prompt.
};

struct endpoint_selector_options {
  domain_id domain;  // Of this host.
  // Requests beyond an endpoint's slots that may wait there. A slot is freed
  // every service time / slots, which is well within the objective.
  uint32_t max_waiting = 2;
  uint64_t seed = 1;
  crash_attribution::role crash_role = crash_attribution::role::kObserver;
};

// Selects endpoints for requests when several of our hosts send to the same
// endpoints, whose engines admit requests in order of arrival. Adds the last
// known load of the other hosts to the own one and selects at random, weighted
// by free slots: if all hosts selected the least loaded endpoint, their
// requests would meet there. A request at an endpoint without a free slot would
// wait behind work that it cannot overtake, so only a few are sent there.
//
// When an endpoint's process has ended, what runs at its address and under its
// id is not known until it has reported: it may be of another software version.
// Pure.
class endpoint_selector {
 public:
  explicit endpoint_selector(endpoint_selector_options options);

  // `started_at`: when the reported start began, by the endpoint's clock. If
  // its address refused a connection later, that start may have ended as well.
  void Update(const endpoint_report& report,
              steady_time started_at = steady_time::max());
  void Remove(const endpoint_id& endpoint);
  // Requests at this start broke, and its address refused a connection then:
  // the process has ended, unless this host still has requests there. Other
  // hosts are told (crash_attribution).
  void RecordEnded(steady_time now, const endpoint_start& start);
  // As another host saw, which this one may hear much later; `key`: StartKey()
  // of the start. Requests that began since tell nothing. Without requests that
  // broke, the endpoint may have refused the connection because it is full:
  // then no host may have a request there, or slots were free and the requests
  // are gone by the next counts of the load exchange.
  void RecordEndedByKey(steady_time now, uint64_t key, bool has_broken);
  // A report of this start, which began at `started_at` by the endpoint's
  // clock, was received at `received_at`. The start goes on if that was later
  // than a delayed report may be. It is not used for so long if this host had
  // heard that the endpoint leaves after it began: the notice may be its own.
  void ConfirmStart(steady_time received_at,
                    const endpoint_start& start,
                    steady_time started_at = steady_time::max());
  // Requests of other hosts at an endpoint, from the hosts' load exchange.
  void SetPeerLoad(steady_time now,
                   const endpoint_id& endpoint,
                   uint32_t peer_load);
  // The endpoint's own report of its running and waiting requests.
  void RecordLoad(steady_time now,
                  const endpoint_id& endpoint,
                  uint32_t running,
                  uint32_t waiting);

  // An endpoint said in a response that it leaves. It is not selected any more,
  // and how its requests end tells nothing about its failure domain. False if
  // that was known.
  bool RecordLeaving(steady_time now,
                     const endpoint_start& start,
                     leaving_endpoints::origin from);
  const leaving_endpoints& leaving() const { return leaving_; }

  endpoint_limits& limits() { return limits_; }
  const endpoint_limits& limits() const { return limits_; }

  crash_attribution& crashes() { return crashes_; }
  const crash_attribution& crashes() const { return crashes_; }

  // False if no endpoint may get the request, whatever becomes free.
  bool MayBegin(steady_time now,
                const selection_constraints& constraints) const;
  // Selects one of the service's endpoints; the request counts as own load of
  // the endpoint until Release().
  std::variant<selected_endpoint, selection_failure> Acquire(
      steady_time now,
      const service_id& service,
      const selection_constraints& constraints);
  // As Acquire(), of one endpoint that was granted to the request; nullopt if
  // this host does not use that endpoint now.
  std::optional<selected_endpoint> AcquireGranted(
      steady_time now,
      const endpoint_id& endpoint,
      const selection_constraints& constraints);
  void Release(steady_time now,
               const endpoint_id& endpoint,
               endpoint_outcome outcome);

  // Endpoints that failed requests since the last call; one entry a request.
  std::vector<endpoint_id> TakeFailures();

  // What a service's requests avoid now: endpoints in backoff, and failure
  // domains that seem to be partitioned from this host.
  std::vector<endpoint_id> EndpointsInBackoff(steady_time now,
                                              const service_id& service) const;
  std::vector<domain_id> DomainsInBackoff(steady_time now,
                                          const service_id& service) const;
  // Endpoints whose process has ended and has not reported since.
  std::vector<endpoint_id> UnconfirmedEndpoints(
      const service_id& service) const;

  // Slots of an endpoint that are free by the known load; negative when
  // requests wait there.
  int FreeSlots(steady_time now, const endpoint_id& endpoint) const;

  // Age of the known peer load of an endpoint.
  duration PeerLoadAge(steady_time now, const endpoint_id& endpoint) const;

  // True when some endpoint has more than `reserve` free slots.
  bool HasFreeSlots(steady_time now, uint32_t reserve) const;

  // Slots of a service: all, and those taken by the known load. Endpoints with
  // a limit are left out: their slots are not free to use.
  struct slot_usage {
    uint32_t slots = 0;
    uint32_t taken = 0;
  };
  // Of endpoints of `software_version` only, if given.
  slot_usage SlotUsage(
      steady_time now,
      const service_id& service,
      const std::optional<std::string>& software_version = {}) const;
  // Own load of each endpoint that has any.
  std::vector<std::pair<endpoint_id, uint32_t>> OwnLoad() const;
  uint32_t OwnLoad(const endpoint_id& endpoint) const;
  bool IsServing(const endpoint_id& endpoint) const;
  // Its process was seen to end, and it has not reported since.
  bool HasEnded(const endpoint_id& endpoint) const;
  bool IsVersionServing(const service_id& service,
                        const std::string& software_version) const;
  // The endpoint has not started again since it was selected, as far as is
  // known.
  bool IsSameStart(const selected_endpoint& selected) const;

 private:
  struct refusal {
    steady_time at{};
    // After requests had broken, while this host had others there: these may be
    // about to break as well. Otherwise requests of any host were counted
    // there, which may have been refused, too.
    bool has_broken = false;
  };
  struct endpoint_state {
    endpoint_report report;
    // By its last report, unless it said that it leaves.
    bool is_ready = false;
    uint32_t own_load = 0;
    // When requests of the own load began. Which of them has ended is not told:
    // taken for the oldest.
    std::deque<steady_time> begun_at;
    uint32_t peer_load = 0;
    steady_time peer_load_at{};
    steady_time backoff_until{};
    uint32_t failures = 0;  // In a row.
    // When the known start was last seen to have ended.
    std::optional<steady_time> ended_at;
    bool has_answered_since = false;
    // The last refused connection that leaves open whether the start has ended.
    std::optional<refusal> refused;
    // When a response to this host last said that the endpoint leaves.
    std::optional<steady_time> notice_at;
  };

  selected_endpoint Take(steady_time now, endpoint_state& state);
  double EstimatedLoad(steady_time now, const endpoint_state& state) const;
  bool IsUsable(const endpoint_state& state) const;
  static endpoint_start StartOf(const endpoint_state& state);
  // Whether the request may go to this endpoint at all.
  bool IsAllowed(const endpoint_state& state,
                 const selection_constraints& constraints) const;
  static bool HasVersion(const endpoint_state& state,
                         const std::optional<std::string>& software_version);
  // Whether the request goes there only if no other endpoint takes it.
  static bool IsLastChoice(const endpoint_state& state,
                           const selection_constraints& constraints);
  static void SetEnded(steady_time ended_at, endpoint_state& state);
  // Requests of this host there that began before.
  static uint32_t LoadFromBefore(steady_time ended_at,
                                 const endpoint_state& state);
  // False if the process goes on, as requests from before show, or may do so.
  bool MarkEnded(steady_time ended_at, endpoint_state& state, bool has_broken);
  // Whether requests that were counted there at a refusal were refused as well.
  void CheckRefusal(steady_time now, endpoint_state& state);
  void RecordOwnEnd(steady_time now, const endpoint_state& state);
  void AddToService(const endpoint_state& state);
  void RemoveFromService(const endpoint_state& state);

  const endpoint_selector_options options_;
  random_source random_;
  domain_reachability reachability_;
  std::map<endpoint_id, endpoint_state> endpoints_;
  std::map<service_id, std::set<endpoint_id>> by_service_;
  std::vector<endpoint_id> failures_;
  leaving_endpoints leaving_;
  crash_attribution crashes_;
  endpoint_limits limits_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENDPOINT_SELECTOR_H_
