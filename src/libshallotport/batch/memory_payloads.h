#ifndef SHALLOTPORT_BATCH_MEMORY_PAYLOADS_H_
#define SHALLOTPORT_BATCH_MEMORY_PAYLOADS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/result.h"
#include "batch/item_payloads.h"

namespace shallotport {

// Payloads in memory, for tests and hosts without a data folder. Append() fails
// beyond `capacity_bytes`.
class memory_payloads final : public item_payloads {
 public:
  explicit memory_payloads(size_t capacity_bytes = SIZE_MAX)
      : capacity_bytes_(capacity_bytes) {}

  result<payload_location> Append(std::string_view bytes) override {
    const std::lock_guard lock(mutex_);
    if (bytes.size() > capacity_bytes_ - used_bytes_) {
      return MakeError(error_kind::kStorageFull, "payload memory is full");
    }
    used_bytes_ += bytes.size();
    const uint32_t key = next_key_++;
    payloads_.emplace(key, bytes);
    return payload_location{0, key, static_cast<uint32_t>(bytes.size())};
  }

  result<std::string> Read(const payload_location& payload) const override {
    const std::lock_guard lock(mutex_);
    const auto found = payloads_.find(payload.offset);
    if (found == payloads_.end()) {
      return MakeError(error_kind::kCorrupt, "payload was released");
    }
    return found->second;
  }

  void Release(const payload_location& payload) override {
    const std::lock_guard lock(mutex_);
    const auto found = payloads_.find(payload.offset);
    if (found == payloads_.end()) {
      return;
    }
    used_bytes_ -= found->second.size();
    payloads_.erase(found);
  }

  // Number of payloads that were appended and not released.
  size_t size() const {
    const std::lock_guard lock(mutex_);
    return payloads_.size();
  }

 private:
  const size_t capacity_bytes_;
  mutable std::mutex mutex_;
  std::unordered_map<uint32_t, std::string> payloads_;
  size_t used_bytes_ = 0;
  uint32_t next_key_ = 1;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_MEMORY_PAYLOADS_H_
