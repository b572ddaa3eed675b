#ifndef SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_DISTRIBUTOR_H_
#define SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_DISTRIBUTOR_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>

#include "base/duty_thread.h"
#include "base/result.h"
#include "control/configuration_spread.h"
#include "serving/configuration_view.h"
#include "settings/host_settings.h"

namespace shallotport {

class replicated_log;

// The duty that brings this host's configuration up to the committed revision
// and helps the other hosts to do so, by configuration_spread. On a member of
// the log it asks its own replica, which answers while it leads.
class configuration_distributor {
 public:
  // Gives bytes to the peer channel kConfiguration; may lose them.
  using send_function =
      std::function<void(const host_id& to, std::string bytes)>;
  // Runs on the duty's thread after each new revision.
  using on_change =
      std::function<void(std::shared_ptr<const configuration_snapshot>)>;

  // `member` is null on a host that holds no replica.
  configuration_distributor(const host_settings& settings,
                            uint64_t seed,
                            replicated_log* member,
                            const clock_source& clock,
                            configuration_view& view,
                            send_function send,
                            on_change changed);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

  // Looks for a new revision at once. Thread-safe.
  void Hurry() { thread_.TryPush(hurry{}); }
  // A message of the peer channel kConfiguration. Thread-safe.
  void OnPeerMessage(const host_id& from, std::string bytes);

  // Who has the revision in force; kNoQuorum when the leader did not say in
  // time. Thread-safe, waits.
  result<spread_progress> Progress(log_index revision, duration timeout);

  // Thread-safe, waits.
  void WriteState(nlohmann::json& out);

 private:
  struct hurry {};
  struct peer_bytes {
    host_id from;
    std::string bytes;
  };
  struct progress_request {
    log_index revision = 0;
    std::shared_ptr<std::promise<spread_progress>> reply;
  };
  struct state_request {
    std::shared_ptr<std::promise<nlohmann::json>> reply;
  };
  using message =
      std::variant<hurry, peer_bytes, progress_request, state_request>;

  void OnMessage(steady_time now, message received);
  void On(steady_time now, const hurry& received);
  void On(steady_time now, const peer_bytes& received);
  void On(steady_time now, const progress_request& received);
  void On(steady_time now, const state_request& received);
  steady_time OnTimer(steady_time now);
  void AskMember(steady_time now);
  void Perform(const spread_actions& actions);

  const clock_source& clock_;
  configuration_view& view_;
  replicated_log* const member_;
  send_function send_;
  on_change changed_;
  configuration_spread spread_;
  steady_time ask_at_{};
  uint64_t queries_ = 0;
  std::map<uint64_t, std::shared_ptr<std::promise<spread_progress>>> waiting_;
  duty_thread<message> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_DISTRIBUTOR_H_
