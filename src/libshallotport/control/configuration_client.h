#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_CLIENT_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_CLIENT_H_

#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "control/configuration_messages.h"

namespace shallotport {

class replicated_log;

// Typed access to the configuration slice of the replicated log, from any
// host. Calls block until an answer or the deadline; errors are the log's own.
class configuration_client {
 public:
  // The log must outlive the client.
  explicit configuration_client(replicated_log& log) : log_(log) {}

  // A resend with the same change id is safe after every error.
  result<change_outcome> Apply(const configuration_change& change,
                               steady_time deadline);

  result<configuration_in_force> Current(steady_time deadline);
  result<configuration_delta> Since(log_index revision, steady_time deadline);

  // The newest `limit` changes, newest first.
  result<std::vector<change_record>> History(uint64_t limit,
                                             steady_time deadline);

  // The text of a past revision; kNotFound when the history has dropped it.
  result<std::string> TextOf(log_index revision, steady_time deadline);

 private:
  replicated_log& log_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_CLIENT_H_
