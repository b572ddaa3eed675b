#include <fcntl.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include "storage/file_system.h"

namespace shallotport {

namespace {

error SystemError(const std::string& action, const std::string& path) {
  const int number = errno;
  const bool is_full = number == ENOSPC || number == EDQUOT;
  const error_kind kind = number == ENOENT ? error_kind::kNotFound
                          : is_full        ? error_kind::kStorageFull
                                           : error_kind::kStorageFailed;
  return MakeError(kind, action + " " + path + ": " + std::strerror(number));
}

// Owns a file descriptor.
class descriptor {
 public:
  descriptor(const std::string& path, int flags)
      : number_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {}
  ~descriptor() {
    if (number_ >= 0) {
      ::close(number_);
    }
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  bool IsOpen() const { return number_ >= 0; }
  int number() const { return number_; }

 private:
  const int number_;
};

class posix_file final : public appendable_file {
 public:
  explicit posix_file(const std::string& path)
      : path_(path), file_(path, O_RDWR | O_CREAT) {
    if (file_.IsOpen()) {
      const off_t end = ::lseek(file_.number(), 0, SEEK_END);
      size_ = end < 0 ? 0 : static_cast<uint64_t>(end);
    }
  }

  bool IsOpen() const { return file_.IsOpen(); }

  status Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::pwrite(file_.number(), bytes.data(),
                                       bytes.size(), static_cast<off_t>(size_));
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return SystemError("write to", path_);
      }
      size_ += static_cast<uint64_t>(written);
      bytes.remove_prefix(static_cast<size_t>(written));
    }
    return success{};
  }

  status Sync() override {
    if (::fdatasync(file_.number()) != 0) {
      return SystemError("sync", path_);
    }
    return success{};
  }

  status Truncate(uint64_t size) override {
    if (::ftruncate(file_.number(), static_cast<off_t>(size)) != 0) {
      return SystemError("truncate", path_);
    }
    size_ = size;
    return success{};
  }

  uint64_t size() const override { return size_; }

 private:
  const std::string path_;
  descriptor file_;
  uint64_t size_ = 0;
};

class posix_file_system final : public file_system {
 public:
  result<std::unique_ptr<appendable_file>> Open(
      const std::string& path) override {
    auto file = std::make_unique<posix_file>(path);
    if (!file->IsOpen()) {
      return SystemError("open", path);
    }
    return file;
  }

  result<std::string> Read(const std::string& path,
                           uint64_t offset,
                           uint64_t length) const override {
    const descriptor file(path, O_RDONLY);
    if (!file.IsOpen()) {
      return SystemError("open", path);
    }
    const result<uint64_t> size = SizeOf(path);
    if (!IsOk(size)) {
      return ErrorOf(size);
    }
    const uint64_t available =
        ValueOf(size) > offset ? ValueOf(size) - offset : 0;
    std::string bytes(std::min(length, available), '\0');
    size_t used = 0;
    while (used < bytes.size()) {
      const ssize_t got =
          ::pread(file.number(), bytes.data() + used, bytes.size() - used,
                  static_cast<off_t>(offset + used));
      if (got < 0 && errno == EINTR) {
        continue;
      }
      if (got < 0) {
        return SystemError("read", path);
      }
      if (got == 0) {
        break;
      }
      used += static_cast<size_t>(got);
    }
    bytes.resize(used);
    return bytes;
  }

  result<uint64_t> SizeOf(const std::string& path) const override {
    std::error_code failure;
    const uintmax_t size = std::filesystem::file_size(path, failure);
    if (failure) {
      errno = failure.value();
      return SystemError("measure", path);
    }
    return static_cast<uint64_t>(size);
  }

  result<std::vector<std::string>> List(
      const std::string& folder) const override {
    std::error_code failure;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator at(folder, failure), end;
         !failure && at != end; at.increment(failure)) {
      names.push_back(at->path().filename().string());
    }
    if (failure) {
      errno = failure.value();
      return SystemError("list", folder);
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  status CreateFolder(const std::string& folder) override {
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure) {
      errno = failure.value();
      return SystemError("create", folder);
    }
    return success{};
  }

  status Rename(const std::string& from, const std::string& to) override {
    if (::rename(from.c_str(), to.c_str()) != 0) {
      return SystemError("rename", from);
    }
    return success{};
  }

  status Remove(const std::string& path) override {
    if (::unlink(path.c_str()) != 0) {
      return SystemError("remove", path);
    }
    return success{};
  }

  status SyncFolder(const std::string& folder) override {
    const descriptor file(folder, O_RDONLY | O_DIRECTORY);
    if (!file.IsOpen()) {
      return SystemError("open", folder);
    }
    if (::fsync(file.number()) != 0) {
      return SystemError("sync", folder);
    }
    return success{};
  }

  uint64_t FreeBytes(const std::string& folder) const override {
    struct statvfs disk {};
    if (::statvfs(folder.c_str(), &disk) != 0) {
      return 0;
    }
    return static_cast<uint64_t>(disk.f_bavail) * disk.f_frsize;
  }
};

}  // namespace

file_system& PosixFileSystem() {
  static posix_file_system files;
  return files;
}

}  // namespace shallotport
