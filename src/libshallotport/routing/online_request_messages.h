#ifndef SHALLOTPORT_ROUTING_ONLINE_REQUEST_MESSAGES_H_
#define SHALLOTPORT_ROUTING_ONLINE_REQUEST_MESSAGES_H_

// What an online_request is told (events) and what it asks for (actions).

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "routing/route_query.h"

namespace shallotport {

// Counts the attempts of one request from 1.
using attempt_number = uint32_t;

// A whole answer of an endpoint, as it is recorded with a claim.
struct endpoint_response {
  int http_status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const endpoint_response&) const = default;
};

// What is fixed about a request before it starts.
struct online_request_options {
  request_id id;
  bool is_idempotent = true;
  bool has_key = false;    // Carries an Idempotency-Key.
  bool is_stream = false;  // Pieces go to the caller as they come.
  steady_time deadline;
  duration first_byte_timeout{5'000'000};
  duration token_gap_timeout{2'000'000};
  duration hedge_after{0};  // 0: no hedging.
  uint32_t max_attempts = 3;
};

// ---- Events ----

struct route_decided {
  result<route_choice> choice;
};

// The claims slice answered begin_claim.
enum class claim_decision : uint8_t {
  kGranted,
  kRecorded,  // An earlier call under the key ended; `recorded` is its answer.
  kRefused,   // `reason` says why: in progress, conflict, no quorum and so on.
};
struct claim_decided {
  claim_decision decision = claim_decision::kGranted;
  endpoint_response recorded;
  error reason;
};

// Status line and headers of an attempt's answer.
struct attempt_head {
  attempt_number attempt = 0;
  std::string echoed_id;  // X-Request-Id of the answer.
  int http_status = 200;
  std::string content_type;
};

// A part of the answer's content: one token event of a stream, without the
// stream's framing, or some bytes of a plain body.
struct attempt_chunk {
  attempt_number attempt = 0;
  std::string bytes;
  // Place in the whole stream of the piece's token, from 0, where the endpoint
  // numbers its events. Detects repeated and missing events.
  std::optional<uint64_t> position;
};

enum class attempt_end_kind : uint8_t {
  kComplete,            // End marker seen, or the stated length received.
  kTruncated,           // The connection ended before that.
  kNotSent,             // Could not connect: no byte left this host.
  kRefusedNotExecuted,  // The endpoint refused and promised not_run.
  kBroken,              // Failed after it was sent and before any byte came.
};
struct attempt_ended {
  attempt_number attempt = 0;
  attempt_end_kind end = attempt_end_kind::kComplete;
  duration retry_after{0};  // From a refusal, if it named one.
};

// The endpoint answered query_outcome.
enum class outcome_query_result : uint8_t {
  kAnswered,
  kInProgress,
  kNotExecuted,  // The same incarnation has not run the call and never will.
  kUnknown,      // It cannot tell, or could not be asked.
};
struct outcome_received {
  outcome_query_result outcome = outcome_query_result::kUnknown;
  endpoint_response response;
};

struct caller_disconnected {};
struct timer_expired {};

using online_event = std::variant<route_decided,
                                  claim_decided,
                                  attempt_head,
                                  attempt_chunk,
                                  attempt_ended,
                                  outcome_received,
                                  caller_disconnected,
                                  timer_expired>;

// ---- Actions, to be performed in their order ----

// Ask request_router::Admit(); answer with route_decided. At most one is open.
struct request_route {
  std::vector<endpoint_id> excluded;
  bool is_retry = false;
  bool is_hedge = false;
};

// Have the claim for the request's key committed; answer with claim_decided.
struct begin_claim {
  endpoint_id endpoint;  // Will be sent the call, and asked for its outcome.
  incarnation started = 0;
};

// The call was answered: record the answer with the claim.
struct finish_claim {
  endpoint_response response;
};

// The call was certainly not run: free the key. If the claim has not been
// decided yet, free it as soon as it commits.
struct release_claim {};

// Nobody can know whether the call ran: resends get outcome_unknown.
struct abandon_claim {};

// Open a new connection to `route.address` and send the request with `id` as
// its X-Request-Id and the deadline's remaining time.
struct start_attempt {
  attempt_number attempt = 0;
  attempt_id id;
  route_choice route;
  // Tokens already delivered, which the endpoint shall skip; 0: from the start.
  uint64_t resume_after = 0;
};

// Close the attempt's connection and have the engine's stream cancelled. Events
// of the attempt that still come are ignored.
struct cancel_attempt {
  attempt_number attempt = 0;
};

// Ask the endpoint over a new connection what became of the call with the
// request's key; answer with outcome_received.
struct query_outcome {
  route_choice route;
  // Have the endpoint refuse the key from now on if it has not run the call.
  // False while the first connection may still bring the call there.
  bool closes_key = true;
};

// Tell the router; maps to OnStarted(), OnFirstByte() and OnFinished().
struct report_started {
  attempt_ticket ticket = 0;
};
struct report_first_byte {
  attempt_ticket ticket = 0;
};
struct report_finished {
  attempt_ticket ticket = 0;
  attempt_outcome outcome = attempt_outcome::kOk;
  duration service_time{0};
};

// Begin the answer to the caller. Exactly one of send_head, respond_recorded
// and respond_error comes first.
struct send_head {
  int http_status = 200;
  std::string content_type;
};
struct send_bytes {
  std::string bytes;
};
// The answer is whole: send the end marker or close the body properly.
struct send_end {};

struct respond_recorded {
  endpoint_response response;
};

// The final answer is an error. With `is_after_head` the status line is out
// already: end the stream by an error event and without the end marker.
struct respond_error {
  error failure;
  bool is_after_head = false;
};

// Nothing more will come; all attempts are over or cancelled.
struct request_done {};

using online_action = std::variant<request_route,
                                   begin_claim,
                                   finish_claim,
                                   release_claim,
                                   abandon_claim,
                                   start_attempt,
                                   cancel_attempt,
                                   query_outcome,
                                   report_started,
                                   report_first_byte,
                                   report_finished,
                                   send_head,
                                   send_bytes,
                                   send_end,
                                   respond_recorded,
                                   respond_error,
                                   request_done>;

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ONLINE_REQUEST_MESSAGES_H_
