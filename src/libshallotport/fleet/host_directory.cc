#include "fleet/host_directory.h"

#include <algorithm>

namespace shallotport {

namespace {

// A host that is partitioned or stalled for less than this is found again
// without the seeds.
constexpr std::chrono::seconds kSilentRetention{60};

}  // namespace

bool host_directory::Record(steady_time now,
                            const host_announcement& host,
                            uint32_t age_ms) {
  const steady_time received_at = now - std::chrono::milliseconds(age_ms);
  entry& known = entries_[host.host];
  const bool is_same_start = known.host.start_id == host.start_id;
  if (received_at < known.received_at) {
    // A stale announcement.
    return false;
  }
  const bool is_changed = !is_same_start || known.host.disk != host.disk ||
                          known.host.document_version != host.document_version;
  known.host = host;
  known.received_at = received_at;
  return is_changed;
}

void host_directory::Expire(steady_time now) {
  std::erase_if(entries_, [now](const auto& each) {
    return now > each.second.received_at + kSilentRetention;
  });
}

std::vector<host_announcement> host_directory::LiveHosts(
    steady_time now,
    host_role role,
    duration within) const {
  std::vector<host_announcement> live;
  for (const auto& [id, each] : entries_) {
    if (each.host.role == role && now <= each.received_at + within) {
      live.push_back(each.host);
    }
  }
  return live;
}

const host_directory::entry* host_directory::Find(const host_id& host) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace shallotport
