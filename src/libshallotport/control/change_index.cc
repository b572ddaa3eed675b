#include "control/change_index.h"

#include <algorithm>
#include <iterator>

#include "control/configuration_delta.h"

namespace shallotport {
namespace {

// Notes at which revision each item last differed, and which went away.
template <typename Item, typename Id>
void TrackChanges(const std::vector<Item>& before,
                  const std::vector<Item>& after,
                  log_index revision,
                  std::map<Id, log_index>& changes,
                  std::map<Id, log_index>& removals) {
  auto old_item = before.begin();
  auto new_item = after.begin();
  while (old_item != before.end() || new_item != after.end()) {
    const bool is_removed =
        new_item == after.end() ||
        (old_item != before.end() && old_item->id < new_item->id);
    if (is_removed) {
      changes.erase(old_item->id);
      removals[old_item->id] = revision;
      ++old_item;
      continue;
    }
    const bool is_kept =
        old_item != before.end() && old_item->id == new_item->id;
    if (!is_kept || !(*old_item == *new_item)) {
      changes[new_item->id] = revision;
      removals.erase(new_item->id);
    }
    old_item += is_kept ? 1 : 0;
    ++new_item;
  }
}

template <typename Item, typename Id>
std::vector<Item> ChangedAfter(log_index revision,
                               const std::vector<Item>& items,
                               const std::map<Id, log_index>& changes) {
  std::vector<Item> changed;
  std::copy_if(
      items.begin(), items.end(), std::back_inserter(changed),
      [&](const Item& item) { return changes.at(item.id) > revision; });
  return changed;
}

template <typename Id>
std::vector<Id> RemovedAfter(log_index revision,
                             const std::map<Id, log_index>& removals) {
  std::vector<Id> removed;
  for (const auto& [id, removed_at] : removals) {
    if (removed_at > revision) {
      removed.push_back(id);
    }
  }
  return removed;
}

// Forgets the older half of the removals when there are too many, and returns
// the newest revision that was forgotten.
template <typename Id>
log_index ForgetOldRemovals(std::map<Id, log_index>& removals, size_t most) {
  if (removals.size() <= most) {
    return 0;
  }
  std::vector<log_index> revisions;
  revisions.reserve(removals.size());
  for (const auto& [id, revision] : removals) {
    revisions.push_back(revision);
  }
  const auto middle =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  const log_index floor = *middle;
  std::erase_if(removals,
                [&](const auto& entry) { return entry.second <= floor; });
  return floor;
}

template <typename Item, typename Id>
void MarkAll(const std::vector<Item>& items,
             log_index revision,
             std::map<Id, log_index>& changes) {
  changes.clear();
  for (const Item& item : items) {
    changes[item.id] = revision;
  }
}

}  // namespace

void change_index::Track(const configuration& before,
                         const configuration& after,
                         log_index revision) {
  TrackChanges(before.accounts, after.accounts, revision, account_changes_,
               account_removals_);
  TrackChanges(before.services, after.services, revision, service_changes_,
               service_removals_);
  floor_ =
      std::max({floor_, ForgetOldRemovals(account_removals_, kRemovalsKept),
                ForgetOldRemovals(service_removals_, kRemovalsKept)});
}

void change_index::Reset(const configuration& config, log_index revision) {
  MarkAll(config.accounts, revision, account_changes_);
  MarkAll(config.services, revision, service_changes_);
  account_removals_.clear();
  service_removals_.clear();
  floor_ = revision;
}

configuration_delta change_index::Since(log_index from,
                                        log_index to,
                                        const configuration& config) const {
  if (from == 0 || from < floor_) {
    return WholeDelta(to, config);
  }
  configuration_delta delta;
  delta.from = from;
  delta.to = std::max(from, to);
  delta.accounts = ChangedAfter(from, config.accounts, account_changes_);
  delta.services = ChangedAfter(from, config.services, service_changes_);
  delta.removed_accounts = RemovedAfter(from, account_removals_);
  delta.removed_services = RemovedAfter(from, service_removals_);
  return delta;
}

}  // namespace shallotport
