#ifndef SHALLOTPORT_STORAGE_INCOMING_SNAPSHOT_H_
#define SHALLOTPORT_STORAGE_INCOMING_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/snapshot_folder.h"

namespace shallotport {

class appendable_file;

// A snapshot file that arrives from another member in chunks. Published only
// when it is whole and every checksum in it is right.
class incoming_snapshot {
 public:
  static result<std::unique_ptr<incoming_snapshot>>
  Create(const snapshot_folder& folder, uint32_t group, uint64_t index);
  ~incoming_snapshot();

  // Takes the bytes at `offset`; those already here are skipped and a gap is
  // ignored. The sender goes on from size().
  status Append(uint64_t offset, std::string_view bytes);

  // Checks, syncs and renames the file.
  status Commit();

  uint64_t index() const { return index_; }
  uint64_t size() const;

 private:
  incoming_snapshot(const snapshot_folder& folder,
                    uint32_t group,
                    uint64_t index,
                    std::string path,
                    std::unique_ptr<appendable_file> file);

  const snapshot_folder folder_;
  const uint32_t group_;
  const uint64_t index_;
  const std::string path_;
  const std::unique_ptr<appendable_file> file_;
  bool is_committed_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_INCOMING_SNAPSHOT_H_
