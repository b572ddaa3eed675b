#ifndef SHALLOTPORT_JOBSTORE_JOB_STORE_DUTY_H_
#define SHALLOTPORT_JOBSTORE_JOB_STORE_DUTY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "accounts/allotment_ledger.h"
#include "accounts/grant_exchange.h"
#include "base/result.h"
#include "entry/decision_log.h"
#include "entry/endpoint_selector.h"
#include "entry/route_table.h"
#include "eventio/relay_listener.h"
#include "fleet/fleet_host.h"
#include "fleet/group_healer.h"
#include "fleet/group_replica.h"
#include "jobstore/item_dispatcher.h"
#include "jobstore/job_table.h"
#include "poison/crash_exchange.h"
#include "ratelimits/limit_exchange.h"
#include "slots/slot_allocator.h"
#include "streams/stream_origins.h"

namespace shallotport {

struct job_store_options {
  fleet_host_options fleet;
  std::string data_folder;
  size_t voters = 3;
  endpoint_selector_options selector;
  item_dispatcher::options dispatcher;
  duration allotment_window = kDefaultAllotmentWindow;
};

// A job store: a host with a disk that is a member of the job group, which
// replicates batch jobs. The leader of the group replies to the entry hosts'
// calls about jobs, sends items to endpoints, and adds up the load that the
// entry hosts report for the endpoints. Every store relays connections for
// hosts that are cut off from the endpoints. Runs on the thread of `loop`.
class job_store_duty {
 public:
  // Parses a configuration document. Passed in, so that this class does not
  // depend on the operator's file format.
  using document_reader = std::function<result<route_configuration>(
      const configuration_document& document)>;

  job_store_duty(boost::asio::io_context& loop,
                 const clock_source& clock,
                 job_store_options options,
                 document_reader read_document,
                 decision_log& log);

  // Slot requests of entry hosts, by decision.
  struct slot_counters {
    uint64_t granted = 0;
    uint64_t refused = 0;
    uint64_t queued = 0;  // Of these, decided later than at once.
  };

  status Start();
  void Tick(steady_time now);
  void Stop(std::function<void()> done);

  bool IsLeading() const { return group_ != nullptr && group_->IsLeading(); }
  bool is_failed() const { return group_ != nullptr && group_->is_failed(); }
  sync_totals syncs() const {
    return group_ == nullptr ? sync_totals() : group_->syncs();
  }
  fleet_host& fleet() { return fleet_; }
  const job_table& table() const { return table_; }
  const item_dispatcher& dispatcher() const { return dispatcher_; }
  const relay_listener& relay() const { return relay_; }
  const endpoint_selector& endpoints() const { return endpoints_; }
  const allotment_ledger& allotments() const { return allotments_; }
  size_t slot_queue_size() const { return slots_.queued_count(); }
  const slot_counters& slot_totals() const { return slot_counters_; }

 private:
  struct waiting_read {
    job_read_request read;
    steady_time deadline{};
    std::function<void(std::string)> reply;
  };
  struct entry_load {
    steady_time received_at{};
    std::weak_ptr<host_link> link;
    std::set<uint32_t> endpoints;  // That it had requests at, by LoadKey().
  };

  status OpenGroupIfReady();
  void OnCall(const host_link& link,
              uint8_t method,
              std::string_view body,
              const std::function<void(std::string)>& reply);
  void Submit(std::string_view body,
              const std::function<void(std::string)>& reply);
  void Cancel(std::string_view body,
              const std::function<void(std::string)>& reply);
  void ProposeAndReply(const job_command& command,
                       const std::function<void(std::string)>& reply);
  void Read(std::string_view body,
            const std::function<void(std::string)>& reply);
  void ReadItem(std::string_view body,
                const std::function<void(std::string)>& reply);
  void ReplyToWaitingReads(const job_id& job);
  void ExpireWaitingReads(steady_time now);
  std::string NotLeaderReply() const;
  void GrantAllotment(const host_link& link,
                      std::string_view body,
                      const std::function<void(std::string)>& reply);
  std::vector<host_id> OtherVoters() const;
  void QueueSlot(const host_link& link,
                 std::string_view body,
                 const std::function<void(std::string)>& reply);
  // To entry hosts whose requests have waited for a slot.
  void SendGrants(steady_time now);
  // Counts the grant, and frees the slot if a batch request has it.
  void RecordGrant(steady_time now, const slot_decision& decision);
  void AllocateSlot(const host_link& link,
                    std::string_view body,
                    const std::function<void(std::string)>& reply);
  void RecordStreams(std::string_view payload);
  void FindStream(std::string_view body,
                  const std::function<void(std::string)>& reply) const;
  // Passes the batch requests at each endpoint to the allocator.
  void UpdateBatchLoad();
  // Whether this host grants slots and tokens: only under its lease, and when
  // it has heard of most hosts' load.
  bool CanAllocate(steady_time now) const;
  void RecordLoad(host_link& link, std::string_view payload);
  void PushLoadTotals(steady_time now);
  void Heal(steady_time now);
  void EndStop(steady_time now);
  void PushMembers();

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const job_store_options options_;
  const document_reader read_document_;
  decision_log& log_;
  fleet_host fleet_;
  job_table table_;
  endpoint_selector endpoints_;
  item_dispatcher dispatcher_;
  crash_exchange crashes_;
  limit_exchange limits_;
  group_healer healer_;
  std::unique_ptr<group_replica> group_;
  std::optional<route_table> routes_;
  std::list<waiting_read> waiting_reads_;
  std::map<std::string, entry_load> entry_loads_;
  relay_listener relay_;
  slot_allocator slots_;
  allotment_ledger allotments_;
  grant_exchange grants_;
  steady_time next_allotment_tick_{};
  steady_time next_features_at_{};
  slot_counters slot_counters_;
  stream_origins streams_;
  steady_time next_load_totals_at_{};
  bool was_dispatching_ = false;
  steady_time next_heal_at_{};
  steady_time next_members_push_at_{};
  steady_time next_relays_at_{};
  bool is_healing_ = false;
  // Of a planned stop.
  std::function<void()> on_stopped_;
  steady_time stop_begun_at_{};
  bool has_left_group_ = false;
  bool was_leading_ = false;
  steady_time leading_since_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_STORE_DUTY_H_
