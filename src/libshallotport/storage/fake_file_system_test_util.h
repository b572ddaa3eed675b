#ifndef SHALLOTPORT_STORAGE_FAKE_FILE_SYSTEM_TEST_UTIL_H_
#define SHALLOTPORT_STORAGE_FAKE_FILE_SYSTEM_TEST_UTIL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/random_source.h"
#include "storage/file_system.h"

namespace shallotport {

// Files in memory that forget what was not synced when the host crashes, and
// whose disk can fill up or fail.
class fake_file_system final : public file_system {
 public:
  struct inode {
    std::string bytes;
    std::string synced;
  };

  // What a crash leaves: synced bytes, a random part of the others, possibly
  // damaged, and either all or none of the unsynced folder changes.
  void Crash(random_source& random) {
    const std::lock_guard lock(mutex_);
    if (UniformBelow(random, 2) == 0) {
      live_ = durable_;
    }
    for (auto& [path, node] : live_) {
      const bool is_extended = node->bytes.starts_with(node->synced);
      if (!is_extended) {
        node->bytes = node->synced;
        continue;
      }
      const size_t extra = node->bytes.size() - node->synced.size();
      const size_t kept = UniformBelow(random, extra + 1);
      node->bytes.resize(node->synced.size() + kept);
      if (kept > 0 && UniformBelow(random, 4) == 0) {
        node->bytes[node->synced.size() + UniformBelow(random, kept)] ^= 0x40;
      }
      node->synced = node->bytes;
    }
    durable_ = live_;
  }

  // As Crash(), but of the unsynced folder changes each creation and removal is
  // kept or undone on its own.
  void CrashEachName(random_source& random) {
    {
      const std::lock_guard lock(mutex_);
      std::map<std::string, std::shared_ptr<inode>> kept;
      for (const auto& names : {live_, durable_}) {
        for (const auto& [path, node] : names) {
          const bool is_synced =
              live_.contains(path) && durable_.contains(path);
          if (is_synced || UniformBelow(random, 2) == 0) {
            kept.try_emplace(path, node);
          }
        }
      }
      live_ = kept;
      durable_ = std::move(kept);
    }
    Crash(random);
  }

  void Wipe() {
    const std::lock_guard lock(mutex_);
    live_.clear();
    durable_.clear();
  }

  // The next `count` syncs fail; what they covered stays unsynced.
  void FailSyncs(int count) { failing_syncs_ = count; }
  // Called once, by the next sync, before its bytes are durable.
  void OnNextSync(std::function<void()> on_sync) {
    on_next_sync_ = std::move(on_sync);
  }
  // Total bytes that the disk holds.
  void SetCapacity(uint64_t bytes) { capacity_ = bytes; }
  uint64_t used_bytes() const {
    uint64_t used = 0;
    for (const auto& [path, node] : live_) {
      used += node->bytes.size();
    }
    return used;
  }
  std::string& BytesOf(const std::string& path) {
    return live_.at(path)->bytes;
  }
  bool Exists(const std::string& path) const { return live_.contains(path); }
  int sync_count() const { return sync_count_; }

  result<std::unique_ptr<appendable_file>> Open(
      const std::string& path) override {
    const std::lock_guard lock(mutex_);
    auto& node = live_[path];
    if (node == nullptr) {
      node = std::make_shared<inode>();
    }
    return std::unique_ptr<appendable_file>(
        std::make_unique<open_file>(*this, node));
  }

  result<std::string> Read(const std::string& path,
                           uint64_t offset,
                           uint64_t length) const override {
    const std::lock_guard lock(mutex_);
    const auto found = live_.find(path);
    if (found == live_.end()) {
      return MakeError(error_kind::kNotFound, path);
    }
    const std::string& bytes = found->second->bytes;
    return offset >= bytes.size() ? std::string()
                                  : bytes.substr(offset, length);
  }

  result<uint64_t> SizeOf(const std::string& path) const override {
    const std::lock_guard lock(mutex_);
    const auto found = live_.find(path);
    if (found == live_.end()) {
      return MakeError(error_kind::kNotFound, path);
    }
    return static_cast<uint64_t>(found->second->bytes.size());
  }

  result<std::vector<std::string>> List(
      const std::string& folder) const override {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [path, node] : live_) {
      if (path.starts_with(folder + "/")) {
        names.push_back(path.substr(folder.size() + 1));
      }
    }
    return names;
  }

  status CreateFolder(const std::string&) override { return success{}; }

  status Rename(const std::string& from, const std::string& to) override {
    const std::lock_guard lock(mutex_);
    const auto found = live_.find(from);
    if (found == live_.end()) {
      return MakeError(error_kind::kNotFound, from);
    }
    live_[to] = std::move(found->second);
    live_.erase(from);
    return success{};
  }

  status Remove(const std::string& path) override {
    const std::lock_guard lock(mutex_);
    if (live_.erase(path) == 0) {
      return MakeError(error_kind::kNotFound, path);
    }
    return success{};
  }

  status SyncFolder(const std::string&) override {
    const std::lock_guard lock(mutex_);
    durable_ = live_;
    return success{};
  }

  uint64_t FreeBytes(const std::string&) const override { return free_bytes_; }
  void SetFreeBytes(uint64_t bytes) { free_bytes_ = bytes; }

 private:
  class open_file final : public appendable_file {
   public:
    open_file(fake_file_system& files, std::shared_ptr<inode> node)
        : files_(files), node_(std::move(node)) {}

    status Append(std::string_view bytes) override {
      const std::lock_guard lock(files_.mutex_);
      const uint64_t used = files_.used_bytes();
      const uint64_t room =
          files_.capacity_ > used ? files_.capacity_ - used : 0;
      node_->bytes += bytes.substr(0, room);
      if (bytes.size() > room) {
        return MakeError(error_kind::kStorageFull, "disk full");
      }
      return success{};
    }

    status Sync() override {
      if (const auto on_sync = std::exchange(files_.on_next_sync_, nullptr)) {
        on_sync();
      }
      const std::lock_guard lock(files_.mutex_);
      ++files_.sync_count_;
      if (files_.failing_syncs_ > 0) {
        --files_.failing_syncs_;
        return MakeError(error_kind::kStorageFailed, "sync failed");
      }
      node_->synced = node_->bytes;
      return success{};
    }

    status Truncate(uint64_t size) override {
      const std::lock_guard lock(files_.mutex_);
      node_->bytes.resize(size);
      return success{};
    }

    uint64_t size() const override { return node_->bytes.size(); }

   private:
    fake_file_system& files_;
    const std::shared_ptr<inode> node_;
  };

  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<inode>> live_;
  std::map<std::string, std::shared_ptr<inode>> durable_;
  std::function<void()> on_next_sync_;
  int failing_syncs_ = 0;
  int sync_count_ = 0;
  uint64_t capacity_ = UINT64_MAX;
  uint64_t free_bytes_ = UINT64_MAX;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_FAKE_FILE_SYSTEM_TEST_UTIL_H_
