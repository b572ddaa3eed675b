#ifndef SHALLOTPORT_BATCH_ITEM_QUEUE_H_
#define SHALLOTPORT_BATCH_ITEM_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "batch/job_messages.h"

namespace shallotport {

// Hash of the account and the beginning of an item's body; items with equal
// hashes probably share a prompt prefix.
using prefix_hash = uint64_t;

prefix_hash PrefixHashOf(const account_id& account, std::string_view body);

// The leased items of one service that wait for an endpoint on this host,
// grouped by prompt prefix so that an endpoint's prefix cache serves many of
// them in a row. Suspect items wait in a queue of their own.
class item_queue {
 public:
  void PushBack(const item_ref& item, prefix_hash prefix);
  void PushFront(const item_ref& item, prefix_hash prefix);
  void PushSuspect(const item_ref& item);
  void Remove(const item_ref& item, prefix_hash prefix);

  // Removes and returns an item with `prefix` if there is one, else one of the
  // largest group. At a fixed interval the longest waiting item is taken
  // instead, so that small groups don't starve.
  std::optional<item_ref> Pop(std::optional<prefix_hash> prefix);
  std::optional<item_ref> PopSuspect();

  size_t size() const { return size_; }
  bool HasSuspects() const { return !suspects_.empty(); }

 private:
  struct waiting_item {
    item_ref item;
    uint64_t order = 0;
  };
  using group = std::deque<waiting_item>;
  using group_map = std::map<prefix_hash, group>;

  group_map::iterator OldestGroup();
  group_map::iterator LargestGroup();

  group_map groups_;
  std::deque<item_ref> suspects_;
  uint64_t next_order_ = uint64_t{1} << 32;
  uint64_t next_front_order_ = (uint64_t{1} << 32) - 1;
  uint64_t pop_count_ = 0;
  size_t size_ = 0;  // Including suspects.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_ITEM_QUEUE_H_
