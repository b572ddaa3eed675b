#include "storage/snapshot_file_writer.h"

#include <utility>

#include "storage/file_header.h"
#include "storage/file_system.h"
#include "storage/record_frame.h"

namespace shallotport {

result<std::unique_ptr<snapshot_file_writer>> snapshot_file_writer::Create(
    const snapshot_folder& folder,
    uint32_t group,
    uint64_t index) {
  const std::string path = folder.TemporaryPathOf(index, "taken");
  auto file = folder.files().Open(path);
  if (!IsOk(file)) {
    return ErrorOf(file);
  }
  std::unique_ptr<snapshot_file_writer> writer(
      new snapshot_file_writer(folder, index, path, std::move(ValueOf(file))));
  if (status emptied = writer->file_->Truncate(0); !IsOk(emptied)) {
    return ErrorOf(emptied);
  }
  const std::string header = EncodeFileHeader({kSnapshotFormat, group, index});
  if (status written = writer->file_->Append(header); !IsOk(written)) {
    return ErrorOf(written);
  }
  return writer;
}

snapshot_file_writer::snapshot_file_writer(
    const snapshot_folder& folder,
    uint64_t index,
    std::string path,
    std::unique_ptr<appendable_file> file)
    : folder_(folder),
      index_(index),
      path_(std::move(path)),
      file_(std::move(file)) {}

snapshot_file_writer::~snapshot_file_writer() {
  if (!is_committed_) {
    folder_.files().Remove(path_);
  }
}

status snapshot_file_writer::Append(uint8_t kind, std::string_view payload) {
  std::string frame;
  frame.reserve(FrameBytes(payload));
  AppendFrame(frame, kind, 0, payload);
  return file_->Append(frame);
}

status snapshot_file_writer::Commit() {
  if (status ended = Append(kSnapshotEndRecord, {}); !IsOk(ended)) {
    return ended;
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

uint64_t snapshot_file_writer::size() const {
  return file_->size();
}

}  // namespace shallotport
