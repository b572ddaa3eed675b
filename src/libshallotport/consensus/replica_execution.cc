#include <algorithm>
#include <utility>

#include "base/log.h"
#include "consensus/replica_driver.h"
#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr std::string_view kDuty = "consensus";
constexpr uint64_t kChunkBytes = 256u << 10;
constexpr log_index kMaxApplyBatch = 512;
constexpr std::chrono::milliseconds kDiskRetryInterval{500};
constexpr std::chrono::seconds kSnapshotRetryInterval{10};
constexpr std::chrono::seconds kSlowSyncLineInterval{10};

}  // namespace

// Carries out the core's pending actions; true if there may be more.
bool replica_driver::RunActions(steady_time now) {
  const consensus_actions actions = core_->TakeActions(now);
  if (!actions.fault.empty()) {
    Fail(actions.fault);
    return false;
  }
  SendAll(actions.early_messages);
  if (!Store(now, actions)) {
    return false;
  }
  SendAll(actions.messages);
  SendChunks(actions.chunk_requests);
  LoadEntries(actions.load_requests);
  for (const received_chunk& chunk : actions.received_chunks) {
    StoreChunk(now, chunk);
  }
  const log_index before = applied_index_;
  ApplyCommitted();
  AnswerReads(actions);
  return !is_failed() &&
         (applied_index_ != before || !actions.entries.empty() ||
          actions.state || !actions.load_requests.empty() ||
          !actions.received_chunks.empty());
}

bool replica_driver::Store(steady_time now, const consensus_actions& actions) {
  if (actions.state) {
    storage_->PutState(*actions.state);
  }
  for (const log_entry_pointer& entry : actions.entries) {
    storage_->PutEntry(*entry);
    bytes_since_snapshot_ += entry->content.command.size();
  }
  const status synced = SyncLog();
  if (IsOk(synced)) {
    core_->Persisted(core_->log().last_index());
    return true;
  }
  if (ErrorOf(synced).kind != error_kind::kStorageFull) {
    Fail(ErrorOf(synced).detail);
    return false;
  }
  // The messages that depend on this write are not sent; RetryStore() repeats
  // the sync.
  LogWarning(
      kDuty,
      "disk full; this consensus member neither votes nor acknowledges until "
      "there is space");
  is_disk_full_ = true;
  next_disk_retry_at_ = now + kDiskRetryInterval;
  core_->StepDown(now);
  return false;
}

status replica_driver::SyncLog() {
  const steady_time begun_at = clock_.Now();
  status synced = storage_->Sync();
  const steady_time now = clock_.Now();
  const duration taken = now - begun_at;
  syncs_.longest = std::max(syncs_.longest, taken);
  if (taken < options_.lease_duration) {
    return synced;
  }
  ++syncs_.slow;
  if (now >= next_slow_sync_line_at_) {
    next_slow_sync_line_at_ = now + kSlowSyncLineInterval;
    LogWarning(kDuty,
               "sync of the log of group " + std::to_string(options_.group) +
                   " took " +
                   std::to_string(taken / std::chrono::milliseconds(1)) +
                   " ms; slow syncs so far: " + std::to_string(syncs_.slow));
  }
  return synced;
}

bool replica_driver::RetryStore(steady_time now) {
  if (now < next_disk_retry_at_) {
    return false;
  }
  next_disk_retry_at_ = now + kDiskRetryInterval;
  const status synced = SyncLog();
  if (IsOk(synced)) {
    LogStateChange(kDuty, "disk has space again; consensus member resumes");
    is_disk_full_ = false;
    core_->Persisted(core_->log().last_index());
    return true;
  }
  if (ErrorOf(synced).kind != error_kind::kStorageFull) {
    is_disk_full_ = false;
    Fail(ErrorOf(synced).detail);
  }
  return false;
}

void replica_driver::SendAll(const std::vector<consensus_message>& messages) {
  for (const consensus_message& message : messages) {
    std::string bytes = EncodeMessage(message);
    sent_bytes_ += bytes.size();
    send_(message.to, std::move(bytes));
  }
}

