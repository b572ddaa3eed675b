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

// What a batch sender and its driver tell each other.

using batch_call = uint64_t;

// An endpoint of the own domain that offers services with batch work.
struct batch_endpoint {
  endpoint_id id;
  incarnation started = 0;
  std::string address;
  std::vector<service_id> services;
  uint32_t slots = 1;
  bool can_resume = false;
  // This host owns the endpoint's window and the endpoint is not leaving.
  bool may_start = false;
  // This host no longer owns the window: what runs there has to go.
  bool must_leave = false;
  window_settings window;
};

enum class call_outcome : uint8_t {
  kDone,          // The body is the whole answer.
  kRejected,      // The endpoint says that the request can never succeed.
  kFailed,        // Failed this time; may have run.
  kNotRun,        // Nothing was executed.
  kEndpointDied,  // The connection broke or the process is gone.
  kCancelled,     // After cancel_batch_call.
};

// The beginning of an answer whose stream was cancelled.
struct partial_answer {
  std::string text;
  uint64_t tokens = 0;
};

struct batch_call_end {
  batch_call call = 0;
  call_outcome outcome = call_outcome::kFailed;
  error_kind kind = error_kind::kEndpointFailed;
  std::string body;  // The answer, or the error's detail.
  partial_answer
      partial;  // What the stream gave so far, resumed part included.
};

// What the claims say about an item of a non-idempotent service.
enum class item_claim : uint8_t {
  kMayRun,       // Claimed for this host, which alone may run it, once.
  kAnswered,     // It ran; the answer is recorded.
  kUnknown,      // It may have run and nobody can tell.
  kUnavailable,  // Another host is at it, or the claims cannot be reached.
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
  partial_answer resume;    // With tokens: continue after these.
  bool can_resume = false;  // The endpoint can, so its answer is streamed.
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
  endpoint_id endpoint;  // Where it is to run.
  incarnation started = 0;
};

// The claimed item ran and this is its answer.
struct finish_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
  std::string answer;
};

// The claimed item did not run and will not by this host.
struct release_item_claim {
  item_ref item;
  std::shared_ptr<const leased_job> job;
};

// The claimed item's call broke off: nobody can tell whether it ran.
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
