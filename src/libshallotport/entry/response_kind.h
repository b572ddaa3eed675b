#ifndef SHALLOTPORT_ENTRY_RESPONSE_KIND_H_
#define SHALLOTPORT_ENTRY_RESPONSE_KIND_H_

#include <cstdint>

namespace shallotport {

struct response_head;
struct wire_profile;

// What the head of an endpoint's response says.
struct response_facts {
  int status = 0;
  bool is_event_stream = false;
  bool has_endpoint_proof = false;
  bool is_marked_not_executed = false;
};

enum class response_kind : uint8_t {
  kNone,         // No head was received.
  kStream,       // Events are sent on as they arrive.
  kWhole,        // Another success, which is sent on when it is complete.
  kFailure,      // The endpoint's own error.
  kNotExecuted,  // A refusal, which may be cut.
  kUnusable,     // Not the endpoint's answer, or it contradicts itself.
};

response_facts FactsOf(const response_head& head, const wire_profile& wire);

// Decides before any of the body is sent on. `continues_stream`: the events
// before it have been delivered, so only a stream can go on with it. Pure.
response_kind ClassifyResponse(const response_facts& facts,
                               bool continues_stream);

// Callers take the status for a promise that the request was not and will not
// be executed.
bool PromisesNotExecuted(int status);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_RESPONSE_KIND_H_
