#include "claims/claim_table.h"

#include <algorithm>
#include <utility>

namespace shallotport {

claim_table::claim_table() {
  for (auto& shard_pointer : shards_) {
    shard_pointer = std::make_shared<shard>();
  }
}

const claim_entry* claim_table::Find(const claim_key& key) const {
  const shard& entries = *shards_.at(ShardIndex(key));
  const auto found = entries.find(key);
  return found == entries.end() ? nullptr : &found->second;
}

void claim_table::Put(const claim_key& key, claim_entry entry) {
  const auto [it, is_new] =
      MutableShard(key).insert_or_assign(key, std::move(entry));
  size_ += is_new ? 1 : 0;
}

void claim_table::Erase(const claim_key& key) {
  size_ -= MutableShard(key).erase(key);
}

claim_table::shard& claim_table::MutableShard(const claim_key& key) {
  const size_t index = ShardIndex(key);
  if (shard_snapshot_counts_.at(index) != snapshot_count_) {
    shards_.at(index) = std::make_shared<shard>(*shards_.at(index));
    shard_snapshot_counts_.at(index) = snapshot_count_;
  }
  return *shards_.at(index);
}

std::unique_ptr<claim_table::snapshot> claim_table::TakeSnapshot() const {
  ++snapshot_count_;
  auto copy = std::make_unique<snapshot>();
  std::copy(shards_.begin(), shards_.end(), copy->begin());
  return copy;
}

}  // namespace shallotport
