#include "consensus/replica_storage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/codec.h"
#include "storage/file_system.h"
#include "storage/record_frame.h"

namespace shallotport {

namespace {

// Record kinds of the log files: part of the file format, never reused.
constexpr uint8_t kStateRecord = 1;
constexpr uint8_t kEntryRecord = 2;
constexpr uint8_t kResetRecord = 3;
constexpr uint8_t kIdentityRecord = 4;

constexpr std::string_view kIdentityFileName = "identity";
constexpr uint64_t kReservedDiskBytes = 64u << 20;

// The member that the files in a folder belong to.
struct member_identity {
  uint32_t group = 0;
  host_id host;
  incarnation disk = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, host, disk);
  }
};

error CorruptError(const std::string& what) {
  return MakeError(error_kind::kCorrupt, what);
}

}  // namespace

result<std::unique_ptr<replica_storage>> replica_storage::Open(
    file_system& files,
    write_ahead_log_options options,
    const host_id& host,
    incarnation new_disk) {
  if (status made = files.CreateFolder(options.folder); !IsOk(made)) {
    return ErrorOf(made);
  }
  std::unique_ptr<replica_storage> storage(
      new replica_storage(files, std::move(options)));
  if (status removed = storage->snapshots_.RemoveTemporaries();
      !IsOk(removed)) {
    return ErrorOf(removed);
  }
  if (status read = storage->ReadIdentity(host, new_disk); !IsOk(read)) {
    return ErrorOf(read);
  }
  return storage;
}

replica_storage::replica_storage(file_system& files,
                                 write_ahead_log_options options)
    : files_(files),
      options_(std::move(options)),
      folder_(options_.folder),
      group_(options_.group),
      snapshots_(files, folder_) {}

status replica_storage::ReadIdentity(const host_id& host,
                                     incarnation new_disk) {
  host_ = host;
  const std::string path = folder_ + "/" + std::string(kIdentityFileName);
  const auto bytes = files_.Read(path, 0, kMaxFramePayload);
  if (!IsOk(bytes) && ErrorOf(bytes).kind == error_kind::kNotFound) {
    is_new_ = true;
    disk_ = new_disk;
    return success{};
  }
  if (!IsOk(bytes)) {
    return ErrorOf(bytes);
  }
  const auto frame = ParseFrame(ValueOf(bytes), 0);
  if (!frame || frame->kind != kIdentityRecord) {
    return CorruptError(path + " at offset 0: damaged identity record");
  }
  const auto identity = Decode<member_identity>(frame->payload);
  if (!IsOk(identity)) {
    return CorruptError(path + " at offset 0: " + ErrorOf(identity).detail);
  }
  if (ValueOf(identity).host != host || ValueOf(identity).group != group_) {
    return CorruptError(path + " belongs to host " +
                        ValueOf(identity).host.text() + ", group " +
                        std::to_string(ValueOf(identity).group));
  }
  disk_ = ValueOf(identity).disk;
  return CheckLogExists();
}

// The identity file is written after the log's first record is synced. If the
// identity exists but the log is missing or empty, the log was lost.
status replica_storage::CheckLogExists() const {
  const auto names = files_.List(folder_);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  const bool has_log = std::any_of(
      ValueOf(names).begin(), ValueOf(names).end(),
      [](const std::string& name) { return name.ends_with(".wal"); });
  if (!has_log) {
    return CorruptError(folder_ + " has an identity file but no log files");
  }
  return success{};
}

status replica_storage::CreateIdentity() {
  const std::string path = folder_ + "/" + std::string(kIdentityFileName);
  const std::string temporary = path + ".tmp";
  auto file = files_.Open(temporary);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  std::string bytes;
  AppendFrame(bytes, kIdentityRecord, 0,
              Encode(member_identity{group_, host_, disk_}));
  if (status written = ValueOf(file)->Append(bytes); !IsOk(written)) {
    return written;
  }
  if (status synced = ValueOf(file)->Sync(); !IsOk(synced)) {
    return synced;
  }
  if (status renamed = files_.Rename(temporary, path); !IsOk(renamed)) {
    return renamed;
  }
  return files_.SyncFolder(folder_);
}

result<log_index> replica_storage::NewestSnapshot() const {
  const auto indices = snapshots_.List();
  if (!IsOk(indices)) {
    return ErrorOf(indices);
  }
  return ValueOf(indices).empty() ? log_index{0} : ValueOf(indices).back();
}

status replica_storage::Recover(consensus_core& core,
                                const snapshot_point& point) {
  write_ahead_log_options log_options = options_;
  log_options.begins_after_gap = true;
  auto opened = write_ahead_log::Open(
      files_, std::move(log_options),
      [&](const log_record& record) { return OnRecord(core, record); });
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  log_ = std::move(ValueOf(opened));
  if (is_new_ && point.index > 0) {
    return CorruptError(folder_ + " has a snapshot but no identity file");
  }
  const auto is_contained = core.FinishRestore(point);
  if (!IsOk(is_contained)) {
    return CorruptError(folder_ + ": " + ErrorOf(is_contained).detail);
  }
  // The core has checked that the log's first entry follows the snapshot.
  if (log_->has_leftovers() && positions_.empty()) {
    return CorruptError(folder_ +
                        ": log segments are missing, and those after them "
                        "have no entry");
  }
  if (status removed = log_->RemoveLeftovers(); !IsOk(removed)) {
    return removed;
  }
  if (!ValueOf(is_contained)) {
    PutReset(point);
  }
  if (!is_new_ && !has_records_) {
    return CorruptError(folder_ + " has an identity file but an empty log");
  }
  // A crash may have left the newest segment without the state record that it
  // must begin with.
  PutState(state_);
  if (status synced = Sync(); !IsOk(synced) || !is_new_) {
    return synced;
  }
  is_new_ = false;
  return CreateIdentity();
}

