#include "routing/request_router.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kCapacityRetryAfter{500};
constexpr std::chrono::milliseconds kMinRetryAfter{50};
// Differences in peer load between endpoints count only beyond this number of
// requests. Smaller ones are out of date when the report arrives, and all hosts
// would react to them at the same time.
constexpr double kPeerLoadNoise = 1.5;
// Factor on the weight of an endpoint that is eligible only because of
// kMinEligibleShare.
constexpr double kSpareWeight = 0.2;
// A queued request is spilled only if its expected time in the other failure
// domain is below this fraction of the local one.
constexpr double kSpillTimeFraction = 0.5;

std::chrono::milliseconds RoundUp(duration time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

error MakeRefusal(error_kind kind,
                  std::string detail,
                  std::chrono::milliseconds retry_after) {
  return error{kind, std::move(detail), retry_after};
}

bool IsExcluded(const route_query& query, const endpoint_id& id) {
  return std::find(query.excluded.begin(), query.excluded.end(), id) !=
         query.excluded.end();
}

}  // namespace

request_router::request_router(request_router_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      limiter_(options_.host, options_.started) {}

void request_router::SetConfiguration(const configuration& settings,
                                      uint64_t revision) {
  if (revision < revision_) {
    return;
  }
  revision_ = revision;
  limiter_.SetConfiguration(settings);
  allowed_services_.clear();
  for (const account_configuration& account : settings.accounts) {
    if (!account.services.empty()) {
      allowed_services_[account.id] = account.services;
    }
  }
  std::unordered_set<service_id> kept;
  for (const service_configuration& service : settings.services) {
    kept.insert(service.id);
    const auto known = services_.find(service.id);
    if (known != services_.end()) {
      known->second->SetSettings(service);
      continue;
    }
    const auto added = services_.emplace(
        service.id, std::make_unique<routed_service>(service));
    for (const auto& [id, endpoint] : endpoints_) {
      const auto& offered = endpoint->record().services;
      if (std::find(offered.begin(), offered.end(), service.id) !=
          offered.end()) {
        added.first->second->AddMember(endpoint);
      }
    }
  }
  std::erase_if(services_,
                [&kept](const auto& row) { return !kept.contains(row.first); });
}

void request_router::UpdateEndpoints(steady_time now,
                                     std::span<const endpoint_record> all) {
  std::unordered_set<endpoint_id> kept;
  for (const endpoint_record& record : all) {
    kept.insert(record.id);
    UpdateEndpoint(now, record);
  }
  std::vector<endpoint_id> removed;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!kept.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const endpoint_id& id : removed) {
    RemoveEndpoint(now, id);
  }
}

void request_router::UpdateEndpoint(steady_time now,
                                    const endpoint_record& record) {
  std::shared_ptr<routed_endpoint>& known = endpoints_[record.id];
  const bool is_same =
      known != nullptr && known->record().started == record.started;
  if (is_same) {
    const std::vector<service_id> services = known->record().services;
    known->Update(now, record);
    if (known->record().services != services) {
      RemoveFromServices(*known);
      AddToServices(known);
    }
    return;
  }
  if (known != nullptr && known->record().started > record.started) {
    return;
  }
  if (known != nullptr) {
    RemoveFromServices(*known);
  }
  known =
      std::make_shared<routed_endpoint>(now, record, HashOf(record.id.text()));
  AddToServices(known);
}

void request_router::RemoveEndpoint(steady_time /*now*/,
                                    const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    RemoveFromServices(*found->second);
    endpoints_.erase(found);
  }
}

void request_router::AddToServices(
    const std::shared_ptr<routed_endpoint>& endpoint) {
  for (const service_id& id : endpoint->record().services) {
    const auto service = services_.find(id);
    if (service != services_.end()) {
      service->second->AddMember(endpoint);
    }
  }
}

void request_router::RemoveFromServices(const routed_endpoint& endpoint) {
  for (const auto& [id, service] : services_) {
    service->RemoveMember(endpoint);
  }
}

