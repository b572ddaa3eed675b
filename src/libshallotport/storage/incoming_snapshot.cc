#include "storage/incoming_snapshot.h"

#include <utility>

#include "storage/file_system.h"
#include "storage/snapshot_file_reader.h"

namespace shallotport {

result<std::unique_ptr<incoming_snapshot>> incoming_snapshot::Create(
    const snapshot_folder& folder,
    uint32_t group,
    uint64_t index) {
  const std::string path = folder.TemporaryPathOf(index, "received");
  auto file = folder.files().Open(path);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  std::unique_ptr<incoming_snapshot> incoming(new incoming_snapshot(
      folder, group, index, path, std::move(ValueOf(file))));
  if (status emptied = incoming->file_->Truncate(0); !IsOk(emptied)) {
    return ErrorOf(emptied);
  }
  return incoming;
}

incoming_snapshot::incoming_snapshot(const snapshot_folder& folder,
                                     uint32_t group,
                                     uint64_t index,
                                     std::string path,
                                     std::unique_ptr<appendable_file> file)
    : folder_(folder),
      group_(group),
      index_(index),
      path_(std::move(path)),
      file_(std::move(file)) {}

incoming_snapshot::~incoming_snapshot() {
  if (!is_committed_) {
    folder_.files().Remove(path_);
  }
}

status incoming_snapshot::Append(uint64_t offset, std::string_view bytes) {
  const uint64_t have = file_->size();
  if (offset > have || offset + bytes.size() <= have) {
    return success{};
  }
  status written = file_->Append(bytes.substr(have - offset));
  if (!IsOk(written)) {
    file_->Truncate(have);
  }
  return written;
}

status incoming_snapshot::Commit() {
  auto reader =
      snapshot_file_reader::Open(folder_.files(), path_, group_, index_);
  if (!IsOk(reader)) {
    return ErrorOf(reader);
  }
  if (status verified = ValueOf(reader).Verify(); !IsOk(verified)) {
    return verified;
  }
  if (status synced = file_->Sync(); !IsOk(synced)) {
    return synced;
  }
  if (status published = folder_.Publish(path_, index_); !IsOk(published)) {
    return published;
  }
  is_committed_ = true;
  return success{};
}

uint64_t incoming_snapshot::size() const {
  return file_->size();
}

}  // namespace shallotport
