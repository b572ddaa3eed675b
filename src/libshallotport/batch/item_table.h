#ifndef SHALLOTPORT_BATCH_ITEM_TABLE_H_
#define SHALLOTPORT_BATCH_ITEM_TABLE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "batch/item_payloads.h"
#include "batch/job_messages.h"
#include "batch/pinned_payloads.h"

namespace shallotport {

// One item of a job. The payload is the item's body until the item is settled,
// and the result or the error's detail afterwards.
struct item_entry {
  payload_location payload;
  lease_epoch epoch = 0;  // Of its lease, while leased.
  item_state state : 3 = item_state::kWaiting;
  uint8_t endpoint_deaths : 5 = 0;
  uint8_t failed_attempts = 0;
  uint8_t interruptions = 0;  // Leases that expired.
  error_kind failure = error_kind::kInternal;

  bool IsSettled() const {
    return state == item_state::kDone || state == item_state::kFailed;
  }
  // Whether the item may harm its endpoint: suspects are leased last and few at
  // a time.
  bool IsSuspect() const {
    return endpoint_deaths >= 1 || failed_attempts >= 2 || interruptions >= 3;
  }
};
static_assert(sizeof(item_entry) == 20);

// The items of one job, in chunks that snapshots share copy-on-write. Freeze()
// moves the chunks of an ended job into the payload store.
class item_table {
 public:
  static constexpr uint32_t kChunkItems = 4096;

  uint32_t size() const { return size_; }
  bool IsFrozen() const { return is_frozen_; }

  void Append(const item_entry& entry, uint64_t generation);

  // Must not be frozen.
  const item_entry& At(uint32_t index) const {
    return chunks_[index / kChunkItems]->entries[index % kChunkItems];
  }

  // The entry for modification; must not be frozen. `generation` is the number
  // of snapshots begun: a chunk that an earlier snapshot shares is copied
  // first.
  item_entry& MutableAt(uint32_t index, uint64_t generation);

  // Copies the entries of the chunk that holds `index`.
  result<std::vector<item_entry>> ReadChunk(uint32_t index,
                                            const item_payloads& store) const;

  // Moves the chunks into the store; the items can't be modified afterwards.
  status Freeze(pinned_payloads& store);

  // Locations of a frozen table's chunks in the store.
  const std::vector<payload_location>& stored_chunks() const {
    return stored_chunks_;
  }

 private:
  struct chunk {
    uint64_t generation = 0;
    std::vector<item_entry> entries;
  };

  chunk& WritableChunk(uint32_t number, uint64_t generation);

  std::vector<std::shared_ptr<chunk>> chunks_;
  std::vector<payload_location> stored_chunks_;
  uint32_t size_ = 0;
  bool is_frozen_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_ITEM_TABLE_H_
