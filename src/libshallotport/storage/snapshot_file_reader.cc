#include "storage/snapshot_file_reader.h"

#include <utility>

#include "storage/file_header.h"
#include "storage/file_system.h"
#include "storage/record_frame.h"
#include "storage/snapshot_file_writer.h"

namespace shallotport {

result<snapshot_file_reader> snapshot_file_reader::Open(
    const file_system& files,
    std::string path,
    uint32_t group,
    uint64_t index) {
  const auto header = files.Read(path, 0, kFileHeaderBytes);
  if (!IsOk(header)) {
    return ErrorOf(header);
  }
  snapshot_file_reader reader(files, std::move(path));
  const status checked =
      CheckFileHeader(ValueOf(header), {kSnapshotFormat, group, index});
  if (!IsOk(checked)) {
    return reader.Damage(ErrorOf(checked).detail);
  }
  reader.offset_ = kFileHeaderBytes;
  return reader;
}

snapshot_file_reader::snapshot_file_reader(const file_system& files,
                                           std::string path)
    : files_(&files), path_(std::move(path)) {}

error snapshot_file_reader::Damage(const std::string& what) const {
  return MakeError(
      error_kind::kCorrupt,
      path_ + " at offset " + std::to_string(offset_) + ": " + what);
}

result<snapshot_record> snapshot_file_reader::Next() {
  const auto header = files_->Read(path_, offset_, kFrameHeaderBytes);
  if (!IsOk(header)) {
    return ErrorOf(header);
  }
  const uint32_t length = FrameLength(ValueOf(header));
  if (length > kMaxFramePayload) {
    return Damage("damaged record");
  }
  const auto bytes = files_->Read(path_, offset_, kFrameHeaderBytes + length);
  if (!IsOk(bytes)) {
    return ErrorOf(bytes);
  }
  const auto frame = ParseFrame(ValueOf(bytes), 0);
  if (!frame) {
    return Damage("damaged record");
  }
  offset_ += FrameBytes(frame->payload);
  return snapshot_record{frame->kind, std::string(frame->payload)};
}

status snapshot_file_reader::Verify() {
  while (true) {
    const auto record = Next();
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    if (ValueOf(record).kind == kSnapshotEndRecord) {
      offset_ = kFileHeaderBytes;
      return success{};
    }
  }
}

}  // namespace shallotport
