#ifndef SHALLOTPORT_CONTROL_ORDER_CLIENT_H_
#define SHALLOTPORT_CONTROL_ORDER_CLIENT_H_

#include "base/clock.h"
#include "base/result.h"
#include "control/order_messages.h"

namespace shallotport {

class replicated_log;

// Typed access to the orders slice of the replicated log, from any host. Calls
// block until an answer or the deadline; errors are the log's own.
class order_client {
 public:
  // The log must outlive the client.
  explicit order_client(replicated_log& log) : log_(log) {}

  // A resend with the same order id is safe after every error.
  result<order_reply> Add(const order_add& add, steady_time deadline);
  // Only the leader's order driver takes epochs and settles orders.
  result<order_reply> TakeEpoch(const host_id& leader, steady_time deadline);
  result<order_reply> Settle(const order_settle& settle, steady_time deadline);

  result<order_list> List(steady_time deadline);

 private:
  result<order_reply> Propose(const order_command& command,
                              steady_time deadline);

  replicated_log& log_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_ORDER_CLIENT_H_
