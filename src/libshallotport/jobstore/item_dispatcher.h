#ifndef SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_
#define SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "entry/decision_log.h"
#include "entry/endpoint_selector.h"
#include "entry/event_splitter.h"
#include "entry/route_table.h"
#include "entry/wire_profile.h"
#include "eventio/endpoint_connection_pool.h"
#include "jobstore/item_expiry.h"
#include "jobstore/item_schedule.h"
#include "jobstore/job_table.h"
#include "jobstore/running_time.h"
#include "poison/crash_observer.h"
#include "streams/stream_messages.h"

namespace shallotport {

// Sends the items of open jobs to endpoints while this host leads the job
// group. Owned by job_store_duty; runs on its event loop. An item_schedule says
// which items are sent first. Items only take free slots: engines admit in
// order of arrival, so an item that waits in an engine would delay the online
// requests behind it. A broken attempt is resumed after its last event, at
// endpoints of the same service and software version; if none of them is ready
// any more, the item begins anew. Progress is committed every second, so that
// the next leader resumes there as well.
class item_dispatcher {
 public:
  // Result of proposing a command. kRefused: committed, but in conflict with
  // the replicated state. kNotProposed: certainly not committed. kUnknown:
  // leadership was lost and the command may or may not be committed.
  enum class commit_outcome : uint8_t {
    kCommitted,
    kRefused,
    kNotProposed,
    kUnknown
  };
  // Proposes a command to the job group; calls `done` once with the result.
  using proposer =
      std::function<void(const job_command& command,
                         std::function<void(commit_outcome outcome)> done)>;

  struct counters {
    uint64_t finished = 0;
    uint64_t restarted = 0;  // Begun anew at another service or version.
    uint64_t yielded = 0;    // Aborted to free slots for online requests.
    uint64_t silent = 0;
    uint64_t broken = 0;
    // Of these, attempts whose head was not of an event stream of the endpoint,
    // and those with an event that did not follow the last one.
    uint64_t unusable_heads = 0;
    uint64_t events_out_of_order = 0;
    uint64_t refused = 0;      // By endpoints without a free slot.
    uint64_t poison = 0;       // Not sent: endpoints crash under their prompts.
    uint64_t expired = 0;      // Given up after their retention.
    uint64_t route_ended = 0;  // Given up after the end of their route.
    uint64_t endpoints_leaving = 0;  // Said so in a response to an item.
    uint64_t malformed_leave_notices = 0;
    uint64_t attempts_at_limited = 0;  // At endpoints that had named a limit.
    uint64_t malformed_limits = 0;
  };

  struct options {
    wire_profile wire;
    // Share of a service's slots that stays free when an item's attempt begins,
    // so that most online requests find a free one; see online_reserve.h for
    // services with few slots. An online request that is granted a slot of an
    // item's attempt aborts that attempt.
    double online_reserve = 0.04;
    // An attempt that receives no whole event for this long is retried at
    // another endpoint: single bytes do not keep a stalled one. Engines emit an
    // event every few tens of milliseconds; processing a prompt behind others
    // takes under a second.
    duration silence_timeout = std::chrono::seconds(3);
    uint64_t seed = 1;
  };

  item_dispatcher(boost::asio::io_context& loop,
                  const clock_source& clock,
                  options options,
                  const job_table& table,
                  endpoint_selector& endpoints,
                  decision_log& log,
                  proposer propose);
  ~item_dispatcher();

  // Called after an endpoint said in a response for the first time that it
  // leaves, and `endpoints` was told. May be empty.
  std::function<void(const endpoint_start& start)> on_endpoint_leaving;

  // Items are sent only while this host leads. Losing leadership aborts all
  // attempts and discards uncommitted progress.
  void SetLeading(bool is_leading);
  // Aborts the attempts of a job that was cancelled or removed. To be called
  // whenever a job changes.
  void OnJobChanged(const job_id& job);
  // Aborts silent attempts, yields to online requests, commits progress and
  // begins attempts as far as there are free slots.
  void Tick(steady_time now, const route_table* routes);

