#include "entry/skipped_response_log.h"

#include <string>

#include "entry/decision_log.h"
#include "eventio/endpoint_connection_pool.h"

namespace shallotport {

void LogSkippedResponses(endpoint_connection_pool& pool, decision_log& log) {
  pool.on_skipped = [&log](const endpoint_address& from,
                           const response_head& head, bool names_request) {
    log.LogRequest("response_skipped",
                   {{"address", from.ip + ":" + std::to_string(from.port)},
                    {"status", int64_t{head.status}},
                    {"names_request", names_request ? "yes" : "no"}});
  };
}

}  // namespace shallotport
