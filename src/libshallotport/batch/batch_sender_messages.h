#ifndef SHALLOTPORT_BATCH_BATCH_SENDER_MESSAGES_H_
#define SHALLOTPORT_BATCH_BATCH_SENDER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "batch/batch_window.h"
#include "batch/job_messages.h"

namespace shallotport {

// Inputs and actions of batch_sender, exchanged with its driver (batch_duty).

using batch_call = uint64_t;

// An endpoint of this host's failure domain that offers services with batch
// work.
struct batch_endpoint {
  endpoint_id id;
  incarnation started = 0;
  std::string address;
  std::vector<service_id> services;
  uint32_t slots = 1;
  bool can_resume = false;
  // This host owns the endpoint's window and the endpoint is not leaving.
  bool may_start = false;
  // This host does not own the window: its calls there are cancelled, except
  // those of non-idempotent services.
  bool must_leave = false;
  window_settings window;
};

enum class call_outcome : uint8_t {
  kDone,          // The body is the complete answer.
  kRejected,      // Permanent error: the request can never succeed.
  kFailed,        // Transient error; may have been executed.
  kNotRun,        // Not executed.
  kEndpointDied,  // The connection broke or the process ended.
  kCancelled,     // Ended by cancel_batch_call.
};

// The part of an answer that was streamed before the call was cancelled.
struct partial_answer {
  std::string text;
  uint64_t tokens = 0;
};

struct batch_call_end {
  batch_call call = 0;
  call_outcome outcome = call_outcome::kFailed;
  error_kind kind = error_kind::kEndpointFailed;
  std::string body;  // The answer, or the detail of the error.
  // All that was streamed so far, including the part that was resumed from.
  partial_answer partial;
};

// Result of claiming an item of a non-idempotent service.
enum class item_claim : uint8_t {
  kMayRun,       // Claimed: only this host may execute it, once.
  kAnswered,     // Already executed; the answer is recorded.
  kUnknown,      // May have been executed; the outcome is unknown.
  kUnavailable,  // Claimed by another host, or the claims are unreachable.
};

// ---- Actions ----

struct start_batch_call {
  batch_call call = 0;
  endpoint_id endpoint;
  incarnation started = 0;
  std::string address;
  item_ref item;
  std::shared_ptr<const leased_job> job;
  std::string body;
  partial_answer resume;    // Resume after these tokens, if any.
  bool can_resume = false;  // Then the answer is streamed.
};

struct cancel_batch_call {
  batch_call call = 0;
};

struct request_lease {
  lease_items command;
};

struct request_record {
  record_results command;
};

struct request_lease_renewal {
  renew_leases command;
};

struct request_revocations {
  revocations_query query;
};

struct begin_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
  std::string body;
  endpoint_id endpoint;  // Where the item is to be executed.
  incarnation started = 0;
};

// The claimed item was executed with this answer.
struct finish_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
  std::string answer;
};

// The claimed item was not executed, and this host will not send it under this
// claim.
struct release_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
};

// The claimed item's call ended without an answer: it may have been executed.
struct abandon_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
};

using batch_action = std::variant<start_batch_call,
                                  cancel_batch_call,
                                  request_lease,
                                  request_record,
                                  request_lease_renewal,
                                  request_revocations,
                                  begin_item_claim,
                                  finish_item_claim,
                                  release_item_claim,
                                  abandon_item_claim>;

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_BATCH_SENDER_MESSAGES_H_