routed_service* request_router::FindService(const route_query& query) {
  const auto found = services_.find(query.service);
  if (found == services_.end()) {
    return nullptr;
  }
  routed_service& service = *found->second;
  return IsServiceAllowed(service, query.account) ? &service : nullptr;
}

bool request_router::IsServiceAllowed(const routed_service& service,
                                      const account_id& account) const {
  const auto& callers = service.settings().accounts;
  if (!callers.empty() &&
      std::find(callers.begin(), callers.end(), account) == callers.end()) {
    return false;
  }
  const auto restricted = allowed_services_.find(account);
  if (restricted == allowed_services_.end()) {
    return true;
  }
  const std::vector<service_id>& usable = restricted->second;
  return std::find(usable.begin(), usable.end(), service.settings().id) !=
         usable.end();
}

result<route_choice> request_router::Admit(steady_time now,
                                           const route_query& query) {
  routed_service* service = FindService(query);
  if (service == nullptr) {
    ++counts_.not_found;
    return MakeRefusal(error_kind::kNotFound, "no such service", {});
  }
  const bool uses_retry_budget = query.is_retry || query.is_hedge;
  if (uses_retry_budget && !service->budget().HasToken()) {
    ++counts_.budget_spent;
    return MakeRefusal(error_kind::kNoCapacity, "the retry budget is spent",
                       kCapacityRetryAfter);
  }
  // For a spilled request, the limit was applied in the failure domain that it
  // came from.
  const bool is_limited = !uses_retry_budget && !query.is_spilled &&
                          query.lane == request_lane::kOnline;
  if (is_limited) {
    const status acquired = limiter_.Acquire(now, query.account);
    if (!IsOk(acquired)) {
      ++counts_.over_limit;
      return ErrorOf(acquired);
    }
  }
  result<route_choice> choice = AdmitLocalOrSpill(now, *service, query);
  if (!IsOk(choice)) {
    if (is_limited) {
      limiter_.Release(query.account);
    }
    return choice;
  }
  if (uses_retry_budget) {
    service->budget().TryTake();
    ++(query.is_hedge ? counts_.hedges : counts_.retries);
  }
  open_attempts_[ValueOf(choice).ticket].is_limited = is_limited;
  ++counts_.admitted;
  return choice;
}

result<route_choice> request_router::AdmitLocalOrSpill(
    steady_time now,
    routed_service& service,
    const route_query& query) {
  const duration remaining = query.deadline - now;
  if (remaining.count() <= 0) {
    ++counts_.deadline_unreachable;
    return MakeRefusal(error_kind::kDeadlineUnreachable,
                       "the deadline has passed", kMinRetryAfter);
  }
  service.EjectOutliers(now);
  CollectCandidates(now, service, query);
  const bool has_local = !candidates_.empty();
  duration shortfall{0};
  std::optional<size_t> chosen;
  if (has_local) {
    chosen = ChooseLocal(now, service, query, shortfall);
  }
  const bool may_spill =
      !query.is_spilled && query.lane == request_lane::kOnline;
  const bool is_queued =
      chosen && candidates_[*chosen].load >= candidates_[*chosen].slots;
  if (may_spill && (!chosen || is_queued)) {
    const duration to_beat =
        chosen ? std::min(remaining, duration(static_cast<int64_t>(
                                         kSpillTimeFraction *
                                         ExpectedTime(candidates_[*chosen]))))
               : remaining;
    std::optional<route_choice> spilled =
        BeginSpilledAttempt(now, query, to_beat);
    if (spilled) {
      return *std::move(spilled);
    }
  }
  if (chosen) {
    return BeginLocalAttempt(now, service, query, candidates_[*chosen]);
  }
  if (has_local) {
    ++counts_.deadline_unreachable;
    return MakeRefusal(error_kind::kDeadlineUnreachable,
                       "queue and service time exceed the deadline",
                       std::max(kMinRetryAfter, RoundUp(shortfall)));
  }
  ++counts_.no_capacity;
  return MakeRefusal(error_kind::kNoCapacity,
                     "no endpoint can take the request", kCapacityRetryAfter);
}

