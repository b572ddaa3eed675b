#ifndef SHALLOTPORT_STORAGE_SNAPSHOT_FILE_READER_H_
#define SHALLOTPORT_STORAGE_SNAPSHOT_FILE_READER_H_

#include <cstdint>
#include <string>

#include "base/result.h"

namespace shallotport {

class file_system;

// One record of a snapshot file.
struct snapshot_record {
  uint8_t kind = 0;
  std::string payload;
};

// Reads the records of one snapshot file in order. Damage of any kind, also a
// missing end record, is kCorrupt with file and offset.
class snapshot_file_reader {
 public:
  static result<snapshot_file_reader> Open(const file_system& files,
                                           std::string path,
                                           uint32_t group,
                                           uint64_t index);

  // The next record; kSnapshotEndRecord at the end.
  result<snapshot_record> Next();

  // Reads the whole file through and starts again at its first record.
  status Verify();

 private:
  snapshot_file_reader(const file_system& files, std::string path);
  error Damage(const std::string& what) const;

  const file_system* files_;
  std::string path_;
  uint64_t offset_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_SNAPSHOT_FILE_READER_H_
