#ifndef SHALLOTPORT_POISON_CRASH_OBSERVER_H_
#define SHALLOTPORT_POISON_CRASH_OBSERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "fleet/endpoint_start.h"
#include "poison/crash_attribution.h"

namespace shallotport {

// A request of this host at an endpoint.
struct observed_attempt {
  endpoint_start start;  // Of the endpoint.
  endpoint_address address;
  domain_id domain;  // Of the endpoint.
  service_id service;
  uint64_t request = 0;  // Key of its id.
  steady_time begun_at{};
  const request_traits& traits;
  duration output{};  // From its first output to its last one so far.
};

// Tells crash_attribution which broken attempts are due to an endpoint's crash.
// A connection also breaks for other reasons: the endpoint refuses too many,
// the link is cut, an answer is cut short. Only where an endpoint's address
// refuses connections just afterwards has its process ended. Runs on the event
// loop of `pool`; owned, like it, by the component that sends requests.
class crash_observer {
 public:
  struct counters {
    uint64_t crashes = 0;      // Of endpoints, as far as this host saw.
    uint64_t not_a_crash = 0;  // Breaks at endpoints that accept connections.
    uint64_t unknown = 0;
  };

  crash_observer(const clock_source& clock,
                 endpoint_connection_pool& pool,
                 crash_attribution& attribution);
  ~crash_observer();

  // Called when the process of a start has ended, as far as this host saw. May
  // be empty.
  std::function<void(const endpoint_start& start)> on_ended;
  // Called for each attempt that broke since its endpoint ended. May be empty.
  std::function<void(const crash_record& record)> on_crash;

  void OnBroken(const observed_attempt& attempt);
  void OnWholeAnswer(const observed_attempt& attempt);
  // The attempt has put out text for crash_attribution::kSustainedOutput.
  void OnSustainedOutput(const observed_attempt& attempt);

  const counters& totals() const { return counters_; }

 private:
  // Broken attempts at one start of an endpoint.
  struct pending_crash {
    steady_time probed_at{};
    bool is_probing = false;
    probe_result result = probe_result::kUnknown;
    std::vector<crash_record> records;  // Until the probe has ended.
  };

  void OnProbed(const endpoint_start& start, probe_result result);
  void RecordCrash(steady_time now, const crash_record& record);
  void RemoveOld(steady_time now);

  const clock_source& clock_;
  endpoint_connection_pool& pool_;
  crash_attribution& attribution_;
  std::map<endpoint_start, pending_crash> pending_;
  counters counters_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_OBSERVER_H_
