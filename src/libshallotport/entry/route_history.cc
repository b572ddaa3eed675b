#include "entry/route_history.h"

#include <algorithm>

#include "streams/stream_messages.h"

namespace shallotport {

namespace {

std::vector<service_id> AllowedServices(const route& of) {
  std::vector<service_id> services;
  for (const weighted_service& each : of.services) {
    if (each.weight > 0) {
      services.push_back(each.service);
    }
  }
  std::sort(services.begin(), services.end());
  return services;
}

}  // namespace

void route_history::Update(steady_time now,
                           const route_configuration& configuration) {
  // Routes of the configuration before were in force until now.
  for (auto& [key, each] : routes_) {
    each.seen_at = each.is_in_force ? now : each.seen_at;
    each.is_in_force = false;
  }
  std::erase_if(routes_, [now](const auto& each) {
    return now > each.second.seen_at + kStreamLifetime;
  });
  for (const route& each : configuration.routes) {
    std::vector<service_id> services = AllowedServices(each);
    const auto [found, is_new] = routes_.try_emplace({each.host, each.prefix});
    entry& known = found->second;
    if (!is_new && known.services != services) {
      known.changed_at = now;
    }
    known.services = std::move(services);
    known.seen_at = now;
    known.is_in_force = true;
  }
}

bool route_history::HasMoved(steady_time now, const route& of) const {
  const auto found = routes_.find({of.host, of.prefix});
  return found != routes_.end() && found->second.changed_at &&
         now < *found->second.changed_at + kStreamLifetime;
}

}  // namespace shallotport
