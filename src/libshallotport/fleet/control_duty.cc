#include "fleet/control_duty.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "base/log.h"
#include "eventio/host_link.h"
#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr uint32_t kControlGroup = 1;
// Hosts hear from every control host; a host that hears from a single one must
// not take the others for lost meanwhile.
constexpr std::chrono::milliseconds kDirectoryInterval{1'000};
constexpr std::chrono::milliseconds kMaxDirectoryInterval{2'000};
constexpr size_t kUsualControlHosts = 3;
constexpr std::chrono::milliseconds kHealingInterval{200};
// Interval for saving new endpoints; a leave is saved at once.
constexpr std::chrono::milliseconds kKnownSaveInterval{300};
// The end of a caller's connection is read after its request: behind it in the
// socket, or a round trip later if both were sent again after a partition.
constexpr std::chrono::milliseconds kLeaveDelay{100};
// Clocks of hosts and endpoints may differ by this much.
constexpr wall_milliseconds kMaxClockLeadMs = 3'600'000;
// All hosts of a new fleet start within a third of a second of each other.
constexpr std::chrono::milliseconds kFoundingDelay{700};
// After this long the job group is founded with the job stores that are live.
constexpr std::chrono::milliseconds kFoundingTimeout{4'000};
// The control group's state is a few documents: small files are enough.
constexpr uint64_t kSnapshotAfterBytes = 4u << 20;
// A linked host that lacks the newest configuration for this long is logged.
constexpr std::chrono::milliseconds kLateDocument{1'000};
constexpr uint32_t kSnapshotAfterEntries = 2'000;
constexpr uint32_t kTrailingEntries = 500;
constexpr uint32_t kSegmentBytes = 1u << 20;

// One host of each failure domain first, so that the loss of a domain costs one
// voter.
std::vector<host_id> SpreadOverDomains(
    const std::vector<host_announcement>& hosts,
    size_t count) {
  std::vector<host_id> chosen;
  std::set<domain_id> used;
  for (const bool is_second_pass : {false, true}) {
    for (const host_announcement& host : hosts) {
      const bool is_chosen =
          std::find(chosen.begin(), chosen.end(), host.host) != chosen.end();
      const bool is_domain_allowed =
          is_second_pass || !used.contains(host.domain);
      if (!is_chosen && is_domain_allowed && chosen.size() < count) {
        chosen.push_back(host.host);
        used.insert(host.domain);
      }
    }
  }
  return chosen;
}

replica_options GroupOptions(const control_options& options) {
  // At the first start the seeds are the same on all hosts.
  const std::vector<host_id> founders(options.fleet.seed_ips.begin(),
                                      options.fleet.seed_ips.end());
  replica_options group =
      MakeGroupOptions(kControlGroup, options.fleet.self,
                       options.data_folder + "/control", founders);
  group.snapshot_after_bytes = kSnapshotAfterBytes;
  group.snapshot_after_entries = kSnapshotAfterEntries;
  group.trailing_entries = kTrailingEntries;
  group.segment_bytes = kSegmentBytes;
  return group;
}

status AsStatus(const result<std::string>& reply) {
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return success{};
}

}  // namespace

control_duty::control_duty(boost::asio::io_context& loop,
                           const clock_source& clock,
                           control_options options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      fleet_(std::make_unique<fleet_host>(loop, clock, options_.fleet, false)),
      healer_({options_.voters}),
      known_file_(PosixFileSystem(), options_.data_folder) {}

result<std::unique_ptr<control_duty>> control_duty::Create(
    boost::asio::io_context& loop,
    const clock_source& clock,
    control_options options) {
  std::unique_ptr<control_duty> created(
      new control_duty(loop, clock, std::move(options)));
  if (status opened = created->Open(); !IsOk(opened)) {
    return ErrorOf(opened);
  }
  return created;
}

status control_duty::Open() {
  state_.on_changed = [this] {
    needs_directory_push_ = true;
    if (std::exchange(is_push_scheduled_, true)) {
      return;
    }
    // Entries that are applied together, as after a restart, cause a single
    // push.
    boost::asio::post(loop_, [this, alive = std::weak_ptr<bool>(is_alive_)] {
      if (!alive.expired()) {
        is_push_scheduled_ = false;
        PutDocumentInForce();
      }
    });
  };
  fleet_->on_document = [this](const configuration_document& document) {
    documents_.Add(document);
    receipts_.Publish(clock_.Now(), document.version);
    PushDocument();
  };
  LoadKnownState();
  fleet_->on_consensus = [this](const host_id&,
                                const group_envelope& envelope) {
    if (envelope.group == kControlGroup) {
      group_->OnMessage(envelope.bytes);
    }
  };
  fleet_->on_unhandled_frame = [this](host_link& link, uint8_t kind,
                                      std::string_view payload) {
    if (kind == static_cast<uint8_t>(fleet_frame::kAnnouncement)) {
      OnAnnouncement(link, payload);
    } else if (kind == static_cast<uint8_t>(fleet_frame::kDocumentReceipt)) {
      OnReceipt(link, payload);
    } else if (kind == static_cast<uint8_t>(fleet_frame::kJobMembers)) {
      OnJobMembers(payload);
    }
  };
  fleet_->hub().on_link_down = [this](host_link& link) { OnLinkDown(link); };
  fleet_->hub().on_call = [this](
                              host_link&, uint8_t method, std::string_view body,
                              const std::function<void(std::string)>& reply) {
    if (static_cast<fleet_call>(method) == fleet_call::kConfirmView) {
      reply({});
    } else if (static_cast<fleet_call>(method) == fleet_call::kReadDocument) {
      const auto read = DecodeGrowing<document_read>(body);
      if (IsOk(read)) {
        reply(Encode(documents_.Read(ValueOf(read))));
      }
    }
  };
  auto opened = group_replica::Open(
      loop_, clock_, GroupOptions(options_), replicated_slice::kConfiguration,
      state_, [this](const host_id& to, std::string bytes) {
        fleet_->SendConsensus(to, kControlGroup, std::move(bytes));
      });
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  group_ = std::move(ValueOf(opened));
  fleet_->SetDisk(group_->disk());
  return success{};
}

status control_duty::Start() {
  return fleet_->Start();
}

void control_duty::Stop(std::function<void()> done) {
  // Committed changes are answered before the process ends.
  acknowledgements_.Advance(steady_time::max(), receipts_);
  group_->Stop(std::move(done));
}

void control_duty::Tick(steady_time now) {
  fleet_->Tick(now);
  RecordAwaitedLeaves(now);
  LogHostsBehind(now);
  acknowledgements_.Advance(now, receipts_);
  if (needs_directory_push_ || now >= next_directory_) {
    needs_directory_push_ = false;
    const size_t control_hosts = fleet_->LiveHosts(host_role::kControl).size();
    next_directory_ =
        now + std::clamp<duration>(
                  kDirectoryInterval * control_hosts / kUsualControlHosts,
                  kDirectoryInterval, kMaxDirectoryInterval);
    PushDirectory();
  }
  if (now >= next_known_save_) {
    next_known_save_ = now + kKnownSaveInterval;
    if (is_known_state_dirty_) {
      SaveKnownEndpoints();
    }
    if (saved_document_version_ < fleet_->document().version) {
      SaveKnownDocument();
    }
  }
  if (group_->IsLeading()) {
    HealGroup(now);
    FoundJobGroup(now);
  }
}

void control_duty::PutDocumentInForce() {
  fleet_->RecordDocument(state_.document());
}

void control_duty::PushDocument() {
  const uint64_t newest = documents_.newest();
  const uint64_t digest = documents_.DigestOf(newest);
  const auto& accepted = fleet_->hub().accepted();
  // A link that is closed because it is full leaves the set.
  const std::vector<std::shared_ptr<host_link>> links(accepted.begin(),
                                                      accepted.end());
  for (const auto& link : links) {
    SendDocument(*link, outboxes_[link.get()].OnPublished(newest, digest));
  }
}

void control_duty::SendDocument(host_link& link,
                                const document_outbox::decision& decision) {
  switch (decision.next) {
    case document_outbox::step::kNothing:
      return;
    case document_outbox::step::kNotice:
      link.Send(
          static_cast<uint8_t>(fleet_frame::kDocumentNotice),
          documents_.NoticeFor(decision.base_version, decision.base_digest));
      return;
    case document_outbox::step::kWhole:
      link.Send(static_cast<uint8_t>(fleet_frame::kDocument),
                Encode(fleet_->document()));
      return;
  }
}

void control_duty::OnReceipt(host_link& link, std::string_view payload) {
  const auto decoded = DecodeGrowing<document_receipt>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const document_receipt& receipt = ValueOf(decoded);
  if (!link.peer_name.empty()) {
    receipts_.Record(host_id(link.peer_name), receipt.version);
    acknowledgements_.Advance(clock_.Now(), receipts_);
  }
  const uint64_t newest = documents_.newest();
  SendDocument(link, outboxes_[&link].OnReceipt(receipt, newest,
                                                documents_.DigestOf(newest)));
}

void control_duty::OnLinkDown(host_link& link) {
  outboxes_.erase(&link);
  // A host that dialed again has another link.
  const auto& links = fleet_->hub().accepted();
  const bool is_linked = std::any_of(
      links.begin(), links.end(),
      [&link](const auto& each) { return each->peer_name == link.peer_name; });
  if (!is_linked) {
    receipts_.Remove(host_id(link.peer_name));
    acknowledgements_.Advance(clock_.Now(), receipts_);
  }
}

void control_duty::LogHostsBehind(steady_time now) {
  const std::vector<host_id> late = receipts_.BehindFor(now, kLateDocument);
  if (std::exchange(are_hosts_late_, !late.empty()) == !late.empty()) {
    return;
  }
  const std::string version = std::to_string(receipts_.newest());
  if (late.empty()) {
    LogStateChange("control", "linked hosts have configuration " + version);
    return;
  }
  LogWarning("control", std::to_string(late.size()) +
                            " linked hosts lack configuration " + version +
                            ", as " + late.front().text() + "; " +
                            std::to_string(fleet_->hub().QueuedBytes()) +
                            " bytes wait in links, " +
                            std::to_string(fleet_->hub().LongestQueueBytes()) +
                            " in one of them");
}

void control_duty::LoadKnownState() {
  const known_state known = known_file_.Load();
  fleet_->RecordDocument(known.document);
  saved_document_version_ = known.document.version;
  for (endpoint_report report : known.reports) {
    report.age_ms = 0;
    if (IsOk(CheckReport(report))) {
      fleet_->RecordEndpoint(report, endpoint_directory::source::kHost);
    }
  }
  fleet_->on_endpoint = [this](const endpoint_directory::entry& entry) {
    auto& stage = saved_stages_[entry.report.endpoint];
    if (stage == entry.report.stage) {
      return;
    }
    stage = entry.report.stage;
    is_known_state_dirty_ = true;
    if (stage != endpoint_stage::kReady) {
      SaveKnownEndpoints();
    }
  };
}

void control_duty::SaveKnownEndpoints() {
  is_known_state_dirty_ = false;
  LogSaved(known_file_.SaveReports(fleet_->endpoints().Reports(clock_.Now())));
}

void control_duty::SaveKnownDocument() {
  saved_document_version_ = fleet_->document().version;
  LogSaved(known_file_.SaveDocument(fleet_->document()));
}

// A failure is not fatal: without the files a restart only takes longer.
void control_duty::LogSaved(const status& saved) const {
  if (!IsOk(saved)) {
    LogWarning("control",
               "cannot save the known state: " + ErrorOf(saved).detail);
  }
}

void control_duty::OnAnnouncement(host_link& link, std::string_view payload) {
  const auto decoded = Decode<host_announcement>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const host_announcement& host = ValueOf(decoded);
  const bool is_new = link.peer_name.empty();
  link.peer_name = host.host.text();
  const auto* known = fleet_->hosts().Find(host.host);
  needs_directory_push_ = needs_directory_push_ || known == nullptr ||
                          known->host.start_id != host.start_id ||
                          known->host.disk != host.disk;
  fleet_->RecordHost(host);
  receipts_.Record(host.host, host.document_version);
  const steady_time now = clock_.Now();
  if (is_new) {
    link.Send(static_cast<uint8_t>(fleet_frame::kDirectory),
              EncodeDirectory(now));
    link.Send(static_cast<uint8_t>(fleet_frame::kEndpoint),
              Encode(endpoint_update{fleet_->endpoints().Reports(now)}));
  }
  SendDocument(link, outboxes_[&link].OnAnnounced(host.document_version,
                                                  documents_.newest()));
}

void control_duty::OnJobMembers(std::string_view payload) {
  const auto decoded = Decode<job_group_members>(payload);
  if (IsOk(decoded) && ValueOf(decoded).term >= job_members_.term) {
    job_members_ = ValueOf(decoded);
  }
}

std::string control_duty::EncodeDirectory(steady_time now) const {
  directory_update update;
  for (const auto& [id, each] : fleet_->hosts().entries()) {
    if (each.host.role == host_role::kEntry) {
      continue;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - each.received_at);
    update.hosts.push_back(
        {each.host, static_cast<uint32_t>(std::max<int64_t>(age.count(), 0))});
  }
  update.entry_host_count =
      static_cast<uint32_t>(fleet_->LiveHosts(host_role::kEntry).size());
  update.job_founders = state_.job_founders();
  update.retiring.assign(state_.retiring().begin(), state_.retiring().end());
  return Encode(update);
}

void control_duty::PushDirectory() {
  PushToAll(fleet_frame::kDirectory, EncodeDirectory(clock_.Now()));
}

void control_duty::PushToAll(fleet_frame kind, std::string_view payload) {
  for (const auto& link : fleet_->hub().accepted()) {
    if (!link->peer_name.empty()) {
      link->Send(static_cast<uint8_t>(kind), payload);
    }
  }
}

void control_duty::HealGroup(steady_time now) {
  if (is_healing_ || now < next_healing_) {
    return;
  }
  next_healing_ = now + kHealingInterval;
  const auto step = healer_.NextStep(
      now, group_->MemberReports(), fleet_->LiveHosts(host_role::kControl), {});
  if (!step) {
    return;
  }
  is_healing_ = true;
  group_->ChangeMembership(
      step->step, step->host,
      [this](const result<std::string>&) { is_healing_ = false; });
}

void control_duty::FoundJobGroup(steady_time now) {
  if (is_founding_ || !state_.job_founders().empty()) {
    return;
  }
  const auto stores = fleet_->LiveHosts(host_role::kStore);
  if (stores.empty()) {
    stores_available_since_ = {};
    return;
  }
  if (stores_available_since_ == steady_time{}) {
    stores_available_since_ = now;
  }
  const duration waited = now - stores_available_since_;
  const bool is_complete =
      stores.size() >= options_.job_voters && waited >= kFoundingDelay;
  if (!is_complete && waited < kFoundingTimeout) {
    return;
  }
  is_founding_ = true;
  control_command command;
  command.kind = control_command_kind::kFoundJobGroup;
  command.founders = SpreadOverDomains(stores, options_.job_voters);
  group_->Propose(EncodeControlCommand(command),
                  [this](const result<std::string>&) { is_founding_ = false; });
}

void control_duty::PutDocument(configuration_document document,
                               status_reply reply) {
  const uint64_t version = document.version;
  if (!state_.document().bytes.empty() &&
      version <= state_.document().version) {
    Acknowledge(version, std::move(reply));
    return;
  }
  control_command command;
  command.kind = control_command_kind::kPutDocument;
  command.document = std::move(document);
  group_->Propose(EncodeControlCommand(command),
                  [this, version, reply = std::move(reply)](
                      const result<std::string>& outcome) {
                    if (IsOk(outcome)) {
                      Acknowledge(version, reply);
                    } else {
                      reply(ErrorOf(outcome));
                    }
                  });
}

void control_duty::Acknowledge(uint64_t version, status_reply reply) {
  acknowledgements_.Add(clock_.Now(), version,
                        [reply = std::move(reply)] { reply(success{}); });
  acknowledgements_.Advance(clock_.Now(), receipts_);
}

void control_duty::ReadDocument(document_reply reply) {
  group_->Query(
      {}, [this, reply = std::move(reply)](const result<std::string>& outcome) {
        if (!IsOk(outcome)) {
          reply(ErrorOf(outcome));
          return;
        }
        reply(Decode<configuration_document>(ValueOf(outcome)));
      });
}

status control_duty::ReportEndpoint(const endpoint_report& report) {
  if (status checked = CheckReport(report); !IsOk(checked)) {
    return checked;
  }
  const auto latest_start =
      static_cast<uint64_t>(clock_.WallNow() + kMaxClockLeadMs);
  if (report.start_time_ms > latest_start) {
    return MakeError(error_kind::kInvalidRequest, "born: not in the future");
  }
  ApplyAndPass(report);
  return success{};
}

void control_duty::ApplyAndPass(const endpoint_report& report) {
  if (fleet_->RecordEndpoint(report, endpoint_directory::source::kEndpoint) &&
      report_filter_.ShouldPassOn(clock_.Now(), report)) {
    PushToAll(fleet_frame::kEndpoint, Encode(endpoint_update{{report}}));
  }
}

void control_duty::RecordLeave(leave_call call) {
  if (call.start_time_ms != 0) {
    EndStart(call.endpoint, call.start_time_ms, 0);
    call.on_recorded();
    return;
  }
  pending_leaves_.push_back({std::move(call),
                             static_cast<uint64_t>(clock_.WallNow()),
                             clock_.Now() + kLeaveDelay});
}

void control_duty::RecordAwaitedLeaves(steady_time now) {
  while (!pending_leaves_.empty() && now >= pending_leaves_.front().due_at) {
    const pending_leave due = std::move(pending_leaves_.front());
    pending_leaves_.pop_front();
    if (!due.call.is_awaited()) {
      ++passed_over_leaves_;
      continue;
    }
    EndStart(due.call.endpoint, 0, due.leave_time_ms);
    due.call.on_recorded();
  }
}

void control_duty::EndStart(const endpoint_id& endpoint,
                            uint64_t start_time_ms,
                            uint64_t leave_time_ms) {
  endpoint_report end;
  if (const auto* known = fleet_->endpoints().Find(endpoint)) {
    end = known->report;
  }
  end.endpoint = endpoint;
  end.stage = endpoint_stage::kLeft;
  end.age_ms = 0;
  end.leave_time_ms = leave_time_ms;
  if (start_time_ms != 0) {
    end.start_time_ms = start_time_ms;
  }
  ApplyAndPass(end);
}

void control_duty::Retire(const std::string& host_name, status_reply reply) {
  if (state_.retiring().contains(host_name)) {
    reply(success{});
    return;
  }
  if (!group_->IsLeading()) {
    reply(MakeError(error_kind::kNotLeader, "not the leader"));
    return;
  }
  const auto stores = fleet_->LiveHosts(host_role::kStore);
  size_t remaining_stores = 0;
  bool is_known = false;
  for (const host_announcement& store : stores) {
    const bool is_requested = store.name == host_name;
    is_known = is_known || is_requested;
    if (!is_requested && !state_.retiring().contains(store.name)) {
      ++remaining_stores;
    }
  }
  if (!is_known) {
    reply(MakeError(error_kind::kNotFound, "no job store " + host_name));
    return;
  }
  if (remaining_stores < options_.job_voters) {
    reply(MakeError(error_kind::kConflict, "too few job stores would be left"));
    return;
  }
  control_command command;
  command.kind = control_command_kind::kRetireHost;
  command.host_name = host_name;
  group_->Propose(
      EncodeControlCommand(command),
      [reply = std::move(reply)](const result<std::string>& outcome) {
        reply(AsStatus(outcome));
      });
}

retirement_status control_duty::RetirementStatus(
    const std::string& host_name) const {
  if (!state_.retiring().contains(host_name)) {
    return retirement_status::kUnknown;
  }
  const auto is_named = [&](const host_id& id) {
    const auto* known = fleet_->hosts().Find(id);
    return known != nullptr && known->host.name == host_name;
  };
  // A member list that the job group's leader sent before it learned of the
  // retirement says nothing about it.
  const bool is_known =
      std::find(job_members_.leaving.begin(), job_members_.leaving.end(),
                host_name) != job_members_.leaving.end();
  const bool is_member = std::any_of(job_members_.voters.begin(),
                                     job_members_.voters.end(), is_named) ||
                         std::any_of(job_members_.learners.begin(),
                                     job_members_.learners.end(), is_named);
  return is_known && !is_member ? retirement_status::kCompleted
                                : retirement_status::kInProgress;
}

std::string control_duty::LeaderAddress() const {
  const auto* known = fleet_->hosts().Find(group_->leader());
  return known == nullptr ? std::string() : known->host.operator_address;
}

}  // namespace shallotport
