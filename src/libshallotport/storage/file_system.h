#ifndef SHALLOTPORT_STORAGE_FILE_SYSTEM_H_
#define SHALLOTPORT_STORAGE_FILE_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

// A file that is only ever appended to.
class appendable_file {
 public:
  virtual ~appendable_file() = default;

  // kStorageFull when the disk is full; part of the bytes may then be written.
  virtual status Append(std::string_view bytes) = 0;

  // Makes everything appended so far survive a crash. After a failure nothing
  // is known about what is on the disk.
  virtual status Sync() = 0;

  // Cuts the file back to `size` bytes.
  virtual status Truncate(uint64_t size) = 0;

  virtual uint64_t size() const = 0;
};

// The few file operations that storage needs, so that tests can lose unsynced
// bytes, tear writes, fail syncs and fill the disk. Paths are plain text.
class file_system {
 public:
  virtual ~file_system() = default;

  // Creates the file, or opens it for appending at its end.
  virtual result<std::unique_ptr<appendable_file>> Open(
      const std::string& path) = 0;

  // Up to `length` bytes from `offset`; fewer at the end of the file.
  virtual result<std::string> Read(const std::string& path,
                                   uint64_t offset,
                                   uint64_t length) const = 0;
  virtual result<uint64_t> SizeOf(const std::string& path) const = 0;

  // Names (no paths) of the folder's files, sorted.
  virtual result<std::vector<std::string>> List(
      const std::string& folder) const = 0;
  virtual status CreateFolder(const std::string& folder) = 0;
  virtual status Rename(const std::string& from, const std::string& to) = 0;
  virtual status Remove(const std::string& path) = 0;

  // Makes creations, renames and removals in the folder survive a crash.
  virtual status SyncFolder(const std::string& folder) = 0;

  // Bytes that can still be written to the folder's disk.
  virtual uint64_t FreeBytes(const std::string& folder) const = 0;
};

// The operating system's files.
file_system& PosixFileSystem();

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_FILE_SYSTEM_H_
