#include "storage/write_ahead_log.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "base/log.h"
#include "storage/file_header.h"
#include "storage/file_system.h"
#include "storage/record_frame.h"

namespace shallotport {

namespace {

constexpr std::string_view kDuty = "storage";
constexpr std::string_view kPrefix = "log-";
constexpr std::string_view kSuffix = ".wal";

std::optional<uint32_t> SegmentOfName(std::string_view name) {
  if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) {
    return std::nullopt;
  }
  name.remove_prefix(kPrefix.size());
  name.remove_suffix(kSuffix.size());
  uint32_t segment = 0;
  const auto parsed =
      std::from_chars(name.data(), name.data() + name.size(), segment);
  if (parsed.ec != std::errc() || parsed.ptr != name.data() + name.size()) {
    return std::nullopt;
  }
  return segment;
}

// True when a record after `offset` shows that the bytes at `offset` had been
// synced, so that their damage is no torn write.
bool WasSynced(std::string_view bytes, size_t offset) {
  char marker[sizeof(kFrameMarker)];
  for (size_t i = 0; i < sizeof(marker); ++i) {
    marker[i] = static_cast<char>(kFrameMarker >> (8 * i));
  }
  const std::string_view wanted(marker, sizeof(marker));
  size_t at = bytes.find(wanted, offset + 1);
  while (at != std::string_view::npos) {
    const auto frame = ParseFrame(bytes, at);
    if (frame && frame->synced > offset) {
      return true;
    }
    at = bytes.find(wanted, at + 1);
  }
  return false;
}

}  // namespace

result<std::unique_ptr<write_ahead_log>> write_ahead_log::Open(
    file_system& files,
    write_ahead_log_options options,
    const visitor& visit) {
  if (status made = files.CreateFolder(options.folder); !IsOk(made)) {
    return ErrorOf(made);
  }
  std::unique_ptr<write_ahead_log> log(
      new write_ahead_log(files, std::move(options)));
  if (status recovered = log->Recover(visit); !IsOk(recovered)) {
    return ErrorOf(recovered);
  }
  return log;
}

write_ahead_log::write_ahead_log(file_system& files,
                                 write_ahead_log_options options)
    : files_(files), options_(std::move(options)) {}

write_ahead_log::~write_ahead_log() = default;

std::string write_ahead_log::PathOf(uint32_t segment) const {
  std::string digits = std::to_string(segment);
  digits.insert(0, 10 - digits.size(), '0');
  return options_.folder + "/" + std::string(kPrefix) + digits +
         std::string(kSuffix);
}

status write_ahead_log::Recover(const visitor& visit) {
  const auto names = files_.List(options_.folder);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  std::vector<uint32_t> segments;
  for (const std::string& name : ValueOf(names)) {
    if (const auto segment = SegmentOfName(name)) {
      segments.push_back(*segment);
    }
  }
  if (segments.empty()) {
    return OpenSegment(1);
  }
  const auto gap = std::adjacent_find(
      segments.rbegin(), segments.rend(),
      [](uint32_t later, uint32_t earlier) { return later != earlier + 1; });
  if (gap != segments.rend()) {
    const std::string missing = PathOf(*gap - 1) + " is missing";
    if (!options_.begins_after_gap) {
      return MakeError(error_kind::kCorrupt, missing);
    }
    LogWarning(kDuty, missing + ": the log is read from the segment after it");
    const auto first_read = gap.base() - 1;
    leftovers_.assign(segments.begin(), first_read);
    segments.erase(segments.begin(), first_read);
  }
  first_ = segments.front();
  for (size_t i = 0; i < segments.size(); ++i) {
    const bool is_last = i + 1 == segments.size();
    status recovered = RecoverSegment(segments[i], is_last, visit);
    if (!IsOk(recovered)) {
      return recovered;
    }
  }
  return success{};
}

status write_ahead_log::RecoverSegment(uint32_t segment,
                                       bool is_last,
                                       const visitor& visit) {
  const std::string path = PathOf(segment);
  const auto content = files_.Read(path, 0, UINT64_MAX);
  if (!IsOk(content)) {
    return ErrorOf(content);
  }
  const std::string_view bytes = ValueOf(content);
  const bool is_empty = bytes.size() <= kFileHeaderBytes;
  const status header =
      CheckFileHeader(bytes, {kLogFormat, options_.group, segment});
  if (!IsOk(header) && is_last && is_empty) {
    // The process ended while it was creating the segment.
    if (status removed = files_.Remove(path); !IsOk(removed)) {
      return removed;
    }
    return OpenSegment(segment);
  }
  if (!IsOk(header)) {
    return MakeError(error_kind::kCorrupt,
                     path + " at offset 0: " + ErrorOf(header).detail);
  }
  size_t offset = kFileHeaderBytes;
  while (offset < bytes.size()) {
    const auto frame = ParseFrame(bytes, offset);
    if (!frame) {
      break;
    }
    const log_record record{frame->kind,
                            std::string(frame->payload),
                            {segment, static_cast<uint32_t>(offset)}};
    if (status visited = visit(record); !IsOk(visited)) {
      return visited;
    }
    offset += FrameBytes(frame->payload);
  }
  if (offset < bytes.size() && (!is_last || WasSynced(bytes, offset))) {
    return MakeError(error_kind::kCorrupt,
                     path + " at offset " + std::to_string(offset) +
                         ": damaged record before the end of the log");
  }
  return is_last ? CutTail(segment, offset) : status(success{});
}

