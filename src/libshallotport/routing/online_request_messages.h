#ifndef SHALLOTPORT_ROUTING_ONLINE_REQUEST_MESSAGES_H_
#define SHALLOTPORT_ROUTING_ONLINE_REQUEST_MESSAGES_H_

// Input (events) and output (actions) of online_request.

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

// Number of an attempt within its request, from 1.
using attempt_number = uint32_t;

// A complete response of an endpoint, as recorded with a claim.
struct endpoint_response {
  int http_status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const endpoint_response&) const = default;
};

// Properties of a request that are known before it starts.
struct online_request_options {
  request_id id;
  bool is_idempotent = true;
  bool has_key = false;    // Has an Idempotency-Key.
  bool is_stream = false;  // Chunks are passed on as they arrive.
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

// Result of begin_claim.
enum class claim_decision : uint8_t {
  kGranted,
  kRecorded,  // The key was used before; `recorded` is the response.
  kRefused,   // `reason`: in progress, conflict, no quorum and so on.
};
struct claim_decided {
  claim_decision decision = claim_decision::kGranted;
  endpoint_response recorded;
  error reason;
};

// Status line and headers of an attempt's response.
struct attempt_head {
  attempt_number attempt = 0;
  std::string echoed_id;  // X-Request-Id of the response.
  int http_status = 200;
  std::string content_type;
};

// A part of the response content: one token event of a stream, without the
// framing of the stream, or some bytes of a plain body.
struct attempt_chunk {
  attempt_number attempt = 0;
  std::string bytes;
  // Index of the token in the whole stream, from 0, if the endpoint numbers its
  // events. Detects repeated and missing events.
  std::optional<uint64_t> position;
};

enum class attempt_end_kind : uint8_t {
  kComplete,            // End marker seen, or stated length received.
  kTruncated,           // The connection ended before that.
  kNotSent,             // Could not connect: nothing was sent.
  kRefusedNotExecuted,  // The endpoint refused and guaranteed not_run.
  kBroken,              // Failed after sending, before the first byte.
};
struct attempt_ended {
  attempt_number attempt = 0;
  attempt_end_kind end = attempt_end_kind::kComplete;
  duration retry_after{0};  // Of a refusal, if it has one.
};

// Result of query_outcome.
enum class outcome_query_result : uint8_t {
  kAnswered,
  kInProgress,
  kNotExecuted,  // Not executed by the same incarnation, and never will be.
  kUnknown,      // It has no record, or could not be queried.
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

// Call request_router::Admit() and reply with route_decided. At most one is
// pending.
struct request_route {
  std::vector<endpoint_id> excluded;
  bool is_retry = false;
  bool is_hedge = false;
};

// Have the claim for the request's key committed and reply with claim_decided.
struct begin_claim {
  endpoint_id endpoint;  // Receives the attempt and outcome queries.
  incarnation started = 0;
};

// The request was executed: record the response with the claim.
struct finish_claim {
  endpoint_response response;
};

// The request was certainly not executed: free the key. If the claim is still
// undecided, free it as soon as it commits.
struct release_claim {};

// It is unknown whether the request was executed: resends get outcome_unknown.
struct abandon_claim {};

// Open a new connection to `route.address` and send the request with `id` as
// its X-Request-Id and the time remaining until the deadline.
struct start_attempt {
  attempt_number attempt = 0;
  attempt_id id;
  route_choice route;
  // Number of delivered tokens, which the endpoint skips; 0: from the start.
  uint64_t resume_after = 0;
};

// Close the attempt's connection and have the engine cancel its stream. Later
// events of the attempt are ignored.
struct cancel_attempt {
  attempt_number attempt = 0;
};

// Query the endpoint, over a new connection, for the outcome of the attempt
// with the request's key and reply with outcome_received.
struct query_outcome {
  route_choice route;
  // If it has not executed the request, the endpoint refuses the key from then
  // on. False while the attempt's connection may still deliver the request.
  bool closes_key = true;
};

// Report to the request_router: OnStarted(), OnFirstByte() and OnFinished().
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

// Begin the response to the caller. The first action towards the caller is
// exactly one of send_head, respond_recorded and respond_error.
struct send_head {
  int http_status = 200;
  std::string content_type;
};
struct send_bytes {
  std::string bytes;
};
// The response is complete: send the end marker or end the body regularly.
struct send_end {};

// Send the response that an earlier request under the key got.
struct respond_recorded {
  endpoint_response response;
};

// Respond with an error. With `is_after_head` the status line was already sent:
// end the stream with an error event and without the end marker.
struct respond_error {
  error failure;
  bool is_after_head = false;
};

// Last action of the request; all attempts have ended or are cancelled.
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
