#ifndef SHALLOTPORT_ENTRY_WIRE_PROFILE_H_
#define SHALLOTPORT_ENTRY_WIRE_PROFILE_H_

#include <string>

namespace shallotport {

// Names of the header fields that callers and endpoints of one platform use.
// Filled in by the platform's adapter.
struct wire_profile {
  std::string request_id;         // Echoed by the endpoint.
  std::string time_limit_ms;      // Milliseconds until the deadline.
  std::string expected_endpoint;  // Only this endpoint may execute the request.
  std::string endpoint_proof;     // Present on every response of an endpoint.
  std::string not_executed;       // Present if the request was not executed.
  std::string load;               // RUNNING,WAITING,SLOTS of the endpoint.
  std::string leaving;            // "1": the endpoint wants no new requests.
  std::string resume_after;       // Id of the last event received of a stream.
  std::string retry_after;        // Seconds, on refusals.
  std::string limit;  // Requests a second that the endpoint takes in all.
  std::string prompt_parts;  // ID:TOKENS entries of the prompt.
  std::string credentials;   // The caller's API key; not passed on.
  std::string account;       // Name of the caller's account, for endpoints.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_WIRE_PROFILE_H_