void replica_driver::SendChunks(const std::vector<chunk_request>& requests) {
  for (const chunk_request& request : requests) {
    const std::string path =
        storage_->snapshots().PathOf(request.snapshot_index);
    const auto total = files_.SizeOf(path);
    auto bytes = files_.Read(path, request.offset, kChunkBytes);
    if (!IsOk(total) || !IsOk(bytes)) {
      continue;  // The core requests it again, or a newer snapshot.
    }
    snapshot_chunk chunk;
    chunk.snapshot_index = request.snapshot_index;
    chunk.offset = request.offset;
    chunk.total = ValueOf(total);
    chunk.bytes = std::move(ValueOf(bytes));
    core_->SendChunk(request.to, std::move(chunk));
  }
}

void replica_driver::LoadEntries(const std::vector<load_request>& requests) {
  for (const load_request& request : requests) {
    std::vector<log_entry_pointer> entries;
    uint64_t bytes = 0;
    for (log_index at = request.first;
         at <= core_->log().last_index() && bytes < request.max_bytes; ++at) {
      const auto entry = storage_->ReadEntry(at);
      if (!IsOk(entry)) {
        break;
      }
      entries.push_back(ValueOf(entry));
      bytes += ValueOf(entry)->content.command.size() + sizeof(log_entry);
    }
    core_->EntriesLoaded(request.to, std::move(entries));
  }
}

void replica_driver::StoreChunk(steady_time now,
                                const received_chunk& received) {
  const snapshot_chunk& chunk = received.chunk;
  if (!core_->NeedsSnapshot(chunk.snapshot_index, chunk.snapshot_term)) {
    return;
  }
  const bool is_other = incoming_snapshot_ == nullptr ||
                        incoming_snapshot_->index() != chunk.snapshot_index;
  if (is_other) {
    incoming_snapshot_.reset();
    auto created = incoming_snapshot::Create(
        storage_->snapshots(), options_.group, chunk.snapshot_index);
    if (!IsOk(created)) {
      return;
    }
    incoming_snapshot_ = std::move(ValueOf(created));
  }
  if (status stored = incoming_snapshot_->Append(chunk.offset, chunk.bytes);
      !IsOk(stored)) {
    return;
  }
  if (incoming_snapshot_->size() < chunk.total) {
    core_->ChunkStored(received, incoming_snapshot_->size());
    return;
  }
  InstallSnapshot(received);
  (void)now;
}

// Publishes the received file before it resets the log: after a crash in
// between, recovery discards the log because it does not contain the snapshot's
// last entry.
void replica_driver::InstallSnapshot(const received_chunk& last) {
  const std::unique_ptr<incoming_snapshot> whole =
      std::move(incoming_snapshot_);
  if (status committed = whole->Commit(); !IsOk(committed)) {
    LogWarning(kDuty, "cannot store the received snapshot: " +
                          ErrorOf(committed).detail);
    core_->ChunkStored(last, 0);
    return;
  }
  const auto point =
      states_.Load(storage_->snapshots(), options_.group, whole->index());
  if (!IsOk(point)) {
    Fail(ErrorOf(point).detail);
    return;
  }
  storage_->PutReset(ValueOf(point));
  if (status synced = storage_->Sync(); !IsOk(synced)) {
    Fail(ErrorOf(synced).detail);
    return;
  }
  core_->SnapshotInstalled(last, ValueOf(point));
  applied_index_ = ValueOf(point).index;
  snapshot_index_ = applied_index_;
  bytes_since_snapshot_ = 0;
  storage_->RemoveBefore(applied_index_ + 1, applied_index_);
  LogStateChange(kDuty, "installed the received snapshot up to entry " +
                            std::to_string(applied_index_));
}

result<log_entry_pointer> replica_driver::EntryAt(log_index index) const {
  log_entry_pointer held = core_->log().EntryAt(index);
  if (held != nullptr) {
    return held;
  }
  return storage_->ReadEntry(index);
}

