#ifndef SHALLOTPORT_ENTRY_WIRE_PROFILE_H_
#define SHALLOTPORT_ENTRY_WIRE_PROFILE_H_

#include <string>

namespace shallotport {

// The names of the header fields that callers and endpoints of one platform
// use. The platform's adapter fills it in.
struct wire_profile {
  std::string request_id;         // Echoed by the endpoint.
  std::string time_limit_ms;      // What is left of the caller's time.
  std::string expected_endpoint;  // Only this endpoint may run the request.
  std::string endpoint_proof;     // Stands on every answer of an endpoint.
  std::string not_executed;       // On answers to requests that did not run.
  std::string load;               // RUNNING,WAITING,SLOTS of the endpoint.
  std::string resume_after;       // Last event of a stream that was received.
  std::string retry_after;        // Seconds, on refusals.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_WIRE_PROFILE_H_
