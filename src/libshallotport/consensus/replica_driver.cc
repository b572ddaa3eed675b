#include "consensus/replica_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "base/digest.h"
#include "base/log.h"
#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr std::string_view kDuty = "consensus";
constexpr size_t kRingCapacity = 8'192;
constexpr size_t kMaxCommandBytes = 8u << 20;
constexpr int64_t kMaxQueuedBytes = 32 << 20;  // Of payloads in the ring.
constexpr std::chrono::milliseconds kTransferTimeout{1'000};
constexpr std::chrono::milliseconds kSpaceCheckInterval{1'000};

// A random value that identifies a newly created set of files.
incarnation NewDiskIncarnation(const replica_options& options,
                               const clock_source& clock) {
  std::random_device device;
  const std::string text =
      options.host.text() + "/" + std::to_string(clock.WallNow()) + "/" +
      std::to_string(device()) + "/" + std::to_string(device());
  return std::max<incarnation>(HashOf(text), 1);
}

int64_t PayloadBytes(const replica_event& event) {
  if (const auto* peer = std::get_if<peer_bytes>(&event)) {
    return static_cast<int64_t>(peer->bytes.size());
  }
  const auto* submitted = std::get_if<submitted_proposal>(&event);
  return submitted == nullptr
             ? 0
             : static_cast<int64_t>(submitted->content.command.size());
}

core_options CoreOptions(const replica_options& options, incarnation disk) {
  core_options core;
  core.group = options.group;
  core.host = options.host;
  core.disk = disk;
  core.initial_members = options.initial_members;
  core.heartbeat_interval = options.heartbeat_interval;
  core.election_timeout = options.election_timeout;
  core.lease_duration = options.lease_duration;
  core.trailing_entries = options.trailing_entries;
  core.log_memory_bytes = options.log_memory_bytes;
  core.max_in_flight_bytes = options.max_in_flight_bytes;
  core.seed = HashOf(options.host.text(), options.seed);
  return core;
}

}  // namespace

replica_driver::replica_driver(replica_options options,
                               const clock_source& clock,
                               replica::send_function send)
    : options_(std::move(options)),
      clock_(clock),
      send_(std::move(send)),
      files_(options_.files == nullptr ? PosixFileSystem() : *options_.files),
      duty_(
          clock,
          kRingCapacity,
          [this](steady_time now, replica_event event) {
            queued_bytes_ -= PayloadBytes(event);
            Handle(now, std::move(event));
          },
          [this](steady_time now) {
            // Events that are still in the ring share the next sync.
            return duty_.ring().size() > 0 ? now : Flush(now);
          }) {}

replica_driver::~replica_driver() {
  duty_.Stop();
  WaitForSnapshot();
}

status replica_driver::Open() {
  auto opened = replica_storage::Open(
      files_, {options_.folder, options_.group, options_.segment_bytes},
      options_.host, NewDiskIncarnation(options_, clock_));
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  storage_ = std::move(ValueOf(opened));
  const auto newest = storage_->NewestSnapshot();
  if (!IsOk(newest)) {
    return ErrorOf(newest);
  }
  snapshot_point point;
  if (ValueOf(newest) > 0) {
    auto loaded =
        states_.Load(storage_->snapshots(), options_.group, ValueOf(newest));
    if (!IsOk(loaded)) {
      return ErrorOf(loaded);
    }
    point = ValueOf(loaded);
  }
  core_ = std::make_unique<consensus_core>(
      CoreOptions(options_, storage_->disk()), clock_.Now(), point);
  if (status recovered = storage_->Recover(*core_, point); !IsOk(recovered)) {
    return recovered;
  }
  applied_index_ = point.index;
  snapshot_index_ = point.index;
  return success{};
}

void replica_driver::Start() {
  duty_.Start();
}

void replica_driver::Stop() {
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> ended = done->get_future();
  if (TryPush(stop_request{done})) {
    ended.wait_for(2 * kTransferTimeout);
  }
  duty_.Stop();
  WaitForSnapshot();
  FailWaiting(MakeError(error_kind::kNoQuorum, "the host is shutting down"));
}

bool replica_driver::TryPush(replica_event event) {
  const int64_t bytes = PayloadBytes(event);
  if (queued_bytes_ + bytes > kMaxQueuedBytes) {
    return false;
  }
  queued_bytes_ += bytes;
  const bool is_queued = duty_.TryPush(std::move(event));
  if (!is_queued) {
    queued_bytes_ -= bytes;
  }
  return is_queued;
}

void replica_driver::Handle(steady_time now, replica_event event) {
  std::visit([&](auto& each) { OnEvent(now, each); }, event);
}

void replica_driver::OnEvent(steady_time now, peer_bytes& event) {
  // A member that cannot store anything must neither vote nor acknowledge.
  if (is_failed() || is_disk_full_) {
    return;
  }
  const auto message = DecodeMessage(event.bytes);
  if (IsOk(message)) {
    core_->Step(now, ValueOf(message));
  }
}

void replica_driver::OnEvent(steady_time now, submitted_proposal& event) {
  if (is_failed()) {
    event.reply(MakeError(error_kind::kNotLeader, failure_));
    return;
  }
  if (event.content.command.size() > kMaxCommandBytes) {
    event.reply(MakeError(error_kind::kTooLarge, "command of more than 8 MiB"));
    return;
  }
  const bool is_leader = core_->role() == member_role::kLeader;
  if (is_disk_full_ || (is_leader && is_nearly_full_)) {
    event.reply(MakeError(error_kind::kStorageFull,
                          "the disk of " + options_.host.text() + " is full"));
    return;
  }
  AwaitCommit(core_->Propose(now, clock_.WallNow(), std::move(event.content)),
              std::move(event.reply));
}

void replica_driver::OnEvent(steady_time now, submitted_query& event) {
  if (is_failed() || core_->role() != member_role::kLeader) {
    event.reply(MakeError(error_kind::kNotLeader, "not the leader"));
    return;
  }
  const uint64_t read = next_read_++;
  queries_[read] = {event.slice, std::move(event.query),
                    std::move(event.reply)};
  core_->RequestRead(now, read);
}

void replica_driver::OnEvent(steady_time now, submitted_step& event) {
  if (is_failed()) {
    event.reply(MakeError(error_kind::kNotLeader, failure_));
    return;
  }
  AwaitCommit(
      core_->ChangeMembership(now, clock_.WallNow(), event.step, event.host),
      std::move(event.reply));
}

void replica_driver::OnEvent(steady_time, state_dump_request& event) {
  nlohmann::json out;
  WriteState(out);
  event.text->set_value(out.dump());
}

void replica_driver::OnEvent(steady_time now, stop_request& event) {
  stop_promise_ = event.done;
  stop_deadline_ = now + kTransferTimeout;
  const bool is_handing_over =
      !is_failed() && IsOk(core_->TransferLeadership(now, host_id()));
  if (!is_handing_over) {
    stop_deadline_ = now;
  }
}

void replica_driver::AwaitCommit(const result<log_index>& index,
                                 replica::reply_function reply) {
  if (!IsOk(index)) {
    reply(ErrorOf(index));
    return;
  }
  waiting_proposal& waiting = proposals_[ValueOf(index)];
  if (waiting.reply) {
    // Proposed at this index in an earlier term of this leader.
    waiting.reply(MakeError(error_kind::kNoQuorum, "leadership was lost"));
  }
  waiting = {core_->term(), std::move(reply)};
}

steady_time replica_driver::Flush(steady_time now) {
  if (now >= next_space_check_at_) {
    next_space_check_at_ = now + kSpaceCheckInterval;
    is_nearly_full_ = storage_->IsNearlyFull();
  }
  if (is_disk_full_ && !RetryStore(now)) {
    Publish();
    FinishStop(now);
    return std::max(next_disk_retry_at_, now);
  }
  if (!is_failed() && now >= core_->NextTick()) {
    core_->Tick(now);
  }
  while (!is_failed() && !is_disk_full_ && RunActions(now)) {
  }
  if (!is_failed()) {
    CollectSnapshotResult(now);
    StartSnapshotWhenDue(now);
  }
  const bool is_leader = core_->role() == member_role::kLeader;
  if (was_leader_ != is_leader) {
    was_leader_ = is_leader;
    LogStateChange(kDuty, is_leader ? "became leader of term " +
                                          std::to_string(core_->term())
                                    : "lost leadership");
  }
  if (!is_leader) {
    FailWaiting(MakeError(error_kind::kNoQuorum, "leadership was lost"));
  }
  Publish();
  FinishStop(now);
  if (is_failed()) {
    return now + kSpaceCheckInterval;
  }
  const bool has_more =
      applied_index_ < core_->commit_index() && !is_disk_full_;
  const steady_time next_flush =
      stop_promise_ == nullptr ? core_->NextTick()
                               : std::min(core_->NextTick(), stop_deadline_);
  return has_more ? now : next_flush;
}

void replica_driver::FinishStop(steady_time now) {
  if (stop_promise_ == nullptr) {
    return;
  }
  const bool has_successor =
      core_->role() != member_role::kLeader && !core_->leader().IsEmpty();
  if (has_successor || now >= stop_deadline_ || is_failed()) {
    stop_promise_->set_value();
    stop_promise_.reset();
  }
}

void replica_driver::Fail(const std::string& reason) {
  if (is_failed()) {
    return;
  }
  failure_ = reason;
  LogWarning(kDuty, "consensus member stopped permanently: " + reason);
  core_->StepDown(clock_.Now());
  FailWaiting(MakeError(error_kind::kNoQuorum, reason));
}

// Fails all waiting calls; their proposals may still be committed.
void replica_driver::FailWaiting(const error& cause) {
  const auto proposals = std::exchange(proposals_, {});
  for (const auto& [index, waiting] : proposals) {
    waiting.reply(cause);
  }
  const auto queries = std::exchange(queries_, {});
  granted_queries_.clear();
  for (const auto& [read, waiting] : queries) {
    waiting.reply(MakeError(error_kind::kNotLeader, cause.detail));
  }
}

void replica_driver::Publish() {
  published_lease_end_ = is_failed() || is_disk_full_
                             ? 0
                             : core_->LeaseEnd().time_since_epoch().count();
  published_term_ = core_->term();
  const std::lock_guard lock(published_mutex_);
  published_leader_ = is_failed() ? host_id() : core_->leader();
  published_members_.clear();
  for (const group_member& member : core_->membership().members) {
    published_members_.push_back(member.host);
  }
}

std::vector<host_id> replica_driver::published_members() const {
  const std::lock_guard lock(published_mutex_);
  return published_members_;
}

host_id replica_driver::published_leader() const {
  const std::lock_guard lock(published_mutex_);
  return published_leader_;
}

steady_time replica_driver::published_lease_end() const {
  return steady_time(duration(published_lease_end_.load()));
}

uint64_t replica_driver::published_term() const {
  return published_term_;
}

void replica_driver::WriteState(nlohmann::json& out) const {
  core_->WriteState(out);
  storage_->WriteState(out);
  states_.WriteStates(out);
  out["failure"] = failure_;
  out["disk_full"] = is_disk_full_ || is_nearly_full_;
  out["applied_index"] = applied_index_;
  nlohmann::json& counters = out["counters"];
  counters["proposals_waiting"] = proposals_.size();
  counters["queries_waiting"] = queries_.size();
  counters["commands_applied"] = states_.applied();
  counters["commands_duplicate"] = states_.duplicates();
  counters["commands_overtaken"] = states_.stale_commands();
  counters["proposal_origins"] = states_.origins();
  counters["snapshots_taken"] = snapshots_taken_;
  counters["snapshots_failed"] = snapshots_failed_;
  counters["snapshot_bytes"] = last_snapshot_bytes_;
  counters["consensus_sent_bytes"] = sent_bytes_;
  counters["slow_syncs"] = syncs_.slow;
  counters["longest_sync_ms"] = syncs_.longest / std::chrono::milliseconds(1);
  counters["ring_refused"] = duty_.ring().refused();
  counters["is_leader"] = core_->role() == member_role::kLeader ? 1 : 0;
  counters["is_failed"] = is_failed() ? 1 : 0;
}

}  // namespace shallotport
