#include "control/configuration.h"

#include <algorithm>

namespace shallotport {
namespace {

template <typename Item, typename Id>
const Item* FindById(const std::vector<Item>& items, const Id& id) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

template <typename Item>
void SortItems(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(),
            [](const Item& a, const Item& b) { return a.id < b.id; });
}

template <typename Id>
bool NamesOrEmpty(const std::vector<Id>& ids, const Id& id) {
  return ids.empty() || std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

const account_configuration* FindAccount(const configuration& config,
                                         const account_id& id) {
  return FindById(config.accounts, id);
}

const service_configuration* FindService(const configuration& config,
                                         const service_id& id) {
  return FindById(config.services, id);
}

bool MayCall(const account_configuration& account,
             const service_configuration& service) {
  return NamesOrEmpty(service.accounts, account.id) &&
         NamesOrEmpty(account.services, service.id);
}

void SortById(configuration& config) {
  SortItems(config.accounts);
  SortItems(config.services);
}

}  // namespace shallotport