  // Aborts one attempt at an endpoint that has more requests than slots; false
  // if there is none.
  bool YieldSlot(steady_time now, const endpoint_id& endpoint);

  void SetRelays(std::vector<relay_address> relays) {
    pool_.paths().SetRelays(std::move(relays));
  }
  const counters& totals() const { return counters_; }
  const endpoint_connection_pool& connections() const { return pool_; }
  const crash_observer& crash_watch() const { return crash_observer_; }
  size_t running_count() const { return attempts_.size(); }

 private:
  struct item_attempt;
  struct pending_item;
  struct dispatch_round;
  // An endpoint, and what runs there.
  struct item_selection {
    selected_endpoint endpoint;
    stream_origin origin;
  };

  void BeginAttempt(steady_time now,
                    const route_table& routes,
                    const item_key& key,
                    dispatch_round& round);
  // Selects an endpoint at which an item can begin, be resumed or begin anew.
  std::optional<item_selection> SelectForItem(steady_time now,
                                              const route& item_route,
                                              const item_key& key,
                                              dispatch_round& round);
  std::optional<item_selection> AcquireSlot(
      steady_time now,
      const service_id& service,
      const std::optional<std::string>& software_version,
      const job_item& item,
      dispatch_round& round);
  request_traits TraitsOf(const job_item& item) const;
  observed_attempt Observed(const item_attempt& attempt) const;
  // The item's uncommitted state, which continues its committed progress.
  pending_item& PendingItem(const item_key& key);
  // Discards an item's text, committed and uncommitted.
  void DiscardText(const item_key& key,
                   pending_item& item_state,
                   const stream_origin& next_origin);
  void OnHead(const item_key& key, item_attempt& attempt, response_head head);
  void OnBody(const item_key& key,
              item_attempt& attempt,
              std::string_view bytes);
  // The endpoint's response is not, or not any more, the item's text.
  void OnFaultyResponse(const item_key& key,
                        const item_attempt& attempt,
                        std::string_view reason);
  void OnAttemptEnd(const item_key& key, call_end end);
  void OnResponse(const item_key& key, item_attempt& attempt);
  void AbortAttempt(const item_key& key,
                    endpoint_outcome outcome,
                    duration delay);
  // Aborts attempts at endpoints where online requests wait; they are resumed
  // later, after their last event.
  void YieldToOnline(steady_time now);
  // `now`: in running time.
  void AbortSilent(steady_time now);
  // Records items that end without another attempt as dead letters.
  void GiveUpExpired(steady_time now, const route_table& routes);
  void CommitProgress(steady_time now);
  void OnProgressCommitted(const item_key& key, commit_outcome outcome);
  // Aborts the attempt and discards uncommitted progress, of one item or of
  // all. The items are resumed from their committed progress.
  void DiscardUncommitted(const item_key& key);
  void DiscardAllUncommitted();
  bool HasSlotAboveReserve(steady_time now, const service_id& service) const;
  std::vector<item_key> Candidates(steady_time now) const;
  void ScheduleRetry(const item_key& key, duration delay);
  // Commits an item's result; `command` has its text and what it continues.
  void CommitResult(const item_key& key, job_command command);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const options options_;
  const job_table& table_;
  endpoint_selector& endpoints_;
  decision_log& log_;
  const proposer propose_;
  random_source random_;
  endpoint_connection_pool pool_;
  crash_observer crash_observer_;
  running_time running_time_;
  counters counters_;
  bool is_leading_ = false;
  std::map<item_key, std::shared_ptr<item_attempt>> attempts_;
  // Uncommitted state of items without a result, kept between attempts; cleared
  // when leadership is lost.
  std::map<item_key, pending_item> pending_items_;
  steady_time next_sweep_at_{};
  steady_time next_expiry_check_at_{};
  steady_time next_progress_commit_at_{};
  steady_time next_dispatch_at_{};
  item_schedule schedule_;
  item_expiry expiry_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_
