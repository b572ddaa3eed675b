#include "control/configuration_delta.h"

#include <algorithm>

namespace shallotport {
namespace {

template <typename Item, typename Id>
auto LowerBound(std::vector<Item>& items, const Id& id) {
  return std::lower_bound(
      items.begin(), items.end(), id,
      [](const Item& item, const Id& wanted) { return item.id < wanted; });
}

template <typename Item>
void ReplaceItems(std::vector<Item>& items, const std::vector<Item>& changed) {
  for (const Item& item : changed) {
    const auto place = LowerBound(items, item.id);
    if (place != items.end() && place->id == item.id) {
      *place = item;
    } else {
      items.insert(place, item);
    }
  }
}

template <typename Item, typename Id>
void RemoveItems(std::vector<Item>& items, const std::vector<Id>& removed) {
  for (const Id& id : removed) {
    const auto place = LowerBound(items, id);
    if (place != items.end() && place->id == id) {
      items.erase(place);
    }
  }
}

}  // namespace

status ApplyDelta(const configuration_delta& delta,
                  log_index& revision,
                  configuration& config) {
  if (delta.to <= revision) {
    return success{};
  }
  if (delta.is_whole) {
    config.accounts = delta.accounts;
    config.services = delta.services;
    SortById(config);
  } else {
    if (delta.from > revision) {
      return MakeError(error_kind::kConflict,
                       "delta starts after the revision that is held");
    }
    RemoveItems(config.accounts, delta.removed_accounts);
    RemoveItems(config.services, delta.removed_services);
    ReplaceItems(config.accounts, delta.accounts);
    ReplaceItems(config.services, delta.services);
  }
  revision = delta.to;
  return success{};
}

configuration_delta WholeDelta(log_index revision,
                               const configuration& config) {
  configuration_delta delta;
  delta.to = revision;
  delta.is_whole = true;
  delta.accounts = config.accounts;
  delta.services = config.services;
  return delta;
}

}  // namespace shallotport
