#include "storage/payload_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "storage/file_system.h"

namespace shallotport {

namespace {

constexpr std::string_view kSegmentSuffix = ".payloads";

std::string PathOf(const std::string& folder, uint32_t number) {
  std::string path = folder;
  path.append("/").append(std::to_string(number)).append(kSegmentSuffix);
  return path;
}

}  // namespace

// One file and the number of payloads in it that are still wanted.
class payload_store::segment {
 public:
  segment(std::string path, std::unique_ptr<appendable_file> file)
      : path(std::move(path)), file(std::move(file)) {}

  const std::string path;
  const std::unique_ptr<appendable_file> file;
  uint64_t live = 0;
  uint64_t live_bytes = 0;
};

result<std::unique_ptr<payload_store>> payload_store::Open(
    std::string folder,
    file_system* files,
    uint64_t segment_bytes) {
  file_system& used = files == nullptr ? PosixFileSystem() : *files;
  if (status created = used.CreateFolder(folder); !IsOk(created)) {
    return ErrorOf(created);
  }
  const auto names = used.List(folder);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  for (const std::string& name : ValueOf(names)) {
    if (!name.ends_with(kSegmentSuffix)) {
      continue;
    }
    std::string path = folder;
    path.append("/").append(name);
    if (status removed = used.Remove(path); !IsOk(removed)) {
      return ErrorOf(removed);
    }
  }
  return std::unique_ptr<payload_store>(
      new payload_store(std::move(folder), used, segment_bytes));
}

payload_store::payload_store(std::string folder,
                             file_system& files,
                             uint64_t segment_bytes)
    : folder_(std::move(folder)),
      files_(files),
      segment_bytes_(segment_bytes) {}

payload_store::~payload_store() = default;

result<payload_ref> payload_store::Append(std::string_view payload) {
  if (payload.size() > UINT32_MAX) {
    return MakeError(error_kind::kTooLarge, "payload of 4 GiB or more");
  }
  const std::lock_guard lock(mutex_);
  const bool is_full = segments_.empty() || segments_.back() == nullptr ||
                       segments_.back()->file->size() >= segment_bytes_;
  if (is_full) {
    if (status started = StartSegment(); !IsOk(started)) {
      return ErrorOf(started);
    }
  }
  segment& last = *segments_.back();
  const uint64_t offset = last.file->size();
  if (status written = last.file->Append(payload); !IsOk(written)) {
    last.file->Truncate(offset);
    return ErrorOf(written);
  }
  ++last.live;
  last.live_bytes += payload.size();
  payload_ref ref;
  ref.segment = first_segment_ + static_cast<uint32_t>(segments_.size()) - 1;
  ref.length = static_cast<uint32_t>(payload.size());
  ref.offset = offset;
  return ref;
}

status payload_store::StartSegment() {
  const uint32_t number =
      first_segment_ + static_cast<uint32_t>(segments_.size());
  const std::string path = PathOf(folder_, number);
  auto file = files_.Open(path);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  segments_.push_back(
      std::make_unique<segment>(path, std::move(ValueOf(file))));
  return success{};
}

payload_store::segment* payload_store::Find(uint32_t number) const {
  if (number < first_segment_ || number - first_segment_ >= segments_.size()) {
    return nullptr;
  }
  return segments_[number - first_segment_].get();
}

result<std::string> payload_store::Read(const payload_ref& ref) const {
  std::string path;
  {
    const std::lock_guard lock(mutex_);
    const segment* found = Find(ref.segment);
    if (found == nullptr) {
      return MakeError(error_kind::kNotFound, "payload was released");
    }
    path = found->path;
  }
  auto bytes = files_.Read(path, ref.offset, ref.length);
  if (IsOk(bytes) && ValueOf(bytes).size() != ref.length) {
    return MakeError(error_kind::kCorrupt, path + " is too short");
  }
  return bytes;
}

void payload_store::Release(const payload_ref& ref) {
  const std::lock_guard lock(mutex_);
  segment* found = Find(ref.segment);
  if (found == nullptr || found->live == 0) {
    return;
  }
  --found->live;
  found->live_bytes -= ref.length;
  if (found->live == 0) {
    DeleteReleased();
  }
}

std::shared_ptr<const void> payload_store::Hold() {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<const hold> held = hold_.lock();
  if (held == nullptr) {
    held = std::make_shared<const hold>();
    hold_ = held;
  }
  return held;
}

bool payload_store::IsDeletable(const segment& examined) const {
  const bool is_open_for_writing = &examined == segments_.back().get() &&
                                   examined.file->size() < segment_bytes_;
  return examined.live == 0 && !is_open_for_writing;
}

void payload_store::DeleteReleased() {
  if (!hold_.expired()) {
    return;  // The next release after the hold deletes them.
  }
  for (auto& each : segments_) {
    if (each != nullptr && IsDeletable(*each)) {
      files_.Remove(each->path);
      each.reset();
    }
  }
  while (!segments_.empty() && segments_.front() == nullptr) {
    segments_.pop_front();
    ++first_segment_;
  }
}

void payload_store::WriteState(nlohmann::json& out) const {
  const std::lock_guard lock(mutex_);
  uint64_t files = 0;
  uint64_t live = 0;
  uint64_t live_bytes = 0;
  uint64_t file_bytes = 0;
  for (const auto& each : segments_) {
    if (each != nullptr) {
      ++files;
      live += each->live;
      live_bytes += each->live_bytes;
      file_bytes += each->file->size();
    }
  }
  nlohmann::json& counters = out["counters"];
  counters["payload_segments"] = files;
  counters["payloads"] = live;
  counters["payload_bytes"] = live_bytes;
  counters["payload_file_bytes"] = file_bytes;
}

}  // namespace shallotport
