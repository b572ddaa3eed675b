#ifndef SHALLOTPORT_ENTRY_ENTRY_DUTY_H_
#define SHALLOTPORT_ENTRY_ENTRY_DUTY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "accounts/allotment_budget.h"
#include "accounts/caller_identity.h"
#include "base/clock.h"
#include "base/random_source.h"
#include "base/retry_budget.h"
#include "entry/account_admission.h"
#include "entry/decision_log.h"
#include "entry/endpoint_selector.h"
#include "entry/entry_counters.h"
#include "entry/entry_metrics.h"
#include "entry/hold_up_record.h"
#include "entry/route_history.h"
#include "entry/route_table.h"
#include "entry/usual_time_limit.h"
#include "entry/wire_profile.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/http_listener.h"
#include "fleet/endpoint_directory.h"
#include "poison/crash_observer.h"
#include "slots/slot_messages.h"
#include "streams/software_version_history.h"
#include "streams/stream_origin_client.h"

namespace shallotport {

class memory_budget;
class routed_exchange;

// A caller's request, with the fields that the platform's adapter read from it.
struct caller_request {
  inbound_request wire;
  request_id id;
  // 0: only the route's timeout applies.
  std::chrono::milliseconds time_limit{0};
  std::string resume_after;  // Id of the last event that the caller received.
  // The caller's attempt that brought the first event of the stream that this
  // one resumes; empty if the caller names none.
  request_id resumed_request;
  // On whose behalf; without a name if the caller needs no account.
  caller_account account;
  allotment_verdict admission;  // By the account's allotment.
};

// Serves callers' online requests on one entry host: finds the route, selects
// endpoints, sends the request and forwards the response. Runs on the event
// loop's thread.
class entry_duty {
 public:
  struct options {
    endpoint_selector_options selector;
    wire_profile wire;
    uint64_t seed = 1;
    // From which endpoints are called; empty: the system chooses.
    std::string endpoint_source_ip;
  };

  entry_duty(boost::asio::io_context& loop,
             const clock_source& clock,
             options options,
             decision_log& log);
  ~entry_duty();

  // Requests a slot for an online request; nullopt if nobody can be asked, and
  // then the handler is not called. May be empty: this host selects endpoints
  // by itself.
  using slot_reply_handler = std::function<void(slot_reply reply)>;
  // `may_wait`: the reply may come when a slot is free.
  std::function<std::optional<uint64_t>(queued_slot_request demand,
                                        bool may_wait,
                                        slot_reply_handler on_reply)>
      request_slot;
  // The request that awaits a slot has ended.
  std::function<void(uint64_t ticket)> cancel_slot;
  // Records where a stream that may be resumed began, by StreamKey(). Send at
  // once what the caller is about to see. May be empty.
  std::function<
      void(uint64_t stream, const stream_origin& origin, bool at_once)>
      record_stream;
  // Finds where a stream began that a caller resumes; the handler is called
  // once. May be empty.
  std::function<void(uint64_t stream,
                     stream_origin_client::find_handler on_found)>
      find_stream;
  // Finds out whether this host has heard of all endpoints that reported until
  // now; the handler is called once. May be empty: it has not.
  std::function<void(std::function<void(bool is_current)> on_done)>
      confirm_view;
  // Called when an attempt began or ended.
  std::function<void()> on_load_changed;

  // Applies a configuration unless one of the same or a higher version is in
  // force.
  void SetRoutes(route_configuration configuration);
  // Null until the first configuration is in force.
  const route_table* routes() const { return routes_ ? &*routes_ : nullptr; }
  void UpdateEndpoint(const endpoint_directory::entry& entry);

  // Serves a request of a route that is not for batch jobs.
  void Serve(const route& matched_route,
             caller_request request,
             std::shared_ptr<http_exchange> exchange);
  account_admission& admission() { return admission_; }
  const account_admission& admission() const { return admission_; }
  // From now on, requests that may still be under way at `end` are refused: the
  // host ends then.
  void RefuseBeyond(steady_time end) { last_deadline_ = end; }
  // Counts the responses that are kept until they are whole. Call before the
  // first request; the budget outlives the duty.
  void SetMemoryBudget(memory_budget* memory) { memory_ = memory; }
  // Ends requests whose deadline has passed; call every few milliseconds.
  void Tick(steady_time now);

  endpoint_selector& selector() { return selector_; }
  const endpoint_selector& selector() const { return selector_; }
  // Whether requests of a route may wait for a slot at the leader of the job
  // group: streams, where accounts compete.
  bool MayQueueForSlots(const route& of) const;
  size_t active_count() const { return active_.size(); }
  const entry_counters& counters() const { return counters_; }
  const entry_metrics& metrics() const { return metrics_; }
  // Hosts through which endpoints can be reached, in order of preference.
  void SetRelays(std::vector<relay_address> relays);
  const endpoint_connection_pool& connections() const { return pool_; }
  const crash_observer& crash_watch() const { return crash_observer_; }

 private:
  friend class routed_exchange;

  void ServeAdmitted(const route& matched_route,
                     caller_request request,
                     std::shared_ptr<http_exchange> exchange);
  void NotifyLoadChanged() const;
  // To be called with the head of every response, before anything else is
  // decided.
  void ReadLeaving(const selected_endpoint& from, const response_head& head);
  void ReadLimit(const selected_endpoint& from, const response_head& head);
  void ReadLoad(const selected_endpoint& from, const response_head& head);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const options options_;
  decision_log& log_;
  random_source random_;
  memory_budget* memory_ = nullptr;
  std::optional<route_table> routes_;
  route_history route_history_;
  endpoint_selector selector_;
  software_version_history versions_;
  endpoint_connection_pool pool_;
  crash_observer crash_observer_;
  account_admission admission_;
  retry_budget slow_retry_budget_;  // For retries of slow requests.
  entry_counters counters_;
  entry_metrics metrics_;
  usual_time_limit usual_time_limit_;
  std::set<std::shared_ptr<routed_exchange>> active_;
  std::optional<steady_time> last_deadline_;  // Of a request that is begun.
  steady_time last_tick_at_{};
  hold_up_record hold_ups_;
  steady_time next_sweep_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ENTRY_DUTY_H_
