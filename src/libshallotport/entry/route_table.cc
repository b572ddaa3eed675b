#include "entry/route_table.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace shallotport {

namespace {

error Invalid(const route& in, const std::string& what) {
  return MakeError(error_kind::kInvalidRequest,
                   "route " + in.name + ": " + what);
}

uint64_t WeightOf(const route& of) {
  return std::accumulate(of.services.begin(), of.services.end(), uint64_t{0},
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

status CheckRoutes(const route_configuration& configuration) {
  std::set<service_id> known;
  for (const service_rules& each : configuration.services) {
    known.insert(each.name);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const route& each : configuration.routes) {
    if (each.host.empty() || !each.prefix.starts_with('/') ||
        !each.prefix.ends_with('/')) {
      return Invalid(each, "needs a host, and a prefix between slashes");
    }
    if (each.timeout.count() <= 0) {
      return Invalid(each, "its timeout is 0");
    }
    if (WeightOf(each) == 0) {
      return Invalid(each, "its weights add up to 0");
    }
    for (const weighted_service& service : each.services) {
      if (!known.contains(service.service)) {
        return Invalid(each, "unknown service " + service.service.text());
      }
    }
    if (!places.emplace(HostName(each.host), each.prefix).second) {
      return Invalid(each, "another route has its host and prefix");
    }
  }
  return success{};
}

route_table::route_table(route_configuration configuration)
    : configuration_(std::move(configuration)) {
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

service_id DrawService(const route& from, random_source& random) {
  uint64_t drawn = UniformBelow(random, std::max<uint64_t>(WeightOf(from), 1));
  for (const weighted_service& each : from.services) {
    if (drawn < each.weight) {
      return each.service;
    }
    drawn -= each.weight;
  }
  return from.services.front().service;
}

}  // namespace shallotport
