#ifndef SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_DUTY_H_
#define SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_DUTY_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/duty_thread.h"
#include "membership/domain_summary.h"
#include "membership/endpoint_registry.h"
#include "membership/membership_core.h"
#include "transport/peer_message.h"

namespace shallotport {

struct membership_duty_options {
  membership_options hosts;
  endpoint_registry_options endpoints;
  domain_summary_options summaries;
  size_t ring_capacity = 4'096;
};

// Receivers of the duty's results. All are called on the duty's thread and must
// not block.
struct membership_duty_callbacks {
  // Sends a payload over UDP. The address may be empty for a host that the
  // transport knows.
  std::function<void(peer_channel channel,
                     const host_id& to,
                     const std::string& address,
                     std::string payload)>
      send;
  std::function<void(const host_event&)> on_host;
  std::function<void(const endpoint_event&)> on_endpoint;
  // Other domains' summaries, about once a second.
  std::function<void(const std::vector<service_summary>&)> on_summaries;
};

// Owns and drives the membership protocol, the endpoint registry and the domain
// summaries on a thread of its own. Its functions may be called from any
// thread; false means that the ring to that thread is full.
class membership_duty {
 public:
  static result<std::unique_ptr<membership_duty>> Create(
      membership_duty_options options,
      const clock_source& clock,
      uint64_t seed,
      membership_duty_callbacks callbacks);
  ~membership_duty();

  void Start();
  void Stop();

  // Accepts messages of kMembership, kEndpoints and kSummaries.
  bool PushPeerMessage(peer_message message);
  // Hands an announcement to the registry; `done` gets the result on the duty's
  // thread.
  bool Announce(endpoint_record endpoint, std::function<void(status)> done);
  // Notifies the domain that this host leaves. The duty keeps running and still
  // acknowledges probes.
  bool BeginLeave();
  // Sets the services whose summaries on_summaries gets.
  bool SetServices(std::vector<service_id> services);
  // Passes the state dumps of the three cores to `done` on the duty's thread.
  bool RequestState(std::function<void(nlohmann::json)> done);

 private:
  struct announcement {
    endpoint_record endpoint;
    std::function<void(status)> done;
  };
  struct leave_request {};
  struct state_request {
    std::function<void(nlohmann::json)> done;
  };
  using duty_message = std::variant<peer_message,
                                    announcement,
                                    leave_request,
                                    std::vector<service_id>,
                                    state_request>;

  membership_duty(membership_duty_options options,
                  const clock_source& clock,
                  uint64_t seed,
                  membership_duty_callbacks callbacks,
                  membership_core core);

  steady_time OnTimer(steady_time now);
  void Handle(steady_time now, const peer_message& message);
  void Handle(steady_time now, const announcement& message);
  void Handle(steady_time now, const leave_request& message);
  void Handle(steady_time now, const std::vector<service_id>& services);
  void Handle(steady_time now, const state_request& message);

  void Perform(const std::vector<membership_action>& actions);
  void Perform(const std::vector<registry_action>& actions);
  void RefreshSummaries(steady_time now);

  membership_duty_callbacks callbacks_;
  membership_core core_;
  endpoint_registry registry_;
  domain_summary_table summaries_;
  std::vector<service_id> services_;
  uint64_t corrupt_messages_ = 0;
  uint64_t sent_messages_ = 0;
  uint64_t sent_bytes_ = 0;
  duty_thread<duty_message> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_DUTY_H_
