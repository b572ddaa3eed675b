#include "batch/item_queue.h"

#include <algorithm>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr size_t kPrefixBytes = 512;
// Every eighth Pop() takes the longest waiting item.
constexpr uint64_t kOldestInterval = 8;

}  // namespace

prefix_hash PrefixHashOf(const account_id& account, std::string_view body) {
  const size_t length = std::min(kPrefixBytes, body.size() / 2);
  return HashOf(body.substr(0, length), HashOf(account.text()));
}

void item_queue::PushBack(const item_ref& item, prefix_hash prefix) {
  groups_[prefix].push_back({item, next_order_++});
  ++size_;
}

void item_queue::PushFront(const item_ref& item, prefix_hash prefix) {
  groups_[prefix].push_front({item, next_front_order_--});
  ++size_;
}

void item_queue::PushSuspect(const item_ref& item) {
  suspects_.push_back(item);
  ++size_;
}

void item_queue::Remove(const item_ref& item, prefix_hash prefix) {
  const auto found = groups_.find(prefix);
  if (found != groups_.end()) {
    size_ -= std::erase_if(found->second, [&](const waiting_item& each) {
      return each.item == item;
    });
    if (found->second.empty()) {
      groups_.erase(found);
    }
  }
  size_ -= std::erase(suspects_, item);
}

item_queue::group_map::iterator item_queue::OldestGroup() {
  return std::min_element(
      groups_.begin(), groups_.end(), [](const auto& a, const auto& b) {
        return a.second.front().order < b.second.front().order;
      });
}

item_queue::group_map::iterator item_queue::LargestGroup() {
  return std::max_element(groups_.begin(), groups_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.size() < b.second.size();
                          });
}

std::optional<item_ref> item_queue::Pop(std::optional<prefix_hash> prefix) {
  if (groups_.empty()) {
    return std::nullopt;
  }
  auto chosen = groups_.end();
  if (++pop_count_ % kOldestInterval == 0) {
    chosen = OldestGroup();
  } else if (prefix) {
    chosen = groups_.find(*prefix);
  }
  if (chosen == groups_.end()) {
    chosen = LargestGroup();
  }
  const item_ref item = chosen->second.front().item;
  chosen->second.pop_front();
  if (chosen->second.empty()) {
    groups_.erase(chosen);
  }
  --size_;
  return item;
}

std::optional<item_ref> item_queue::PopSuspect() {
  if (suspects_.empty()) {
    return std::nullopt;
  }
  const item_ref item = suspects_.front();
  suspects_.pop_front();
  --size_;
  return item;
}

}  // namespace shallotport
