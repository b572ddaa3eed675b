#ifndef SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_
#define SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "entry/decision_log.h"
#include "entry/endpoint_selector.h"
#include "entry/event_splitter.h"
#include "entry/route_table.h"
#include "entry/wire_profile.h"
#include "eventio/endpoint_connection_pool.h"
#include "jobstore/job_table.h"

namespace shallotport {

// Runs the items of open jobs at endpoints, for the leader of the job group.
// Items whose results are due first go first, those that can no longer be in
// time last. Items take only places above a reserve for online requests:
// engines admit in order of arrival, so an item that waits in an engine would
// be in an online request's way. A run that broke goes on after its last event;
// progress is committed every second, so that the next leader goes on there,
// too.
class item_dispatcher {
 public:
  // What became of a command: kRefused means that it was committed but does
  // not fit the state, kUnknown that leadership was lost.
  enum class commit_outcome : uint8_t {
    kCommitted,
    kRefused,
    kNotProposed,
    kUnknown
  };
  // Has a command committed.
  using proposer =
      std::function<void(const job_command& command,
                         std::function<void(commit_outcome outcome)> done)>;

  struct counters {
    uint64_t finished = 0;
    uint64_t yielded = 0;  // Made way for online requests.
    uint64_t silent = 0;
    uint64_t broken = 0;
    uint64_t refused = 0;  // By endpoints without room.
  };

  struct options {
    wire_profile wire;
    // Places of each endpoint that stay free when an item begins: online
    // requests find one at once, and runs are cut when it is taken.
    uint32_t online_reserve = 1;
    // A run whose endpoint says nothing for so long is tried elsewhere. Engines
    // make an event every few tens of milliseconds; reading a prompt behind
    // others takes under a second.
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

  // Runs items while this host leads; stops all runs when it does not.
  void SetLeading(bool is_leading);
  // A job was accepted or ended.
  void OnJobChanged(const job_id& job);
  // Starts what has room.
  void Tick(steady_time now, const route_table* routes);

  const counters& totals() const { return counters_; }
  size_t running_count() const { return attempts_.size(); }

 private:
  using item_key = std::pair<job_id, uint32_t>;
  struct item_attempt;
  struct pending_item;

  bool BeginAttempt(steady_time now,
                    const route_table& routes,
                    const item_key& key);
  void OnAttemptEnd(const item_key& key, call_end end);
  void OnResponse(const item_key& key, item_attempt& attempt);
  void AbortAttempt(const item_key& key,
                    endpoint_outcome outcome,
                    duration delay);
  // Cuts runs at endpoints where online requests have taken the reserve; they
  // go on later, after their last event.
  void YieldToOnline(steady_time now);
  void AbortSilent(steady_time now);
  void CommitProgress(steady_time now);
  void OnProgressCommitted(const item_key& key, commit_outcome outcome);
  // Forgets what is not committed, of one item or of all.
  void DiscardUncommitted(const item_key& key);
  void DiscardAllUncommitted();
  std::vector<item_key> Candidates(steady_time now) const;
  void ScheduleRetry(const item_key& key, duration delay);
  // Lists an item's result, whose text goes on after `base_event`.
  void CommitResult(const item_key& key,
                    item_result result,
                    const std::string& base_event);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const options options_;
  const job_table& table_;
  endpoint_selector& endpoints_;
  decision_log& log_;
  const proposer propose_;
  random_source random_;
  endpoint_connection_pool pool_;
  counters counters_;
  bool is_leading_ = false;
  std::map<item_key, std::shared_ptr<item_attempt>> attempts_;
  // What is known of items between runs; gone with the leadership.
  std::map<item_key, pending_item> pending_items_;
  steady_time next_sweep_at_{};
  steady_time next_progress_commit_at_{};
  steady_time next_dispatch_at_{};
  // Moving average of how long whole items run.
  duration expected_duration_ = std::chrono::seconds(4);
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ITEM_DISPATCHER_H_