void replica_driver::ApplyCommitted() {
  const log_index end =
      std::min(core_->commit_index(), applied_index_ + kMaxApplyBatch);
  while (applied_index_ < end) {
    const auto entry = EntryAt(applied_index_ + 1);
    if (!IsOk(entry)) {
      Fail(ErrorOf(entry).detail);
      return;
    }
    ApplyEntry(*ValueOf(entry));
  }
  core_->Applied(applied_index_);
  while (!granted_queries_.empty() &&
         granted_queries_.begin()->first <= applied_index_) {
    AnswerRead(granted_queries_.begin()->second);
    granted_queries_.erase(granted_queries_.begin());
  }
}

void replica_driver::ApplyEntry(const log_entry& entry) {
  result<std::string> reply = std::string();
  if (entry.kind == entry_kind::kCommand) {
    reply = states_.Apply(entry);
  }
  applied_index_ = entry.index;
  if (on_applied) {
    on_applied(entry);
  }
  const auto waiting = proposals_.find(entry.index);
  if (waiting == proposals_.end()) {
    return;
  }
  const waiting_proposal answered = std::move(waiting->second);
  proposals_.erase(waiting);
  if (answered.term != entry.term) {
    reply = MakeError(error_kind::kNotLeader, "overwritten by a later leader");
  }
  answered.reply(std::move(reply));
}

void replica_driver::AnswerReads(const consensus_actions& actions) {
  for (const read_grant& grant : actions.granted_reads) {
    if (grant.index <= applied_index_) {
      AnswerRead(grant.read);
    } else {
      granted_queries_.emplace(grant.index, grant.read);
    }
  }
  for (const uint64_t read : actions.failed_reads) {
    const auto found = queries_.find(read);
    if (found != queries_.end()) {
      const waiting_query failed = std::move(found->second);
      queries_.erase(found);
      failed.reply(MakeError(error_kind::kNotLeader, "leadership was lost"));
    }
  }
}

void replica_driver::AnswerRead(uint64_t read) {
  const auto found = queries_.find(read);
  if (found == queries_.end()) {
    return;
  }
  const waiting_query answered = std::move(found->second);
  queries_.erase(found);
  answered.reply(states_.Query(answered.slice, answered.query));
}

void replica_driver::StartSnapshotWhenDue(steady_time now) {
  const bool is_due =
      applied_index_ > snapshot_index_ &&
      (bytes_since_snapshot_ >=
           std::max(options_.snapshot_after_bytes, last_snapshot_bytes_) ||
       applied_index_ - snapshot_index_ >= options_.snapshot_after_entries);
  if (!is_due || snapshot_task_.valid() || now < next_snapshot_at_) {
    return;
  }
  snapshot_point point;
  point.index = applied_index_;
  point.term = core_->log().TermAt(applied_index_).value_or(0);
  point.membership = core_->MembershipAt(applied_index_);
  point.leader_time = core_->log().TimeAt(applied_index_);
  auto copy = std::make_shared<state_snapshot>(states_.BeginSnapshot(point));
  bytes_since_snapshot_ = 0;
  snapshot_index_ = applied_index_;
  snapshot_task_ = std::async(
      std::launch::async,
      [copy, folder = storage_->snapshots(), group = options_.group] {
        return std::pair(copy->point.index,
                         WriteSnapshotFile(folder, group, *copy));
      });
}

void replica_driver::WaitForSnapshot() {
  if (snapshot_task_.valid()) {
    snapshot_task_.wait();
  }
}

void replica_driver::CollectSnapshotResult(steady_time now) {
  const bool is_done = snapshot_task_.valid() &&
                       snapshot_task_.wait_for(std::chrono::seconds(0)) ==
                           std::future_status::ready;
  if (!is_done) {
    return;
  }
  const auto [index, size] = snapshot_task_.get();
  if (!IsOk(size)) {
    ++snapshots_failed_;
    next_snapshot_at_ = now + kSnapshotRetryInterval;
    snapshot_index_ = core_->snapshot_index();
    bytes_since_snapshot_ = options_.snapshot_after_bytes;
    LogWarning(kDuty, "cannot write a snapshot: " + ErrorOf(size).detail);
    return;
  }
  ++snapshots_taken_;
  last_snapshot_bytes_ = ValueOf(size);
  core_->SnapshotTaken(now, index);
  storage_->RemoveBefore(core_->log().base_index() + 1,
                         core_->oldest_needed_snapshot());
}

}  // namespace shallotport
