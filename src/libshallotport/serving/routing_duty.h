#ifndef SHALLOTPORT_SERVING_ROUTING_DUTY_H_
#define SHALLOTPORT_SERVING_ROUTING_DUTY_H_

#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/duty_thread.h"
#include "base/result.h"
#include "membership/endpoint_record.h"
#include "routing/domain_offer.h"
#include "routing/request_router.h"
#include "transport/peer_message.h"

namespace shallotport {

class configuration_snapshot;

// The thread that owns this host's request_router. Everyone else asks it
// through its ring; all functions are thread-safe.
class routing_duty {
 public:
  using admit_reply = std::function<void(result<route_choice> choice)>;

  // Sends a payload to the peer channel kLimits; runs on the routing thread and
  // must not block.
  using limits_sender =
      std::function<void(const host_id& to, std::string payload)>;

  routing_duty(const request_router_options& options,
               const clock_source& clock,
               limits_sender send_limits);
  ~routing_duty();

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

  // `reply` runs on the routing thread, or at once with kNoCapacity when the
  // ring is full. It must not block.
  void Admit(route_query query, admit_reply reply);

  void ReportStarted(attempt_ticket ticket);
  void ReportFirstByte(attempt_ticket ticket);
  void ReportFinished(attempt_ticket ticket,
                      attempt_outcome outcome,
                      duration service_time);

  void UpdateEndpoint(endpoint_record record);
  void RemoveEndpoint(endpoint_id id);
  void SetConfiguration(std::shared_ptr<const configuration_snapshot> settings);
  // All hosts that share the accounts' limits.
  void SetHosts(std::vector<host_id> hosts);
  // A message of the peer channel kLimits. Dropped when the ring is full.
  void OnLimitsMessage(peer_message message);
  void OnDomainOffer(domain_offer summary);

  // Asks the routing thread and waits for its answer.
  domain_offer MakeDomainOffer();
  void WriteState(nlohmann::json& out);

 private:
  struct admit_message {
    route_query query;
    admit_reply reply;
  };
  enum class report_kind : uint8_t { kStarted, kFirstByte, kFinished };
  struct report_message {
    report_kind kind = report_kind::kStarted;
    attempt_ticket ticket = 0;
    attempt_outcome outcome = attempt_outcome::kOk;
    duration service_time{0};
  };
  struct remove_message {
    endpoint_id id;
  };
  struct hosts_message {
    std::vector<host_id> hosts;
  };
  struct state_message {
    std::promise<std::string>* reply;
  };
  struct offer_message {
    std::promise<domain_offer>* reply;
  };
  using message = std::variant<admit_message,
                               report_message,
                               endpoint_record,
                               remove_message,
                               std::shared_ptr<const configuration_snapshot>,
                               hosts_message,
                               domain_offer,
                               peer_message,
                               state_message,
                               offer_message>;

  // Waits while the ring is full: these messages must not be lost.
  void Push(message pushed);

  void On(steady_time now, admit_message& message);
  void On(steady_time now, const report_message& message);
  void On(steady_time now, const endpoint_record& record);
  void On(steady_time now, const remove_message& message);
  void On(steady_time now,
          const std::shared_ptr<const configuration_snapshot>& settings);
  void On(steady_time now, const hosts_message& message);
  void On(steady_time now, const domain_offer& summary);
  void On(steady_time now, const peer_message& limits);
  void On(steady_time now, const state_message& message);
  void On(steady_time now, const offer_message& message);

  steady_time ExchangeLimits(steady_time now);

  request_router router_;
  limits_sender send_limits_;
  steady_time next_exchange_{};
  duty_thread<message> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ROUTING_DUTY_H_
