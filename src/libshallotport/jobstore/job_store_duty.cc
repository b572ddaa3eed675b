#include "jobstore/job_store_duty.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "accounts/allotment_messages.h"
#include "base/codec.h"
#include "entry/poison_log.h"
#include "eventio/host_link.h"

namespace shallotport {

namespace {

constexpr uint32_t kJobGroup = 2;
constexpr std::chrono::milliseconds kHealingInterval{200};
constexpr std::chrono::milliseconds kMembersPushInterval{300};
// Of the leadership, before a stop.
constexpr std::chrono::milliseconds kHandoverTimeout{2'500};
constexpr std::chrono::milliseconds kRelaysInterval{300};
// An entry host that reports no load for this long has failed or is
// partitioned.
constexpr std::chrono::milliseconds kLoadTimeout{1'000};
// A new leader receives the load of most entry hosts within this time.
constexpr std::chrono::milliseconds kLoadSettleTime{300};
constexpr std::chrono::milliseconds kAllotmentInterval{100};
constexpr std::chrono::milliseconds kFeaturesInterval{500};
constexpr uint64_t kSnapshotAfterBytes = 24u << 20;
constexpr uint32_t kSnapshotAfterEntries = 8'000;
constexpr uint32_t kTrailingEntries = 1'000;
constexpr uint32_t kSegmentBytes = 8u << 20;
// The memory budget of a store is little more than 100 MB in all; a member that
// lags further behind is served from the log files.
constexpr uint64_t kLogMemoryBytes = 6u << 20;
constexpr uint64_t kFlightBytes = 1u << 20;

replica_options GroupOptions(const job_store_options& options,
                             const std::vector<host_id>& founders) {
  replica_options group = MakeGroupOptions(
      kJobGroup, options.fleet.self, options.data_folder + "/jobs", founders);
  group.snapshot_after_bytes = kSnapshotAfterBytes;
  group.snapshot_after_entries = kSnapshotAfterEntries;
  group.trailing_entries = kTrailingEntries;
  group.segment_bytes = kSegmentBytes;
  group.log_memory_bytes = kLogMemoryBytes;
  group.max_in_flight_bytes = kFlightBytes;
  return group;
}

// Job stores pass on what entry hosts saw of endpoints that crash.
endpoint_selector_options StoreSelectorOptions(
    endpoint_selector_options options) {
  options.crash_role = crash_attribution::role::kRelay;
  return options;
}

// All errors but kNoQuorum guarantee that the command was not proposed.
item_dispatcher::commit_outcome CommitOutcomeOf(
    const result<std::string>& reply) {
  if (IsOk(reply)) {
    const auto decoded_reply = Decode<job_store_reply>(ValueOf(reply));
    const bool is_refused =
        IsOk(decoded_reply) &&
        ValueOf(decoded_reply).kind == job_store_reply_kind::kConflict;
    return is_refused ? item_dispatcher::commit_outcome::kRefused
                      : item_dispatcher::commit_outcome::kCommitted;
  }
  return ErrorOf(reply).kind == error_kind::kNoQuorum
             ? item_dispatcher::commit_outcome::kUnknown
             : item_dispatcher::commit_outcome::kNotProposed;
}

}  // namespace

job_store_duty::job_store_duty(boost::asio::io_context& loop,
                               const clock_source& clock,
                               job_store_options options,
                               document_reader read_document,
                               decision_log& log)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      read_document_(std::move(read_document)),
      log_(log),
      fleet_(loop, clock, options_.fleet, true),
      endpoints_(StoreSelectorOptions(options_.selector)),
      dispatcher_(
          loop,
          clock,
          options_.dispatcher,
          table_,
          endpoints_,
          log,
          [this](const job_command& command,
                 std::function<void(item_dispatcher::commit_outcome)> done) {
            group_->Propose(
                EncodeJobCommand(command),
                [done = std::move(done)](const result<std::string>& outcome) {
                  done(CommitOutcomeOf(outcome));
                });
          }),
      crashes_(fleet_, endpoints_.crashes()),
      limits_(fleet_, endpoints_.limits()),
      healer_({options_.voters}),
      relay_(loop,
             [this](const endpoint_address& address) {
               return fleet_.endpoints().HasAddress(address);
             }),
      slots_(endpoints_.limits()),
      allotments_(options_.allotment_window),
      grants_(clock, fleet_, allotments_, options_.allotment_window) {
  table_.on_changed = [this](const job_id& job) {
    dispatcher_.OnJobChanged(job);
    ReplyToWaitingReads(job);
  };
  fleet_.on_document = [this](const configuration_document& document) {
    auto read = read_document_(document);
    if (IsOk(read)) {
      allotments_.Update(ValueOf(read).accounts);
      routes_.emplace(std::move(ValueOf(read)));
    } else {
      log_.LogState("config_unreadable", {{"reason", ErrorOf(read).detail}});
    }
  };
  dispatcher_.on_endpoint_leaving = [this](const endpoint_start& start) {
    slots_.RecordLeaving(clock_.Now(), start);
  };
  fleet_.on_endpoint = [this](const endpoint_directory::entry& entry) {
    const endpoint_report& report = entry.report;
    const steady_time started_at = StartedAt(clock_, report);
    endpoints_.Update(report, started_at);
    endpoints_.ConfirmStart(
        entry.received_at, {report.endpoint, report.start_time_ms}, started_at);
    slots_.Update(report);
  };
  fleet_.on_endpoint_replaced = [this](const endpoint_id& endpoint) {
    endpoints_.Remove(endpoint);
    slots_.Remove(endpoint);
  };
  fleet_.on_consensus = [this](const host_id&, const group_envelope& envelope) {
    if (envelope.group == kJobGroup && group_ != nullptr) {
      group_->OnMessage(envelope.bytes);
    }
  };
  fleet_.on_unhandled_frame = [this](host_link& link, uint8_t kind,
                                     std::string_view payload) {
    if (kind == static_cast<uint8_t>(fleet_frame::kLoad)) {
      RecordLoad(link, payload);
    } else if (kind == static_cast<uint8_t>(fleet_frame::kStreams)) {
      RecordStreams(payload);
    } else if (kind == static_cast<uint8_t>(fleet_frame::kSlotCancel)) {
      const auto cancelled = DecodeGrowing<slot_cancellation>(payload);
      if (IsOk(cancelled)) {
        slots_.CancelQueued(link.peer_name, ValueOf(cancelled).ticket);
      }
    } else if (kind == static_cast<uint8_t>(fleet_frame::kAnnouncement)) {
      const auto host = Decode<host_announcement>(payload);
      if (IsOk(host)) {
        if (link.peer_name.empty()) {
          crashes_.OnHostLinked(clock_.Now(), link);
        }
        link.peer_name = ValueOf(host).host.text();
        link.peer_start_id = ValueOf(host).start_id;
        fleet_.RecordHost(ValueOf(host));
      }
    } else if (!limits_.OnFrame(clock_.Now(), kind, payload) &&
               !grants_.OnFrame(kind, payload)) {
      crashes_.OnFrame(clock_.Now(), link, kind, payload);
    }
  };
  crashes_.on_change = [this](const block_change& change) {
    LogBlockChange(log_, change);
  };
  crashes_.on_start_ended = [this](uint64_t start_key, duration age,
                                   bool has_broken) {
    endpoints_.RecordEndedByKey(clock_.Now() - age, start_key, has_broken);
  };
  fleet_.hub().on_call = [this](host_link& link, uint8_t method,
                                std::string_view body,
                                const std::function<void(std::string)>& reply) {
    OnCall(link, method, body, reply);
  };
}

status job_store_duty::Start() {
  if (status started = fleet_.Start(); !IsOk(started)) {
    return started;
  }
  const fleet_host_options& fleet = options_.fleet;
  if (fleet.relay_port != 0) {
    const std::string& bind_ip = fleet.link_bind_ip.empty()
                                     ? fleet.self.host.text()
                                     : fleet.link_bind_ip;
    if (status opened = relay_.Listen(bind_ip, fleet.relay_port);
        !IsOk(opened)) {
      return opened;
    }
  }
  return OpenGroupIfReady();
}

// On the first start of a fleet, waits until the control hosts have named the
// founding members. Later, a host with an empty disk joins as a learner.
status job_store_duty::OpenGroupIfReady() {
  const bool awaits_founders =
      options_.fleet.self.is_first_start && fleet_.job_founders().empty();
  if (group_ != nullptr || awaits_founders) {
    return success{};
  }
  auto opened = group_replica::Open(
      loop_, clock_, GroupOptions(options_, fleet_.job_founders()),
      replicated_slice::kJobs, table_,
      [this](const host_id& to, std::string bytes) {
        fleet_.SendConsensus(to, kJobGroup, std::move(bytes));
      });
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  group_ = std::move(ValueOf(opened));
  fleet_.SetDisk(group_->disk());
  return success{};
}

void job_store_duty::Tick(steady_time now) {
  fleet_.Tick(now);
  crashes_.Tick(now);
  EndStop(now);
  if (now >= next_relays_at_) {
    next_relays_at_ = now + kRelaysInterval;
    dispatcher_.SetRelays(fleet_.Relays());
  }
  if (group_ == nullptr) {
    const status opened = OpenGroupIfReady();
    if (!IsOk(opened)) {
      log_.LogState("job_group_failed", {{"reason", ErrorOf(opened).detail}});
    }
    return;
  }
  const bool is_leading = group_->IsLeading();
  if (was_leading_ != is_leading) {
    was_leading_ = is_leading;
    leading_since_ = now;
    grants_.SetLeading(now, is_leading, OtherVoters());
    slots_.ClearQueued();
    log_.LogState(
        is_leading ? "job_leadership_won" : "job_leadership_lost",
        {{"term", static_cast<int64_t>(group_->term())},
         {"grant_records", static_cast<int64_t>(grants_.record_count())}});
  }
  // A lapsed lease does not abort attempts; the election of another leader
  // does.
  dispatcher_.SetLeading(group_->IsTermLeader() &&
                         (is_leading || was_dispatching_));
  was_dispatching_ = group_->IsTermLeader() && (is_leading || was_dispatching_);
  if (is_leading) {
    limits_.TickLeading(now);
    if (now >= next_allotment_tick_) {
      next_allotment_tick_ = now + kAllotmentInterval;
      allotments_.Tick(now, fleet_.entry_host_count());
    }
    grants_.Tick(now, OtherVoters());
  } else {
    endpoints_.limits().SetShare(now, 0);
  }
  if (is_leading && now >= next_load_totals_at_ &&
      now >= leading_since_ + kLoadSettleTime) {
    next_load_totals_at_ = now + LoadTotalsInterval(entry_loads_.size());
    PushLoadTotals(now);
  }
  SendGrants(now);
  dispatcher_.Tick(now, routes_ ? &*routes_ : nullptr);
  ExpireWaitingReads(now);
  if (is_leading) {
    Heal(now);
    if (now >= next_members_push_at_) {
      next_members_push_at_ = now + kMembersPushInterval;
      PushMembers();
    }
  }
}

void job_store_duty::Stop(std::function<void()> done) {
  on_stopped_ = std::move(done);
  stop_begun_at_ = clock_.Now();
  relay_.StartDraining();
  if (group_ == nullptr) {
    has_left_group_ = true;
    return;
  }
  group_->Stop([this] { has_left_group_ = true; });
}

// Relayed connections are kept until their calls have ended.
void job_store_duty::EndStop(steady_time now) {
  const bool has_left =
      has_left_group_ || now >= stop_begun_at_ + kHandoverTimeout;
  if (on_stopped_ && has_left && relay_.tunnel_count() == 0) {
    std::exchange(on_stopped_, nullptr)();
  }
}

void job_store_duty::OnCall(const host_link& link,
                            uint8_t method,
                            std::string_view body,
                            const std::function<void(std::string)>& reply) {
  if (static_cast<fleet_call>(method) == fleet_call::kRequestSlot) {
    AllocateSlot(link, body, reply);
    return;
  }
  if (static_cast<fleet_call>(method) == fleet_call::kQueueSlot) {
    QueueSlot(link, body, reply);
    return;
  }
  if (static_cast<fleet_call>(method) == fleet_call::kRequestAllotment) {
    GrantAllotment(link, body, reply);
    return;
  }
  if (static_cast<fleet_call>(method) == fleet_call::kFindStream) {
    FindStream(body, reply);
    return;
  }
  if (static_cast<fleet_call>(method) == fleet_call::kReadGrantRecords) {
    reply(grants_.ReplyToRead(body));
    return;
  }
  if (!IsLeading()) {
    reply(NotLeaderReply());
    return;
  }
  switch (static_cast<fleet_call>(method)) {
    case fleet_call::kSubmitJob:
      Submit(body, reply);
      return;
    case fleet_call::kReadJob:
      Read(body, reply);
      return;
    case fleet_call::kReadItem:
      ReadItem(body, reply);
      return;
    case fleet_call::kEndJob:
      Cancel(body, reply);
      return;
    case fleet_call::kRequestSlot:
    case fleet_call::kRequestAllotment:
    case fleet_call::kQueueSlot:
    case fleet_call::kConfirmView:
    case fleet_call::kFindStream:
    case fleet_call::kReadGrantRecords:
      break;  // Handled above, or by control hosts only.
  }
  reply(Encode(job_store_reply{}));
}

std::string job_store_duty::NotLeaderReply() const {
  job_store_reply redirect;
  redirect.kind = job_store_reply_kind::kNotLeader;
  if (group_ != nullptr && group_->leader() != fleet_.self().host) {
    redirect.leader = group_->leader();
  }
  return Encode(redirect);
}

void job_store_duty::Submit(std::string_view body,
                            const std::function<void(std::string)>& reply) {
  auto decoded = Decode<job_submission>(body);
  if (!IsOk(decoded)) {
    reply(Encode(job_store_reply{}));
    return;
  }
  job_command command;
  command.kind = job_command_kind::kSubmit;
  command.submission = std::move(ValueOf(decoded));
  command.job = command.submission.job;
  const job_submission& job = command.submission;
  log_.LogRequest("job_submitted",
                  {{"job", job.job.text()},
                   {"route", job.route},
                   {"items", static_cast<int64_t>(job.items.size())},
                   {"waiting_tokens",
                    static_cast<int64_t>(table_.WaitingTokens(job.route))},
                   {"limit", static_cast<int64_t>(job.waiting_tokens_limit)},
                   {"known", int64_t{table_.Find(job.job) != nullptr ? 1 : 0}},
                   {"term", static_cast<int64_t>(group_->term())}});
  ProposeAndReply(command, reply);
}

void job_store_duty::Cancel(std::string_view body,
                            const std::function<void(std::string)>& reply) {
  auto decoded = Decode<job_read_request>(body);
  if (!IsOk(decoded)) {
    reply(Encode(job_store_reply{}));
    return;
  }
  job_command command;
  command.kind = job_command_kind::kCancel;
  command.job = ValueOf(decoded).job;
  ProposeAndReply(command, reply);
}

void job_store_duty::ProposeAndReply(
    const job_command& command,
    const std::function<void(std::string)>& reply) {
  group_->Propose(
      EncodeJobCommand(command),
      [this, reply, kind = command.kind,
       job = command.job](const result<std::string>& outcome) {
        const auto decoded_reply =
            IsOk(outcome) ? Decode<job_store_reply>(ValueOf(outcome))
                          : result<job_store_reply>(ErrorOf(outcome));
        const bool is_done =
            IsOk(decoded_reply) &&
            ValueOf(decoded_reply).kind == job_store_reply_kind::kDone;
        log_.LogRequest(
            kind == job_command_kind::kSubmit ? "job_answered" : "job_ended",
            {{"job", job.text()},
             {"outcome", is_done               ? std::string("committed")
                         : IsOk(decoded_reply) ? std::string("refused")
                                               : ErrorOf(outcome).detail}});
        if (IsOk(outcome)) {
          reply(ValueOf(outcome));
          return;
        }
        const bool may_commit = CommitOutcomeOf(outcome) ==
                                item_dispatcher::commit_outcome::kUnknown;
        reply(may_commit ? Encode(job_store_reply{}) : NotLeaderReply());
      });
}

void job_store_duty::Read(std::string_view body,
                          const std::function<void(std::string)>& reply) {
  auto decoded = Decode<job_read_request>(body);
  if (!IsOk(decoded)) {
    reply(Encode(job_store_reply{}));
    return;
  }
  const job_read_request& read = ValueOf(decoded);
  const job_store_reply contents = table_.Read(read.job, read.start_position);
  const auto* job = table_.Find(read.job);
  const bool can_wait = contents.kind == job_store_reply_kind::kDone &&
                        contents.results.empty() && read.wait_ms > 0 &&
                        job != nullptr && job->IsOpen();
  if (!can_wait) {
    reply(Encode(contents));
    return;
  }
  waiting_reads_.push_back(
      {read, clock_.Now() + std::chrono::milliseconds(read.wait_ms), reply});
}

void job_store_duty::ReadItem(std::string_view body,
                              const std::function<void(std::string)>& reply) {
  auto decoded = Decode<job_read_request>(body);
  if (!IsOk(decoded)) {
    reply(Encode(job_store_reply{}));
    return;
  }
  reply(
      Encode(table_.ReadItem(ValueOf(decoded).job, ValueOf(decoded).item_id)));
}

void job_store_duty::ReplyToWaitingReads(const job_id& job) {
  const auto* found = table_.Find(job);
  for (auto at = waiting_reads_.begin(); at != waiting_reads_.end();) {
    const bool is_ready = at->read.job == job && found != nullptr &&
                          found->results.size() > at->read.start_position;
    if (!is_ready) {
      ++at;
      continue;
    }
    at->reply(Encode(table_.Read(job, at->read.start_position)));
    at = waiting_reads_.erase(at);
  }
}

void job_store_duty::ExpireWaitingReads(steady_time now) {
  const bool is_leading = IsLeading();
  for (auto at = waiting_reads_.begin(); at != waiting_reads_.end();) {
    if (is_leading && now < at->deadline) {
      ++at;
      continue;
    }
    at->reply(is_leading
                  ? Encode(table_.Read(at->read.job, at->read.start_position))
                  : NotLeaderReply());
    at = waiting_reads_.erase(at);
  }
}

// Counts the requests that the entry hosts have at the endpoints. They limit
// the batch items of this host and are sent back to the entry hosts as peer
// load.
void job_store_duty::RecordLoad(host_link& link, std::string_view payload) {
  const auto decoded = Decode<load_report>(payload);
  if (!IsOk(decoded) || link.peer_name.empty()) {
    return;
  }
  const steady_time now = clock_.Now();
  entry_load& entry = entry_loads_[link.peer_name];
  entry.received_at = now;
  entry.link = link.weak_from_this();
  slots_.RecordLoad(now, link.peer_name, ValueOf(decoded));
  allotments_.RecordHost(now, link.peer_name);
  for (const endpoint_start& each : ValueOf(decoded).leaving) {
    endpoints_.RecordLeaving(now, each, leaving_endpoints::origin::kOtherHost);
  }
  // Endpoints where the host has no request any more are not listed.
  std::set<uint32_t>& counted = entry.endpoints;
  for (const load_entry& each : ValueOf(decoded).entries) {
    counted.insert(each.endpoint);
  }
  std::erase_if(counted, [&](uint32_t key) {
    const uint32_t online = slots_.OnlineLoad(key);
    const auto endpoint = slots_.endpoint_ids().find(key);
    if (endpoint != slots_.endpoint_ids().end()) {
      endpoints_.SetPeerLoad(now, endpoint->second, online);
    }
    return online == 0;
  });
  SendGrants(now);
}

void job_store_duty::RecordStreams(std::string_view payload) {
  const auto decoded = Decode<stream_report>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const steady_time now = clock_.Now();
  for (const stream_group& group : ValueOf(decoded).groups) {
    for (const uint64_t stream : group.streams) {
      streams_.Record(now, stream, group.origin);
    }
  }
}

// Whether this host leads does not matter: each store has a part of the
// records.
void job_store_duty::FindStream(
    std::string_view body,
    const std::function<void(std::string)>& reply) const {
  const auto decoded = Decode<stream_query>(body);
  stream_reply found;
  if (IsOk(decoded)) {
    const stream_origin* origin =
        streams_.Find(clock_.Now(), ValueOf(decoded).stream);
    found.is_known = origin != nullptr;
    found.origin = found.is_known ? *origin : stream_origin();
  }
  reply(Encode(found));
}

// A leader that Tick() has not noticed yet has inherited nothing.
bool job_store_duty::CanAllocate(steady_time now) const {
  return was_leading_ && IsLeading() && now >= leading_since_ + kLoadSettleTime;
}

void job_store_duty::UpdateBatchLoad() {
  for (const auto& [key, endpoint] : slots_.endpoint_ids()) {
    slots_.SetBatchLoad(key, endpoints_.OwnLoad(endpoint));
  }
}

// A batch request whose slot is granted is aborted at once, so that its slot is
// free when the online request arrives at the endpoint.
void job_store_duty::AllocateSlot(
    const host_link& link,
    std::string_view body,
    const std::function<void(std::string)>& reply) {
  auto decoded = Decode<slot_request>(body);
  const steady_time now = clock_.Now();
  if (!CanAllocate(now) || !IsOk(decoded) || link.peer_name.empty()) {
    reply(Encode(slot_reply{}));
    return;
  }
  UpdateBatchLoad();
  slot_request& request = ValueOf(decoded);
  for (const endpoint_id& each :
       endpoints_.UnconfirmedEndpoints(request.service)) {
    request.avoided_endpoints.push_back(LoadKey(each));
  }
  const slot_decision decision = slots_.Allocate(now, link.peer_name, request);
  reply(Encode(decision.reply));
  RecordGrant(now, decision);
}

void job_store_duty::RecordGrant(steady_time now,
                                 const slot_decision& decision) {
  if (decision.reply.kind == slot_reply_kind::kQueued) {
    ++slot_counters_.queued;
    return;
  }
  if (decision.reply.kind != slot_reply_kind::kGranted) {
    ++slot_counters_.refused;
    return;
  }
  ++slot_counters_.granted;
  const endpoint_id& endpoint = decision.reply.endpoint;
  endpoints_.SetPeerLoad(now, endpoint, slots_.OnlineLoad(LoadKey(endpoint)));
  if (decision.needs_yield) {
    dispatcher_.YieldSlot(now, endpoint);
  }
}

void job_store_duty::QueueSlot(const host_link& link,
                               std::string_view body,
                               const std::function<void(std::string)>& reply) {
  auto decoded = DecodeGrowing<queued_slot_request>(body);
  const steady_time now = clock_.Now();
  if (!CanAllocate(now) || !IsOk(decoded) || link.peer_name.empty()) {
    reply(Encode(slot_reply{}));
    return;
  }
  UpdateBatchLoad();
  queued_slot_request& demand = ValueOf(decoded);
  for (const endpoint_id& each :
       endpoints_.UnconfirmedEndpoints(demand.request.service)) {
    demand.request.avoided_endpoints.push_back(LoadKey(each));
  }
  const slot_decision decision =
      slots_.AllocateOrQueue(now, link.peer_name, demand);
  reply(Encode(decision.reply));
  RecordGrant(now, decision);
}

void job_store_duty::SendGrants(steady_time now) {
  if (!CanAllocate(now) || !slots_.HasQueued()) {
    return;
  }
  UpdateBatchLoad();
  for (const queued_slot_decision& each : slots_.TakeQueued(now)) {
    const auto entry = entry_loads_.find(each.host);
    const auto link =
        entry == entry_loads_.end() ? nullptr : entry->second.link.lock();
    if (link != nullptr) {
      link->Send(static_cast<uint8_t>(fleet_frame::kSlotGrant),
                 Encode(slot_grant{each.ticket, each.decision.reply}));
    }
    RecordGrant(now, each.decision);
  }
}

// Only the leader under its lease grants: two that grant at once would grant
// the allotments twice. Without a configuration it would take every account for
// one without a limit.
void job_store_duty::GrantAllotment(
    const host_link& link,
    std::string_view body,
    const std::function<void(std::string)>& reply) {
  const auto needs = DecodeNeeds(body);
  const steady_time now = clock_.Now();
  if (!CanAllocate(now) || !routes_ || !IsOk(needs) || link.peer_name.empty()) {
    reply(NotLeaderReply());
    return;
  }
  std::vector<allotment_grant> grants;
  grants.reserve(ValueOf(needs).size());
  const host_start host{link.peer_name, link.peer_start_id};
  for (const allotment_need& each : ValueOf(needs)) {
    grants.push_back(allotments_.Take(now, host, each));
  }
  reply(EncodeGrants(grants));
}

std::vector<host_id> job_store_duty::OtherVoters() const {
  std::vector<host_id> voters;
  for (const group_member& each : group_->membership().members) {
    if (each.is_voter && each.host != fleet_.self().host) {
      voters.push_back(each.host);
    }
  }
  return voters;
}

// Every entry host gets the same totals and subtracts its own load.
void job_store_duty::PushLoadTotals(steady_time now) {
  for (auto at = entry_loads_.begin(); at != entry_loads_.end();) {
    if (now <= at->second.received_at + kLoadTimeout) {
      ++at;
      continue;
    }
    slots_.RemoveHost(at->first);
    at = entry_loads_.erase(at);
  }
  load_report totals;
  totals.leaving = endpoints_.leaving().Recent(now);
  for (const auto& [key, endpoint] : slots_.endpoint_ids()) {
    const uint32_t online = slots_.OnlineLoad(key);
    endpoints_.SetPeerLoad(now, endpoint, online);
    const uint32_t total = online + endpoints_.OwnLoad(endpoint);
    if (total > 0) {
      totals.entries.push_back({key, static_cast<uint16_t>(total)});
    }
  }
  const std::string encoded = Encode(totals);
  const std::vector<uint64_t> busy = allotments_.BusyAccounts(now);
  const std::string busy_accounts =
      busy.empty() ? std::string() : EncodeBusyAccounts(busy);
  const bool names_features = now >= next_features_at_;
  if (names_features) {
    next_features_at_ = now + kFeaturesInterval;
  }
  for (const auto& [host, load] : entry_loads_) {
    if (const auto link = load.link.lock()) {
      link->Send(static_cast<uint8_t>(fleet_frame::kLoadTotals), encoded);
      if (!busy_accounts.empty()) {
        link->Send(static_cast<uint8_t>(fleet_frame::kBusyAccounts),
                   busy_accounts);
      }
      if (names_features) {
        link->Send(static_cast<uint8_t>(fleet_frame::kLeaderFeatures),
                   Encode(leader_features{kQueuesSlotRequests}));
      }
    }
  }
}

void job_store_duty::Heal(steady_time now) {
  if (is_healing_ || now < next_heal_at_) {
    return;
  }
  next_heal_at_ = now + kHealingInterval;
  const auto step =
      healer_.NextStep(now, group_->MemberReports(),
                       fleet_.LiveHosts(host_role::kStore), fleet_.retiring());
  if (!step) {
    return;
  }
  is_healing_ = true;
  group_->ChangeMembership(
      step->step, step->host,
      [this](const result<std::string>&) { is_healing_ = false; });
}

void job_store_duty::PushMembers() {
  if (!group_->IsMembershipCommitted()) {
    return;
  }
  job_group_members members;
  members.term = group_->term();
  for (const group_member& each : group_->membership().members) {
    (each.is_voter ? members.voters : members.learners).push_back(each.host);
  }
  members.leaving.assign(fleet_.retiring().begin(), fleet_.retiring().end());
  const std::string encoded = Encode(members);
  for (const host_announcement& host : fleet_.LiveHosts(host_role::kControl)) {
    fleet_.hub().Send(host.host.text(),
                      static_cast<uint8_t>(fleet_frame::kJobMembers), encoded);
  }
}

}  // namespace shallotport
