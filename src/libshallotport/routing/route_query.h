#ifndef SHALLOTPORT_ROUTING_ROUTE_QUERY_H_
#define SHALLOTPORT_ROUTING_ROUTE_QUERY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

enum class request_lane : uint8_t { kOnline, kBatch };

// Identifies an admitted attempt between request_router::Admit() and
// OnFinished().
using attempt_ticket = uint64_t;

// Describes a request to the request_router, which chooses an endpoint for it.
struct route_query {
  account_id account;
  service_id service;
  uint64_t prefix_hash = 0;  // Of the prompt prefix; 0: no affinity.
  steady_time deadline;
  request_lane lane = request_lane::kOnline;
  std::vector<endpoint_id> excluded;  // Already attempted.
  bool is_retry = false;              // Charged to the retry budget.
  bool is_hedge = false;              // Charged to the retry budget.
  bool is_spilled = false;  // From another failure domain; not spilled again.
};

// Where to send one attempt: an endpoint of this failure domain or, if
// `spill_domain` is set, a host of that domain, which chooses an endpoint
// there.
struct route_choice {
  endpoint_id endpoint;
  std::string address;  // "IP:port" of the endpoint or remote host.
  incarnation started = 0;
  attempt_ticket ticket = 0;
  bool can_resume = false;
  bool remembers_outcomes = false;
  std::optional<domain_id> spill_domain;
  duration expected_time{0};  // Queue and whole response; 0: unknown.
};

// How an attempt ended, as evidence about the health of its endpoint.
enum class attempt_outcome : uint8_t {
  kOk,
  kRefusedNotExecuted,  // The endpoint refused it and guaranteed not_run.
  kFailed,              // Broken connection, server error, truncated response,
                        // or the response to another request.
  kTimedOut,            // First byte or next token did not arrive in time.
  kCancelled,           // Ended by this host: caller disconnected, the other
                        // hedged attempt won, or the deadline passed.
  kUnused,              // Admitted, but never sent.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ROUTE_QUERY_H_
