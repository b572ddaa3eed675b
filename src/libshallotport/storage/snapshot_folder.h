#ifndef SHALLOTPORT_STORAGE_SNAPSHOT_FOLDER_H_
#define SHALLOTPORT_STORAGE_SNAPSHOT_FOLDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

class file_system;

// The snapshot files of one group, named by the index of the last entry that
// they contain. Files are written under a temporary name and renamed when they
// are whole, so a file with its final name is never half written.
class snapshot_folder {
 public:
  snapshot_folder(file_system& files, std::string folder);

  std::string PathOf(uint64_t index) const;
  // `purpose` keeps concurrent writers apart, e.g. "taken" and "received".
  std::string TemporaryPathOf(uint64_t index, std::string_view purpose) const;

  // Indices of the whole snapshots, rising.
  result<std::vector<uint64_t>> List() const;

  // Removes temporary files that an earlier process left.
  status RemoveTemporaries() const;

  // Removes whole snapshots below `index`.
  status RemoveBefore(uint64_t index) const;

  // Gives a written and synced temporary file its final name, for good.
  status Publish(const std::string& temporary, uint64_t index) const;

  file_system& files() const { return files_; }

 private:
  file_system& files_;
  const std::string folder_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_SNAPSHOT_FOLDER_H_