status replica_storage::OnRecord(consensus_core& core,
                                 const log_record& record) {
  const auto failed = [&](const error& cause) {
    return CorruptError(folder_ + ": log segment " +
                        std::to_string(record.position.segment) +
                        " at offset " + std::to_string(record.position.offset) +
                        ": " + cause.detail);
  };
  has_records_ = true;
  if (record.kind == kStateRecord) {
    const auto state = Decode<hard_state>(record.payload);
    if (!IsOk(state)) {
      return failed(ErrorOf(state));
    }
    if (is_new_ && ValueOf(state) != hard_state()) {
      return CorruptError(folder_ + " has log entries but no identity file");
    }
    state_ = ValueOf(state);
    core.RestoreState(state_);
    return success{};
  }
  if (is_new_) {
    return CorruptError(folder_ + " has log entries but no identity file");
  }
  if (record.kind == kResetRecord) {
    const auto point = Decode<snapshot_point>(record.payload);
    if (!IsOk(point)) {
      return failed(ErrorOf(point));
    }
    core.RestoreReset(ValueOf(point));
    positions_.clear();
    first_stored_index_ = ValueOf(point).index + 1;
    return success{};
  }
  auto entry = DecodeEntry(record.payload);
  if (!IsOk(entry) || record.kind != kEntryRecord) {
    return failed(IsOk(entry) ? CorruptError("unknown kind of record")
                              : ErrorOf(entry));
  }
  const log_index index = ValueOf(entry).index;
  const status restored = core.RestoreEntry(
      std::make_shared<const log_entry>(std::move(ValueOf(entry))));
  if (!IsOk(restored)) {
    return failed(ErrorOf(restored));
  }
  RecordPosition(index, record.position);
  return success{};
}

void replica_storage::RecordPosition(log_index index,
                                     const log_position& position) {
  const log_index next = first_stored_index_ + positions_.size();
  if (index < first_stored_index_ || index > next) {
    positions_.clear();
    first_stored_index_ = index;
  } else {
    positions_.resize(index - first_stored_index_);
  }
  positions_.push_back(position);
  log_index& last = last_index_in_segment_[position.segment];
  last = std::max(last, index);
}

void replica_storage::PutState(const hard_state& state) {
  state_ = state;
  log_->Append(kStateRecord, Encode(state));
}

void replica_storage::PutEntry(const log_entry& entry) {
  RecordPosition(entry.index, log_->Append(kEntryRecord, EncodeEntry(entry)));
}

void replica_storage::PutReset(const snapshot_point& point) {
  log_->Append(kResetRecord, Encode(point));
  positions_.clear();
  first_stored_index_ = point.index + 1;
}

status replica_storage::Sync() {
  if (status synced = log_->Sync(); !IsOk(synced)) {
    return synced;
  }
  return log_->IsSegmentFull() ? StartSegment() : status(success{});
}

// Each segment begins with the hard state, so that older ones can be removed.
status replica_storage::StartSegment() {
  status started = log_->StartSegment();
  if (!IsOk(started)) {
    const bool is_full = ErrorOf(started).kind == error_kind::kStorageFull;
    return is_full ? status(success{}) : started;  // Continues in the old one.
  }
  PutState(state_);
  return log_->Sync();
}

result<log_entry_pointer> replica_storage::ReadEntry(log_index index) const {
  if (index < first_stored_index_ ||
      index - first_stored_index_ >= positions_.size()) {
    return MakeError(error_kind::kNotFound,
                     "entry " + std::to_string(index) + " is not in the log");
  }
  const auto record = log_->Read(positions_[index - first_stored_index_]);
  if (!IsOk(record)) {
    return ErrorOf(record);
  }
  auto entry = DecodeEntry(ValueOf(record).payload);
  if (!IsOk(entry)) {
    return ErrorOf(entry);
  }
  if (ValueOf(entry).index != index) {
    return CorruptError("another entry in the place of entry " +
                        std::to_string(index));
  }
  return std::make_shared<const log_entry>(std::move(ValueOf(entry)));
}

status replica_storage::RemoveBefore(log_index first_kept_entry,
                                     log_index first_kept_snapshot) {
  while (!positions_.empty() && first_stored_index_ < first_kept_entry) {
    positions_.pop_front();
    ++first_stored_index_;
  }
  uint32_t segment = log_->first_segment();
  while (segment < log_->current_segment() &&
         last_index_in_segment_[segment] < first_kept_entry) {
    last_index_in_segment_.erase(segment);
    ++segment;
  }
  if (status removed = log_->RemoveSegmentsBefore(segment); !IsOk(removed)) {
    return removed;
  }
  return snapshots_.RemoveBefore(first_kept_snapshot);
}

bool replica_storage::IsNearlyFull() const {
  return files_.FreeBytes(folder_) < kReservedDiskBytes;
}

void replica_storage::WriteState(nlohmann::json& out) const {
  nlohmann::json& counters = out["counters"];
  counters["log_segments"] =
      log_->current_segment() - log_->first_segment() + 1;
  counters["log_syncs"] = log_->sync_count();
  counters["log_written_bytes"] = log_->written_bytes();
  counters["log_entries_on_disk"] = positions_.size();
}

}  // namespace shallotport
