#include "streams/software_version_history.h"

#include <algorithm>

#include "streams/stream_messages.h"

namespace shallotport {

void software_version_history::Record(steady_time seen_at,
                                      const service_id& service,
                                      const std::string& software_version) {
  seen_versions& versions = by_service_[service];
  steady_time& last = versions[software_version];
  last = std::max(last, seen_at);
  std::erase_if(versions, [seen_at](const auto& each) {
    return seen_at > each.second + kStreamLifetime;
  });
}

std::optional<std::string> software_version_history::SoleVersion(
    steady_time now,
    const service_id& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> sole;
  for (const auto& [version, seen_at] : found->second) {
    if (now > seen_at + kStreamLifetime) {
      continue;
    }
    if (sole) {
      return std::nullopt;
    }
    sole = version;
  }
  return sole;
}

}  // namespace shallotport
