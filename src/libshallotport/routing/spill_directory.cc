#include "routing/spill_directory.h"

#include <algorithm>
#include <utility>

namespace shallotport {

namespace {

// A spilled attempt is known by the name of its host.
bool IsExcluded(std::span<const endpoint_id> excluded, const host_id& host) {
  return std::any_of(
      excluded.begin(), excluded.end(),
      [&host](const endpoint_id& id) { return id.text() == host.text(); });
}

}  // namespace

spill_directory::remote_host* spill_directory::FindHost(const host_id& id) {
  for (remote_host& host : hosts_) {
    if (host.summary.host == id) {
      return &host;
    }
  }
  return nullptr;
}

void spill_directory::Update(steady_time now, const domain_offer& summary) {
  std::erase_if(hosts_, [now](const remote_host& host) {
    return now - host.received_at > kSummaryLifetime;
  });
  remote_host* host = FindHost(summary.host);
  if (host == nullptr) {
    hosts_.push_back({summary, now, {}});
    return;
  }
  const std::pair known(host->summary.started, host->summary.sequence);
  if (std::pair(summary.started, summary.sequence) > known) {
    *host = {summary, now, {}};
  }
}

std::optional<spill_directory::target> spill_directory::Find(
    steady_time now,
    const service_id& service,
    std::span<const endpoint_id> excluded,
    duration time_to_beat) const {
  std::optional<target> best;
  uint32_t most_free = 0;
  for (const remote_host& host : hosts_) {
    if (IsExcluded(excluded, host.summary.host)) {
      continue;
    }
    if (now - host.received_at > kSummaryLifetime) {
      continue;
    }
    for (const service_offer& row : host.summary.services) {
      const duration expected = kHopCost + duration(row.expected_time_us);
      if (row.service != service || expected >= time_to_beat) {
        continue;
      }
      const auto sent = host.sent_since.find(service);
      const uint32_t used = sent == host.sent_since.end() ? 0 : sent->second;
      const uint32_t free = row.free_slots > used ? row.free_slots - used : 0;
      if (free > most_free) {
        most_free = free;
        best = target{host.summary.domain, host.summary.host,
                      host.summary.address, expected};
      }
    }
  }
  return best;
}

void spill_directory::OnSpilled(const host_id& host,
                                const service_id& service) {
  remote_host* target = FindHost(host);
  if (target != nullptr) {
    ++target->sent_since[service];
  }
}

}  // namespace shallotport
