#include "routing/spill_directory.h"

#include <algorithm>
#include <utility>

namespace shallotport {

namespace {

// Spilled attempts are listed in `excluded` by the id of their host.
bool IsExcluded(std::span<const endpoint_id> excluded, const host_id& host) {
  return std::any_of(
      excluded.begin(), excluded.end(),
      [&host](const endpoint_id& id) { return id.text() == host.text(); });
}

}  // namespace

spill_directory::remote_host* spill_directory::FindHost(const host_id& id) {
  for (remote_host& host : hosts_) {
    if (host.offer.host == id) {
      return &host;
    }
  }
  return nullptr;
}

void spill_directory::Update(steady_time now, const domain_offer& offer) {
  std::erase_if(hosts_, [now](const remote_host& host) {
    return now - host.received_at > kOfferLifetime;
  });
  remote_host* host = FindHost(offer.host);
  if (host == nullptr) {
    hosts_.push_back({offer, now, {}});
    return;
  }
  const std::pair known(host->offer.started, host->offer.sequence);
  if (std::pair(offer.started, offer.sequence) > known) {
    *host = {offer, now, {}};
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
    if (IsExcluded(excluded, host.offer.host)) {
      continue;
    }
    if (now - host.received_at > kOfferLifetime) {
      continue;
    }
    for (const service_offer& row : host.offer.services) {
      const duration expected_time = kHopCost + duration(row.expected_time_us);
      if (row.service != service || expected_time >= time_to_beat) {
        continue;
      }
      const auto spilled = host.spilled_since_offer.find(service);
      const uint32_t used =
          spilled == host.spilled_since_offer.end() ? 0 : spilled->second;
      const uint32_t free = row.free_slots > used ? row.free_slots - used : 0;
      if (free > most_free) {
        most_free = free;
        best = target{host.offer.domain, host.offer.host, host.offer.address,
                      expected_time};
      }
    }
  }
  return best;
}

void spill_directory::OnSpilled(const host_id& host,
                                const service_id& service) {
  remote_host* target = FindHost(host);
  if (target != nullptr) {
    ++target->spilled_since_offer[service];
  }
}

}  // namespace shallotport