status write_ahead_log::CutTail(uint32_t segment, uint64_t size) {
  auto file = files_.Open(PathOf(segment));
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  file_ = std::move(ValueOf(file));
  current_ = segment;
  if (file_->size() > size) {
    LogWarning(kDuty, PathOf(segment) + ": cut a torn tail of " +
                          std::to_string(file_->size() - size) + " bytes");
    if (status cut = file_->Truncate(size); !IsOk(cut)) {
      return cut;
    }
  }
  // What was read may not have been synced before the process ended.
  if (status synced = file_->Sync(); !IsOk(synced)) {
    return synced;
  }
  return files_.SyncFolder(options_.folder);
}

status write_ahead_log::OpenSegment(uint32_t segment) {
  auto file = files_.Open(PathOf(segment));
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  const std::string header =
      EncodeFileHeader({kLogFormat, options_.group, segment});
  std::unique_ptr<appendable_file> opened = std::move(ValueOf(file));
  if (status written = opened->Append(header); !IsOk(written)) {
    files_.Remove(PathOf(segment));
    return written;
  }
  if (status synced = opened->Sync(); !IsOk(synced)) {
    return Fail(ErrorOf(synced));
  }
  if (status synced = files_.SyncFolder(options_.folder); !IsOk(synced)) {
    return Fail(ErrorOf(synced));
  }
  file_ = std::move(opened);
  current_ = segment;
  return success{};
}

status write_ahead_log::Fail(const error& cause) {
  is_failed_ = true;
  return MakeError(error_kind::kStorageFailed, cause.detail);
}

log_position write_ahead_log::Append(uint8_t kind, std::string_view payload) {
  const auto synced = static_cast<uint32_t>(file_->size());
  const auto offset = static_cast<uint32_t>(synced + gathered_.size());
  AppendFrame(gathered_, kind, synced, payload);
  return {current_, offset};
}

status write_ahead_log::Sync() {
  if (is_failed_) {
    return MakeError(error_kind::kStorageFailed, "an earlier sync failed");
  }
  if (gathered_.empty()) {
    return success{};
  }
  const uint64_t before = file_->size();
  if (status written = file_->Append(gathered_); !IsOk(written)) {
    const status cut = file_->Truncate(before);
    const bool can_retry =
        ErrorOf(written).kind == error_kind::kStorageFull && IsOk(cut);
    return can_retry ? written : Fail(ErrorOf(written));
  }
  if (status synced = file_->Sync(); !IsOk(synced)) {
    return Fail(ErrorOf(synced));
  }
  ++syncs_;
  written_bytes_ += gathered_.size();
  gathered_.clear();
  return success{};
}

result<log_record> write_ahead_log::Read(const log_position& position) const {
  const bool is_gathered =
      position.segment == current_ && position.offset >= file_->size();
  std::string bytes;
  if (is_gathered) {
    bytes = gathered_.substr(position.offset - file_->size());
  } else {
    const std::string path = PathOf(position.segment);
    auto header = files_.Read(path, position.offset, kFrameHeaderBytes);
    if (!IsOk(header)) {
      return ErrorOf(header);
    }
    const uint64_t length = FrameLength(ValueOf(header));
    auto whole = files_.Read(path, position.offset, kFrameHeaderBytes + length);
    if (!IsOk(whole)) {
      return ErrorOf(whole);
    }
    bytes = std::move(ValueOf(whole));
  }
  const auto frame = ParseFrame(bytes, 0);
  if (!frame) {
    return MakeError(error_kind::kCorrupt,
                     PathOf(position.segment) + " at offset " +
                         std::to_string(position.offset) + ": damaged record");
  }
  return log_record{frame->kind, std::string(frame->payload), position};
}

bool write_ahead_log::IsSegmentFull() const {
  return file_->size() >= options_.segment_bytes;
}

status write_ahead_log::StartSegment() {
  return OpenSegment(current_ + 1);
}

// Each removal is durable before the next one: a power loss may undo any of
// those that are not, and leave a gap.
status write_ahead_log::RemoveSegment(uint32_t segment) {
  if (status removed = files_.Remove(PathOf(segment)); !IsOk(removed)) {
    return removed;
  }
  return files_.SyncFolder(options_.folder);
}

status write_ahead_log::RemoveSegmentsBefore(uint32_t segment) {
  while (first_ < segment && first_ < current_) {
    if (status removed = RemoveSegment(first_); !IsOk(removed)) {
      return removed;
    }
    ++first_;
  }
  return success{};
}

status write_ahead_log::RemoveLeftovers() {
  for (const uint32_t each : std::exchange(leftovers_, {})) {
    if (status removed = RemoveSegment(each); !IsOk(removed)) {
      return removed;
    }
  }
  return success{};
}

}  // namespace shallotport
