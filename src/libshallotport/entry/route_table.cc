#include "entry/route_table.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace shallotport {

namespace {

error InvalidRoute(const route& invalid_route, const std::string& what) {
  return MakeError(error_kind::kInvalidRequest,
                   "route " + invalid_route.name + ": " + what);
}

uint64_t TotalWeight(const route& weighted_route) {
  return std::accumulate(weighted_route.services.begin(),
                         weighted_route.services.end(), uint64_t{0},
                         [](uint64_t sum, const weighted_service& each) {
                           return sum + each.weight;
                         });
}

// "Example.com:80" -> "example.com".
std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

bool route::SendsTo(const service_id& service) const {
  return std::any_of(services.begin(), services.end(),
                     [&](const weighted_service& each) {
                       return each.weight > 0 && each.service == service;
                     });
}

status CheckRoutes(const route_configuration& configuration) {
  std::set<service_id> known_services;
  for (const service_rules& each : configuration.services) {
    known_services.insert(each.name);
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const route& each : configuration.routes) {
    if (each.host.empty() || !each.prefix.starts_with('/') ||
        !each.prefix.ends_with('/')) {
      return InvalidRoute(each, "needs a host, and a prefix between slashes");
    }
    if (each.timeout.count() <= 0) {
      return InvalidRoute(each, "its timeout is 0");
    }
    if (TotalWeight(each) == 0) {
      return InvalidRoute(each, "its weights add up to 0");
    }
    for (const weighted_service& service : each.services) {
      if (!known_services.contains(service.service)) {
        return InvalidRoute(each, "unknown service " + service.service.text());
      }
    }
    if (!host_prefixes.emplace(HostName(each.host), each.prefix).second) {
      return InvalidRoute(each, "another route has its host and prefix");
    }
  }
  return CheckAccounts(configuration.accounts);
}

route_table::route_table(route_configuration configuration)
    : configuration_(std::move(configuration)),
      accounts_(configuration_.has_accounts
                    ? account_table(configuration_.accounts)
                    : account_table()) {
  for (size_t i = 0; i < configuration_.routes.size(); ++i) {
    by_host_[HostName(configuration_.routes[i].host)].push_back(i);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), [this](size_t a, size_t b) {
      return configuration_.routes[a].prefix.size() >
             configuration_.routes[b].prefix.size();
    });
  }
}

const route* route_table::Match(std::string_view host,
                                std::string_view path) const {
  const auto found = by_host_.find(HostName(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const size_t each : found->second) {
    if (path.starts_with(configuration_.routes[each].prefix)) {
      return &configuration_.routes[each];
    }
  }
  return nullptr;
}

bool route_table::HasPublicJobs(std::string_view host) const {
  const auto found = by_host_.find(HostName(host));
  return found != by_host_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [this](size_t each) {
                       const route& own = configuration_.routes[each];
                       return own.kind == request_kind::kBatch && own.is_public;
                     });
}

service_id DrawService(const route& split_route, random_source& random) {
  uint64_t remaining_weight =
      UniformBelow(random, std::max<uint64_t>(TotalWeight(split_route), 1));
  for (const weighted_service& each : split_route.services) {
    if (remaining_weight < each.weight) {
      return each.service;
    }
    remaining_weight -= each.weight;
  }
  return split_route.services.front().service;
}

}  // namespace shallotport
