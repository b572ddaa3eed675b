#ifndef SHALLOTPORT_ENTRYHOST_ENTRY_HOST_H_
#define SHALLOTPORT_ENTRYHOST_ENTRY_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "accounts/allotment_client.h"
#include "entry/decision_log.h"
#include "entry/entry_duty.h"
#include "eventio/http_listener.h"
#include "eventio/memory_budget.h"
#include "fleet/fleet_host.h"
#include "jobstore/job_store_client.h"
#include "poison/crash_exchange.h"
#include "ratelimits/limit_exchange.h"
#include "slots/slot_client.h"
#include "streams/stream_origin_client.h"

namespace shallotport {

struct entry_host_options {
  fleet_host_options fleet;
  entry_duty::options entry;
  std::string listen_ip;
  uint16_t listen_port = 0;
  // From the request to stop until the process is killed.
  duration stop_grace = std::chrono::seconds(8);
  duration allotment_window = kDefaultAllotmentWindow;
  // Of what may be held for callers.
  size_t memory_limit = 128u << 20;
};

// A host between callers and endpoints. Receives the configuration and the
// endpoints from the control hosts, and continues with the last known ones
// while it is partitioned from them. Runs on one event loop.
class entry_host {
 public:
  using document_reader = std::function<result<route_configuration>(
      const configuration_document& document)>;

  entry_host(boost::asio::io_context& loop,
             const clock_source& clock,
             entry_host_options options,
             document_reader read_document,
             http_listener::request_handler on_request,
             decision_log& log);
  ~entry_host();

  status Start();
  void Tick(steady_time now);
  // Drains: `done` is called when no caller is connected any more or the grace
  // period ends.
  void Stop(std::function<void()> done);

  // True when new callers should be sent to this host.
  bool IsReady() const;

  // Whether control hosts have a newer configuration than this host, or may
  // have one: none of them is linked.
  bool MayLackConfiguration() const;
  // Version of the configuration in force here; 0: none yet.
  uint64_t configuration_version() const { return fleet_.document().version; }
  entry_duty& duty() { return duty_; }
  const entry_duty& duty() const { return duty_; }
  job_store_client& jobs() { return jobs_; }
  const slot_client& slots() const { return slots_; }
  const allotment_client& allotments() const { return allotments_; }
  fleet_host& fleet() { return fleet_; }
  const memory_budget& memory() const { return memory_; }
  const http_listener& callers() const { return callers_; }

 private:
  void ExchangeLoad(steady_time now);
  void ApplyLoadTotals(host_link& link, std::string_view payload);
  bool HasCompleteView() const;
  void UpdatePaths(steady_time now);
  void Drain(steady_time now);

  const clock_source& clock_;
  const entry_host_options options_;
  const document_reader read_document_;
  decision_log& log_;
  memory_budget memory_;  // Held for callers.
  fleet_host fleet_;
  entry_duty duty_;
  job_store_client jobs_;
  slot_client slots_;
  allotment_client allotments_;
  stream_origin_client streams_;
  crash_exchange crashes_;
  limit_exchange limits_;
  http_listener callers_;
  std::string last_sent_report_;  // Encoded.
  std::map<uint32_t, uint32_t>
      sent_load_;  // Requests by LoadKey() of their endpoint.
  steady_time load_sent_at_{};
  std::string totals_sender_ip_;  // The job store that sums the loads.
  steady_time totals_received_at_{};
  steady_time next_sweep_{};
  bool is_draining_ = false;
  bool had_control_link_ = false;
  bool was_cut_off_ = false;
  // Since when all control hosts are linked; nullopt: they are not.
  std::optional<steady_time> all_linked_since_;
  steady_time drain_started_at_{};
  bool is_closing_ = false;
  // Of the planned stop: what is still under way is ended.
  steady_time end_{};
  std::function<void()> on_drained_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRYHOST_ENTRY_HOST_H_
