#ifndef SHALLOTPORT_ENTRY_SKIPPED_RESPONSE_LOG_H_
#define SHALLOTPORT_ENTRY_SKIPPED_RESPONSE_LOG_H_

namespace shallotport {

class decision_log;
class endpoint_connection_pool;

// Logs the responses that a pool skips, at the rate of lines about requests.
// Both outlive the pool's calls.
void LogSkippedResponses(endpoint_connection_pool& pool, decision_log& log);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_SKIPPED_RESPONSE_LOG_H_
