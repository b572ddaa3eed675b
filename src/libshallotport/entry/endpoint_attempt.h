#ifndef SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_
#define SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_

#include <memory>
#include <string>

#include "base/clock.h"
#include "entry/endpoint_selector.h"
#include "entry/event_splitter.h"
#include "entry/output_period.h"
#include "eventio/endpoint_connection_pool.h"

namespace shallotport {

// One attempt of a request at one endpoint, and what has been received of its
// response. Owned by its routed_exchange; destroying it cancels the call.
struct endpoint_attempt {
  selected_endpoint at;
  std::unique_ptr<endpoint_call> call;
  steady_time begun_at{};
  steady_time last_received_at{};
  response_head head;
  bool is_stream = false;
  bool has_output = false;  // Events of it were sent to the caller.
  output_period output;     // Of these events.
  event_splitter events;    // Of a stream.
  std::string body;         // Of any other response.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENDPOINT_ATTEMPT_H_
