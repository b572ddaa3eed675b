#include "control/order_client.h"

#include "base/codec.h"
#include "consensus/replicated_log.h"

namespace shallotport {

result<order_reply> order_client::Propose(const order_command& command,
                                          steady_time deadline) {
  const auto reply =
      log_.Propose(replicated_slice::kOrders, Encode(command), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<order_reply>(ValueOf(reply));
}

result<order_reply> order_client::Add(const order_add& add,
                                      steady_time deadline) {
  return Propose(add, deadline);
}

result<order_reply> order_client::TakeEpoch(const host_id& leader,
                                            steady_time deadline) {
  return Propose(order_take_epoch{leader}, deadline);
}

result<order_reply> order_client::Settle(const order_settle& settle,
                                         steady_time deadline) {
  return Propose(settle, deadline);
}

result<order_list> order_client::List(steady_time deadline) {
  const auto reply = log_.Query(replicated_slice::kOrders, "", deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Decode<order_list>(ValueOf(reply));
}

}  // namespace shallotport
