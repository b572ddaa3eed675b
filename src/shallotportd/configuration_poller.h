#ifndef SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_POLLER_H_
#define SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_POLLER_H_

#include <functional>
#include <memory>

#include "base/duty_thread.h"
#include "control/configuration_client.h"
#include "serving/configuration_view.h"

namespace shallotport {

// Brings this host's configuration up to the committed revision by asking the
// log for what changed, at short intervals.
class configuration_poller {
 public:
  // Runs on the poller's thread after each new revision.
  using on_change =
      std::function<void(std::shared_ptr<const configuration_snapshot>)>;

  configuration_poller(replicated_log& log,
                       const clock_source& clock,
                       configuration_view& view,
                       on_change changed);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

  // Asks at once, for example after a change was applied here.
  void Hurry() { thread_.TryPush({}); }

 private:
  struct wake_up {};

  steady_time Poll(steady_time now);

  configuration_client client_;
  const clock_source& clock_;
  configuration_view& view_;
  on_change changed_;
  duty_thread<wake_up> thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_CONFIGURATION_POLLER_H_
