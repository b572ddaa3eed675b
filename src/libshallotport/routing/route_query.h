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

// Names one admitted attempt between Admit() and OnFinished().
using attempt_ticket = uint64_t;

// What the router needs to know about a request to choose its endpoint.
struct route_query {
  account_id account;
  service_id service;
  uint64_t prefix_hash = 0;  // Of the prompt's prefix; 0: no affinity.
  steady_time deadline;
  request_lane lane = request_lane::kOnline;
  std::vector<endpoint_id> excluded;  // Endpoints already tried.
  bool is_retry = false;              // Taken from the retry budget.
  bool is_hedge = false;              // Taken from the retry budget.
  bool is_spilled = false;  // Came from another domain; never spilled again.
};

// Where to send one attempt. Either an endpoint of the own failure domain or,
// when `spill_domain` is set, a host of that domain, which chooses itself.
struct route_choice {
  endpoint_id endpoint;
  std::string address;  // "IP:port" of the endpoint or of the spill host.
  incarnation started = 0;
  attempt_ticket ticket = 0;
  bool can_resume = false;
  bool remembers_outcomes = false;
  std::optional<domain_id> spill_domain;
  duration expected_time{0};  // Queue and whole answer; 0: unknown.
};

// How an attempt ended, as far as the endpoint's merit is concerned.
enum class attempt_outcome : uint8_t {
  kOk,
  kRefusedNotExecuted,  // Refused by the endpoint with the promise not_run.
  kFailed,     // Broken connection, server error, truncated or crossed.
  kTimedOut,   // No first byte or no next token in time.
  kCancelled,  // Ended by us: caller gone, hedge lost, deadline passed.
  kUnused,     // Admitted but never sent.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ROUTE_QUERY_H_
