#include "poison/crash_group.h"

#include <algorithm>
#include <utility>

namespace shallotport {

std::vector<crash_group> crash_group::Split(
    std::vector<endpoint_crash> crashes) {
  std::sort(crashes.begin(), crashes.end(),
            [](const endpoint_crash& a, const endpoint_crash& b) {
              return a.broken_at < b.broken_at;
            });
  std::vector<crash_group> groups;
  for (endpoint_crash& each : crashes) {
    if (groups.empty() || each.begun_at >= groups.back().first_at()) {
      groups.emplace_back();
    }
    groups.back().crashes_.push_back(std::move(each));
  }
  return groups;
}

double crash_group::ChanceOfCoincidence(
    const endpoint_population& population) const {
  std::map<domain_id, size_t> crashed;
  for (const endpoint_crash& each : crashes_) {
    ++crashed[each.domain];
  }
  size_t domains = 0;
  size_t with_key = 0;
  size_t ended = 0;
  size_t all = 0;
  for (const auto& [domain, endpoints] : population) {
    if (endpoints.ended >= endpoints.all) {
      continue;
    }
    const auto found = crashed.find(domain);
    const size_t count = found == crashed.end() ? 0 : found->second;
    domains += count > 0 ? 1 : 0;
    with_key += count;
    ended += std::max(endpoints.ended, count);
    all += endpoints.all;
  }
  if (domains < 2) {
    return 1;
  }
  // Of all ways to place the attempts at `with_key` endpoints, those that meet
  // ended endpoints only.
  double chance = 1;
  for (size_t i = 0; i < with_key; ++i) {
    chance *= static_cast<double>(ended - i) / static_cast<double>(all - i);
  }
  return chance;
}

}  // namespace shallotport
