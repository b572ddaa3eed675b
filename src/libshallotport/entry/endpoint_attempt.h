#ifndef SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_
#define SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "entry/endpoint_selector.h"
#include "entry/event_splitter.h"
#include "entry/output_period.h"
#include "entry/response_buffer.h"
#include "entry/response_kind.h"
#include "eventio/endpoint_connection_pool.h"

namespace shallotport {

// What was wrong with an attempt's response, beyond how its connection ended.
enum class attempt_fault : uint8_t {
  kNone,
  kUnusableHead,  // Of no answer, or of none that goes on with the stream.
  kEventOutOfOrder,
  kEventTooLong,
  kIncomplete,      // It ended within an event, or is longer than the buffer.
  kUnknownVersion,  // The endpoint has started again since it was selected.
};

// One attempt of a request at one endpoint, and what has been received of its
// response. Owned by its routed_exchange; destroying it cancels the call.
struct endpoint_attempt {
  explicit endpoint_attempt(memory_budget* memory) : body(memory) {}

  selected_endpoint at;
  std::unique_ptr<endpoint_call> call;
  steady_time begun_at{};
  steady_time last_received_at{};
  response_head head;
  response_kind kind = response_kind::kNone;
  attempt_fault fault = attempt_fault::kNone;
  bool has_output = false;  // Events of it were sent to the caller.
  output_period output;     // Of these events.
  event_splitter events;    // Of a stream.
  response_buffer body;     // Of any other response.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_
