#include "entryhost/entry_host.h"

#include <algorithm>
#include <utility>

#include "base/codec.h"
#include "entry/poison_log.h"
#include "eventio/host_link.h"

namespace shallotport {

namespace {

// Changed load is sent at once, but not more often than this.
constexpr std::chrono::milliseconds kChangedLoadInterval{5};
// While the load is sent to all job stores.
constexpr std::chrono::milliseconds kLoadToAllInterval{150};
constexpr std::chrono::milliseconds kUnchangedLoadInterval{250};
// Without totals for this long, the load is sent to all job stores: the leader
// of the job group may have changed.
constexpr std::chrono::milliseconds kTotalsTimeout{700};
constexpr std::chrono::milliseconds kSweepInterval{300};
// The reports that a control host knows are received within this time after the
// link to it is up.
constexpr std::chrono::milliseconds kReportSettleTime{300};
// For control hosts to confirm that this host is in step.
constexpr std::chrono::milliseconds kViewTimeout{200};
// The load balancer checks readiness every second and removes a host after two
// failed checks.
constexpr std::chrono::milliseconds kAcceptWhileDraining{2'600};
// Part of the grace period that is kept for the exit of the process.
constexpr std::chrono::milliseconds kExitMargin{600};

}  // namespace

entry_host::entry_host(boost::asio::io_context& loop,
                       const clock_source& clock,
                       entry_host_options options,
                       document_reader read_document,
                       http_listener::request_handler on_request,
                       decision_log& log)
    : clock_(clock),
      options_(std::move(options)),
      read_document_(std::move(read_document)),
      log_(log),
      memory_(options_.memory_limit),
      fleet_(loop, clock, options_.fleet, true),
      duty_(loop, clock, options_.entry, log),
      jobs_(loop, clock, fleet_),
      slots_(clock, fleet_),
      allotments_(clock,
                  fleet_,
                  options_.entry.seed,
                  options_.allotment_window),
      streams_(clock, fleet_),
      crashes_(fleet_, duty_.selector().crashes()),
      limits_(fleet_, duty_.selector().limits()),
      callers_(loop, clock, std::move(on_request)) {
  callers_.SetMemoryBudget(&memory_);
  duty_.SetMemoryBudget(&memory_);
  fleet_.on_document = [this](const configuration_document& document) {
    auto read = read_document_(document);
    if (!IsOk(read)) {
      log_.LogState("config_unreadable", {{"reason", ErrorOf(read).detail}});
      return;
    }
    const caller_limits limits = ValueOf(read).limits;
    callers_.SetLimits({limits.header_bytes, limits.body_bytes,
                        limits.header_timeout, limits.idle_timeout});
    log_.LogState("config_in_force",
                  {{"version", static_cast<int64_t>(document.version)}});
    allotments_.SetAccounts(ValueOf(read).accounts);
    duty_.SetRoutes(std::move(ValueOf(read)));
  };
  fleet_.on_endpoint = [this](const endpoint_directory::entry& entry) {
    const bool was_serving = duty_.selector().IsServing(entry.report.endpoint);
    duty_.UpdateEndpoint(entry);
    if (was_serving != duty_.selector().IsServing(entry.report.endpoint)) {
      log_.LogState(was_serving ? "endpoint_leaves" : "endpoint_ready",
                    {{"endpoint", entry.report.endpoint.text()},
                     {"service", entry.report.service.text()},
                     {"software_version", entry.report.software_version},
                     {"sequence", static_cast<int64_t>(entry.report.sequence)},
                     {"age_ms", int64_t{entry.report.age_ms}}});
    }
  };
  fleet_.on_endpoint_replaced = [this](const endpoint_id& endpoint) {
    if (duty_.selector().IsServing(endpoint)) {
      log_.LogState("endpoint_replaced", {{"endpoint", endpoint.text()}});
    }
    duty_.selector().Remove(endpoint);
  };
  duty_.admission().SetAllotments(&allotments_);
  duty_.request_slot =
      [this](
          queued_slot_request demand, bool may_wait,
          entry_duty::slot_reply_handler on_reply) -> std::optional<uint64_t> {
    if (may_wait && slots_.CanQueue()) {
      return slots_.Queue(std::move(demand), std::move(on_reply));
    }
    if (slots_.Request(demand.request, std::move(on_reply))) {
      return 0;
    }
    return std::nullopt;
  };
  duty_.cancel_slot = [this](uint64_t ticket) { slots_.Cancel(ticket); };
  duty_.record_stream = [this](uint64_t stream, const stream_origin& origin,
                               bool at_once) {
    streams_.Record(stream, origin);
    if (at_once) {
      streams_.Flush();
    }
  };
  duty_.find_stream = [this](uint64_t stream,
                             stream_origin_client::find_handler on_found) {
    streams_.Find(stream, std::move(on_found));
  };
  duty_.confirm_view = [this](std::function<void(bool)> on_done) {
    if (HasCompleteView()) {
      fleet_.ConfirmView(kViewTimeout, std::move(on_done));
    } else {
      on_done(false);
    }
  };
  duty_.on_load_changed = [this] { ExchangeLoad(clock_.Now()); };
  fleet_.on_unhandled_frame = [this](host_link& link, uint8_t kind,
                                     std::string_view payload) {
    if (kind == static_cast<uint8_t>(fleet_frame::kLoadTotals)) {
      ApplyLoadTotals(link, payload);
    } else if (kind == static_cast<uint8_t>(fleet_frame::kSlotGrant)) {
      const auto grant = DecodeGrowing<slot_grant>(payload);
      if (IsOk(grant)) {
        slots_.OnGrant(ValueOf(grant));
      }
    } else if (kind == static_cast<uint8_t>(fleet_frame::kLeaderFeatures)) {
      const auto features = DecodeGrowing<leader_features>(payload);
      if (IsOk(features)) {
        slots_.SetFeatures(link.ip(), ValueOf(features).flags);
      }
    } else if (!limits_.OnFrame(clock_.Now(), kind, payload) &&
               !allotments_.OnFrame(clock_.Now(), kind, payload)) {
      crashes_.OnFrame(clock_.Now(), link, kind, payload);
    }
  };
  crashes_.on_change = [this](const block_change& change) {
    LogBlockChange(log_, change);
  };
  crashes_.on_start_ended = [this](uint64_t start_key, duration age,
                                   bool has_broken) {
    duty_.selector().RecordEndedByKey(clock_.Now() - age, start_key,
                                      has_broken);
  };
}

// Open callers' connections end requests when the listener is destroyed.
entry_host::~entry_host() {
  duty_.on_load_changed = nullptr;
  duty_.admission().SetAllotments(nullptr);
  duty_.cancel_slot = nullptr;
}

status entry_host::Start() {
  if (status started = fleet_.Start(); !IsOk(started)) {
    return started;
  }
  return callers_.Listen(options_.listen_ip, options_.listen_port);
}

bool entry_host::IsReady() const {
  return !is_draining_ && duty_.routes() != nullptr &&
         !duty_.connections().paths().IsStranded(clock_.Now());
}

bool entry_host::MayLackConfiguration() const {
  return fleet_.documents().behind_since() || !fleet_.HasControlLink();
}

void entry_host::UpdatePaths(steady_time now) {
  duty_.SetRelays(fleet_.Relays());
  const path_monitor& paths = duty_.connections().paths();
  if (paths.IsCutOff() == was_cut_off_) {
    return;
  }
  was_cut_off_ = paths.IsCutOff();
  const auto relay = paths.FirstRelay(now);
  log_.LogState(was_cut_off_ ? "endpoints_cut_off" : "endpoints_reached",
                {{"relay", relay ? relay->ip : ""}});
}

void entry_host::Tick(steady_time now) {
  fleet_.Tick(now);
  duty_.Tick(now);
  ExchangeLoad(now);
  streams_.Tick(now);
  crashes_.Tick(now);
  limits_.Tick(now);
  allotments_.Tick(now);
  slots_.Tick(now);
  if (!fleet_.HasAllControlLinks()) {
    all_linked_since_.reset();
  } else if (!all_linked_since_) {
    all_linked_since_ = now;
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    callers_.Sweep(now);
    UpdatePaths(now);
    const bool has_control_link = fleet_.HasControlLink();
    if (has_control_link != had_control_link_) {
      had_control_link_ = has_control_link;
      log_.LogState(has_control_link ? "control_regained" : "control_lost",
                    {{"config_version",
                      static_cast<int64_t>(fleet_.document().version)}});
    }
  }
  if (is_draining_) {
    Drain(now);
  }
}

bool entry_host::HasCompleteView() const {
  return all_linked_since_ &&
         clock_.Now() >= *all_linked_since_ + kReportSettleTime;
}

void entry_host::ExchangeLoad(steady_time now) {
  load_report report;
  for (const auto& [endpoint, running] : duty_.selector().OwnLoad()) {
    report.entries.push_back(
        {LoadKey(endpoint), static_cast<uint16_t>(running)});
  }
  report.leaving = duty_.selector().leaving().OwnRecent(now);
  std::string encoded = Encode(report);
  const bool has_leader = now < totals_received_at_ + kTotalsTimeout;
  const duration interval = encoded == last_sent_report_
                                ? duration(kUnchangedLoadInterval)
                            : has_leader ? duration(kChangedLoadInterval)
                                         : duration(kLoadToAllInterval);
  if (now < load_sent_at_ + interval) {
    return;
  }
  load_sent_at_ = now;
  sent_load_.clear();
  for (const load_entry& each : report.entries) {
    sent_load_[each.endpoint] = each.running;
  }
  last_sent_report_ = std::move(encoded);
  constexpr auto kKind = static_cast<uint8_t>(fleet_frame::kLoad);
  if (has_leader) {
    fleet_.hub().Send(totals_sender_ip_, kKind, last_sent_report_);
    return;
  }
  for (const host_announcement& store : fleet_.LiveHosts(host_role::kStore)) {
    fleet_.hub().Send(store.host.text(), kKind, last_sent_report_);
  }
}

void entry_host::ApplyLoadTotals(host_link& link, std::string_view payload) {
  const auto decoded = Decode<load_report>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const steady_time now = clock_.Now();
  totals_sender_ip_ = link.ip();
  totals_received_at_ = now;
  slots_.SetLeader(now, link.ip());
  allotments_.SetLeader(now, link.ip());
  streams_.SetLeader(now, link.ip());
  limits_.SetLeader(now, link.ip());
  for (const endpoint_start& each : ValueOf(decoded).leaving) {
    duty_.selector().RecordLeaving(now, each,
                                   leaving_endpoints::origin::kOtherHost);
  }
  std::map<uint32_t, uint32_t> peer_loads;
  for (const load_entry& each : ValueOf(decoded).entries) {
    const auto own = sent_load_.find(each.endpoint);
    const uint32_t sent = own == sent_load_.end() ? 0 : own->second;
    peer_loads[each.endpoint] =
        each.running - std::min<uint32_t>(each.running, sent);
  }
  for (const auto& [id, entry] : fleet_.endpoints().entries()) {
    const auto found = peer_loads.find(LoadKey(id));
    duty_.selector().SetPeerLoad(now, id,
                                 found == peer_loads.end() ? 0 : found->second);
  }
}

void entry_host::Stop(std::function<void()> done) {
  if (std::exchange(is_draining_, true)) {
    return;
  }
  drain_started_at_ = clock_.Now();
  on_drained_ = std::move(done);
  callers_.StartDraining();
  end_ = drain_started_at_ + options_.stop_grace - kExitMargin;
  duty_.RefuseBeyond(end_);
}

void entry_host::Drain(steady_time now) {
  // Connections also become idle later, without having been told that they will
  // be closed: the response in progress may have begun before the stop.
  const bool was_closing = std::exchange(
      is_closing_, now >= drain_started_at_ + kAcceptWhileDraining);
  if (is_closing_) {
    callers_.CloseIdle(now);
  }
  // The last connections to be accepted are counted from the next turn of the
  // event loop on.
  const bool is_empty = was_closing && callers_.connection_count() == 0;
  if ((is_empty || now >= end_) && on_drained_) {
    callers_.EndAll();
    std::exchange(on_drained_, nullptr)();
  }
}

}  // namespace shallotport
