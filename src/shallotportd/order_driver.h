#ifndef SHALLOTPORT_SHALLOTPORTD_ORDER_DRIVER_H_
#define SHALLOTPORT_SHALLOTPORTD_ORDER_DRIVER_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/duty_thread.h"
#include "base/result.h"
#include "control/order_client.h"
#include "control/order_sender.h"
#include "http/endpoint_caller.h"

namespace shallotport {

// The duty that sends the queued orders while this host's member of the log
// leads. It asks the member at short intervals; one that answers leads.
class order_driver {
 public:
  // `member` and `clock` must outlive the driver. `leader_lease`: of the log.
  static result<std::unique_ptr<order_driver>> Create(
      const host_id& host,
      replicated_log& member,
      const clock_source& clock,
      std::chrono::milliseconds leader_lease);

  void Start() { thread_.Start(); }
  // Calls under way are cut off; their orders stay queued.
  void Stop();

  // Thread-safe, waits.
  void WriteState(nlohmann::json& out);

 private:
  class order_sink;

  struct send_end {
    std::string order_id;
    fencing_number fencing = 0;
    order_answer answer = order_answer::kNoAnswer;
    std::string detail;
  };
  struct state_request {
    std::shared_ptr<std::promise<nlohmann::json>> reply;
  };
  using message = std::variant<send_end, state_request>;

  order_driver(host_id host,
               replicated_log& member,
               const clock_source& clock,
               std::chrono::milliseconds leader_lease,
               std::unique_ptr<endpoint_caller> caller);

  void On(steady_time now, const send_end& end);
  void On(steady_time now, const state_request& request);
  steady_time OnTimer(steady_time now);
  void Perform(steady_time now, const order_actions& actions);
  void Send(const order_send& send);
  const order_record* FindQueued(const std::string& id) const;

  const host_id host_;
  const clock_source& clock_;
  order_client client_;
  order_sender sender_;
  bool is_leader_ = false;
  std::vector<order_record> queued_;
  duty_thread<message> thread_;
  // Last: its thread pushes to the ring above.
  std::unique_ptr<endpoint_caller> caller_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_ORDER_DRIVER_H_
