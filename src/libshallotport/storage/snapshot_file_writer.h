#ifndef SHALLOTPORT_STORAGE_SNAPSHOT_FILE_WRITER_H_
#define SHALLOTPORT_STORAGE_SNAPSHOT_FILE_WRITER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/snapshot_folder.h"

namespace shallotport {

class appendable_file;

// The record kind that ends a snapshot file; writers use the kinds below it.
inline constexpr uint8_t kSnapshotEndRecord = 255;

// Writes one snapshot file: records under a temporary name, then an end
// record, sync, rename and folder sync. A file that was not committed is
// removed with the writer.
class snapshot_file_writer {
 public:
  static result<std::unique_ptr<snapshot_file_writer>>
  Create(const snapshot_folder& folder, uint32_t group, uint64_t index);
  ~snapshot_file_writer();

  status Append(uint8_t kind, std::string_view payload);
  status Commit();

  uint64_t size() const;

 private:
  snapshot_file_writer(const snapshot_folder& folder,
                       uint64_t index,
                       std::string path,
                       std::unique_ptr<appendable_file> file);

  const snapshot_folder folder_;
  const uint64_t index_;
  const std::string path_;
  const std::unique_ptr<appendable_file> file_;
  bool is_committed_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_SNAPSHOT_FILE_WRITER_H_