void request_router::CollectCandidates(steady_time now,
                                       const routed_service& service,
                                       const route_query& query) {
  candidates_.clear();
  spares_.clear();
  size_t total = 0;
  size_t usable = 0;
  for (size_t i = 0; i < service.members().size(); ++i) {
    const service_member& member = *service.members()[i];
    const routed_endpoint& endpoint = *member.endpoint;
    const endpoint_record& record = endpoint.record();
    if (record.is_leaving) {
      continue;
    }
    ++total;
    const bool is_ejected = now < member.ejected_until;
    const bool is_usable = !options_.uses_endpoint_health ||
                           (!is_ejected && endpoint.breaker().Allows(now));
    usable += is_usable ? 1 : 0;
    if (!query.excluded.empty() && IsExcluded(query, record.id)) {
      continue;
    }
    choice_candidate candidate;
    candidate.member = static_cast<uint32_t>(i);
    candidate.hash = endpoint.hash();
    candidate.reported_load = record.load.running + record.load.queued;
    candidate.own_load = endpoint.own_load();
    candidate.load = candidate.own_load + endpoint.PeerLoadAt(now);
    candidate.recent_load = candidate.own_load + endpoint.RecentPeerLoadAt(now);
    candidate.last_chosen = endpoint.last_chosen();
    candidate.slots = endpoint.slots();
    candidate.weight =
        options_.uses_endpoint_health ? endpoint.WeightAt(now) : 1;
    candidate.service_time_us = service.ServiceTimeAt(now, member);
    const bool is_full = query.lane == request_lane::kBatch &&
                         candidate.load + 1 > candidate.slots;
    if (is_full) {
      continue;
    }
    if (is_usable) {
      candidates_.push_back(candidate);
      continue;
    }
    const steady_time until =
        is_ejected ? member.ejected_until : endpoint.breaker().open_until();
    spares_.push_back({candidate, until});
  }
  AddSpares(usable, total);
  DampenPeerLoad();
}

void request_router::DampenPeerLoad() {
  double peer_load_sum = 0;
  double recent_peer_load_sum = 0;
  for (const choice_candidate& candidate : candidates_) {
    peer_load_sum += candidate.load - candidate.own_load;
    recent_peer_load_sum += candidate.recent_load - candidate.own_load;
  }
  const auto count = static_cast<double>(candidates_.size());
  const double mean = peer_load_sum / count;
  // The mean over all endpoints is accurate sooner than the differences between
  // them.
  const double recent_mean = std::max(0.0, recent_peer_load_sum / count);
  for (choice_candidate& candidate : candidates_) {
    const double excess = candidate.load - candidate.own_load - mean;
    const double kept = std::max(0.0, std::abs(excess) - kPeerLoadNoise);
    candidate.load = candidate.own_load +
                     std::max(0.0, recent_mean + std::copysign(kept, excess));
  }
}

void request_router::AddSpares(size_t usable, size_t total) {
  const auto floor = static_cast<size_t>(std::ceil(
      routed_service::kMinEligibleShare * static_cast<double>(total)));
  if (usable >= floor || spares_.empty()) {
    return;
  }
  const size_t wanted = std::min(floor - usable, spares_.size());
  std::partial_sort(spares_.begin(),
                    spares_.begin() + static_cast<long>(wanted), spares_.end(),
                    [](const spare_candidate& a, const spare_candidate& b) {
                      return a.unusable_until < b.unusable_until;
                    });
  for (size_t i = 0; i < wanted; ++i) {
    candidates_.push_back(spares_[i].candidate);
    candidates_.back().weight *= kSpareWeight;
  }
}

}  // namespace shallotport
