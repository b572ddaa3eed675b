#include "batch/item_table.h"

#include <cstring>

namespace shallotport {

item_table::chunk& item_table::WritableChunk(uint32_t number,
                                             uint64_t generation) {
  std::shared_ptr<chunk>& shared = chunks_[number];
  if (shared->generation != generation) {
    shared = std::make_shared<chunk>(*shared);
    shared->generation = generation;
  }
  return *shared;
}

void item_table::Append(const item_entry& entry, uint64_t generation) {
  if (size_ % kChunkItems == 0) {
    chunks_.push_back(std::make_shared<chunk>());
    chunks_.back()->generation = generation;
  }
  WritableChunk(size_ / kChunkItems, generation).entries.push_back(entry);
  ++size_;
}

item_entry& item_table::MutableAt(uint32_t index, uint64_t generation) {
  return WritableChunk(index / kChunkItems, generation)
      .entries[index % kChunkItems];
}

result<std::vector<item_entry>> item_table::ReadChunk(
    uint32_t index,
    const item_payloads& store) const {
  const uint32_t number = index / kChunkItems;
  if (!is_frozen_) {
    return chunks_[number]->entries;
  }
  const result<std::string> bytes = store.Read(stored_chunks_[number]);
  if (!IsOk(bytes)) {
    return ErrorOf(bytes);
  }
  std::vector<item_entry> entries(ValueOf(bytes).size() / sizeof(item_entry));
  std::memcpy(entries.data(), ValueOf(bytes).data(),
              entries.size() * sizeof(item_entry));
  return entries;
}

status item_table::Freeze(pinned_payloads& store) {
  for (const std::shared_ptr<chunk>& shared : chunks_) {
    const std::string_view bytes(
        reinterpret_cast<const char*>(shared->entries.data()),
        shared->entries.size() * sizeof(item_entry));
    const result<payload_location> location = store.Append(bytes);
    if (!IsOk(location)) {
      return ErrorOf(location);
    }
    stored_chunks_.push_back(ValueOf(location));
  }
  chunks_.clear();
  chunks_.shrink_to_fit();
  is_frozen_ = true;
  return success{};
}

}  // namespace shallotport
