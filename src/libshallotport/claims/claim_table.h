#ifndef SHALLOTPORT_CLAIMS_CLAIM_TABLE_H_
#define SHALLOTPORT_CLAIMS_CLAIM_TABLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "base/clock.h"
#include "claims/claim_messages.h"

namespace shallotport {

// The holder of an open claim, or the last holder of one whose outcome is
// unknown.
struct claim_holder_record {
  host_id host;
  incarnation host_incarnation = 0;
  endpoint_id endpoint;
  wall_milliseconds open_until = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, endpoint, open_until);
  }
};

enum class claim_phase : uint8_t { kOpen = 0, kUnknown = 1, kSettled = 2 };

// One claim. Holder and response are immutable and shared between the table and
// its snapshots.
struct claim_entry {
  claim_digest request;
  uint64_t attempt_hash = 0;
  wall_milliseconds expires_at = 0;
  claim_phase phase = claim_phase::kOpen;
  std::shared_ptr<const claim_holder_record> holder;  // Open and unknown.
  std::shared_ptr<const claim_response> response;     // Answered.
};

// The claims by key, in copy-on-write shards: a snapshot shares each shard with
// the table until the table next changes it. Taking a snapshot copies one
// pointer per shard.
class claim_table {
 public:
  using shard = std::unordered_map<claim_key, claim_entry>;
  static constexpr size_t kShardCount = 1024;
  using snapshot = std::array<std::shared_ptr<const shard>, kShardCount>;

  claim_table();

  // Null when there is no claim. Valid until the next change of the table.
  const claim_entry* Find(const claim_key& key) const;

  void Put(const claim_key& key, claim_entry entry);
  void Erase(const claim_key& key);

  size_t size() const { return size_; }

  std::unique_ptr<snapshot> TakeSnapshot() const;

 private:
  // The shard of `key`, copied first if a snapshot shares it.
  shard& MutableShard(const claim_key& key);
  static size_t ShardIndex(const claim_key& key) {
    return key.high % kShardCount;
  }

  std::array<std::shared_ptr<shard>, kShardCount> shards_;
  // Snapshots taken so far, and their count when each shard was last copied.
  mutable uint64_t snapshot_count_ = 0;
  std::array<uint64_t, kShardCount> shard_snapshot_counts_{};
  size_t size_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_CLAIM_TABLE_H_
