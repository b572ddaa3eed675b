// Endpoint choice and attempt accounting of the request_router.

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "routing/request_router.h"

namespace shallotport {

std::optional<size_t> request_router::ChooseLocal(steady_time now,
                                                  routed_service& service,
                                                  const route_query& query,
                                                  duration& shortfall) {
  const auto remaining = static_cast<double>((query.deadline - now).count());
  const duration first_byte = service.settings().first_byte_timeout;
  const auto first_byte_timeout_us = static_cast<double>(first_byte.count());
  const double low_service_time = service.LowServiceTimeAt(now);
  // Time in microseconds by which the endpoint would miss the deadline, or the
  // first byte timeout, at which the attempt would be overdue in the queue.
  const auto excess = [&](const choice_candidate& candidate) {
    if (low_service_time == 0) {
      return 0.0;
    }
    const double queue = ExpectedTime(candidate) - candidate.service_time_us;
    const double min_time =
        queue + std::min(low_service_time, candidate.service_time_us);
    return std::max(min_time - remaining, queue - first_byte_timeout_us);
  };
  const size_t chosen =
      service.strategy().Choose(candidates_, query.prefix_hash, random_);
  if (excess(candidates_[chosen]) <= 0) {
    return chosen;
  }
  const auto best = std::min_element(
      candidates_.begin(), candidates_.end(),
      [&excess](const choice_candidate& a, const choice_candidate& b) {
        return excess(a) < excess(b);
      });
  const double smallest_excess = excess(*best);
  if (smallest_excess > 0) {
    shortfall = duration(static_cast<int64_t>(smallest_excess));
    return std::nullopt;
  }
  return static_cast<size_t>(best - candidates_.begin());
}

route_choice request_router::BeginLocalAttempt(steady_time now,
                                               const routed_service& service,
                                               const route_query& query,
                                               const choice_candidate& chosen) {
  const std::shared_ptr<service_member>& member =
      service.members()[chosen.member];
  routed_endpoint& endpoint = *member->endpoint;
  endpoint.OnSent(++last_ticket_);
  endpoint.breaker().OnSent(now);
  open_attempt attempt;
  attempt.account = query.account;
  attempt.service = query.service;
  attempt.member = member;
  if (chosen.service_time_us > 0) {
    attempt.queue_rounds = ExpectedTime(chosen) / chosen.service_time_us;
  }
  route_choice choice;
  choice.endpoint = endpoint.record().id;
  choice.address = endpoint.record().address;
  choice.started = endpoint.record().started;
  choice.can_resume = endpoint.record().can_resume;
  choice.remembers_outcomes = endpoint.record().remembers_outcomes;
  choice.ticket = last_ticket_;
  choice.expected_time = duration(
      static_cast<int64_t>(service.MeanServiceTime() * attempt.queue_rounds));
  open_attempts_.emplace(choice.ticket, std::move(attempt));
  return choice;
}

std::optional<route_choice> request_router::BeginSpilledAttempt(
    steady_time now,
    const route_query& query,
    duration time_to_beat) {
  const auto target =
      spill_.Find(now, query.service, query.excluded, time_to_beat);
  if (!target) {
    return std::nullopt;
  }
  spill_.OnSpilled(target->host, query.service);
  ++counts_.spilled;
  open_attempt attempt;
  attempt.account = query.account;
  attempt.service = query.service;
  route_choice choice;
  choice.endpoint = endpoint_id(target->host.text());
  choice.address = target->address;
  choice.spill_domain = target->domain;
  choice.ticket = ++last_ticket_;
  open_attempts_.emplace(choice.ticket, std::move(attempt));
  return choice;
}

void request_router::OnStarted(steady_time /*now*/, attempt_ticket /*ticket*/) {
}

void request_router::OnFirstByte(steady_time /*now*/, attempt_ticket ticket) {
  const auto found = open_attempts_.find(ticket);
  if (found != open_attempts_.end()) {
    found->second.has_first_byte = true;
  }
}

void request_router::OnFinished(steady_time now,
                                attempt_ticket ticket,
                                attempt_outcome outcome,
                                duration service_time) {
  const auto found = open_attempts_.find(ticket);
  if (found == open_attempts_.end()) {
    return;
  }
  const open_attempt attempt = std::move(found->second);
  open_attempts_.erase(found);
  if (attempt.is_limited) {
    limiter_.Release(attempt.account);
  }
  CountOutcome(outcome);
  const auto service = services_.find(attempt.service);
  routed_service* owner =
      service == services_.end() ? nullptr : service->second.get();
  if (owner != nullptr && outcome == attempt_outcome::kOk) {
    owner->budget().OnSuccess();
  }
  if (attempt.member != nullptr) {
    RecordEndpointOutcome(now, owner, attempt, outcome, service_time);
  }
}

void request_router::RecordEndpointOutcome(steady_time now,
                                           routed_service* service,
                                           const open_attempt& attempt,
                                           attempt_outcome outcome,
                                           duration service_time) {
  routed_endpoint& endpoint = *attempt.member->endpoint;
  endpoint.OnEnded();
  const double time_us =
      static_cast<double>(service_time.count()) / attempt.queue_rounds;
  // An attempt that ended early would have taken at least this long.
  const bool is_lower_bound =
      outcome == attempt_outcome::kTimedOut ||
      (outcome == attempt_outcome::kCancelled && !attempt.has_first_byte &&
       time_us > attempt.member->estimate.mean_us());
  if (service != nullptr && outcome == attempt_outcome::kOk) {
    service->RecordServiceTime(now, *attempt.member, time_us);
  } else if (service != nullptr && is_lower_bound) {
    service->RecordLowerBound(now, *attempt.member, time_us);
  }
  switch (outcome) {
    case attempt_outcome::kOk:
      endpoint.breaker().OnSuccess();
      return;
    case attempt_outcome::kRefusedNotExecuted:
    case attempt_outcome::kFailed:
    case attempt_outcome::kTimedOut:
      endpoint.breaker().OnFailure(now);
      return;
    case attempt_outcome::kCancelled:
    case attempt_outcome::kUnused:
      endpoint.breaker().OnInconclusive();
      return;
  }
}

void request_router::CountOutcome(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kOk:
      ++counts_.ok;
      return;
    case attempt_outcome::kRefusedNotExecuted:
      ++counts_.refused;
      return;
    case attempt_outcome::kFailed:
      ++counts_.failed;
      return;
    case attempt_outcome::kTimedOut:
      ++counts_.timed_out;
      return;
    case attempt_outcome::kCancelled:
    case attempt_outcome::kUnused:
      ++counts_.cancelled;
      return;
  }
}

void request_router::OnDomainOffer(steady_time now, const domain_offer& offer) {
  if (offer.domain != options_.domain) {
    spill_.Update(now, offer);
  }
}

domain_offer request_router::MakeDomainOffer(steady_time now) {
  domain_offer offer;
  offer.domain = options_.domain;
  offer.host = options_.host;
  offer.started = options_.started;
  offer.sequence = ++offer_sequence_;
  offer.address = options_.address;
  for (const auto& [id, service] : services_) {
    route_query query;
    query.service = id;
    CollectCandidates(now, *service, query);
    service_offer row;
    row.service = id;
    row.endpoints = static_cast<uint32_t>(candidates_.size());
    double shortest = 0;
    for (const choice_candidate& candidate : candidates_) {
      const double free = candidate.slots - candidate.load;
      row.free_slots += free > 0 ? static_cast<uint32_t>(free) : 0;
      const double time = ExpectedTime(candidate);
      shortest = shortest == 0 ? time : std::min(shortest, time);
    }
    row.expected_time_us = static_cast<uint32_t>(shortest);
    if (row.endpoints > 0) {
      offer.services.push_back(row);
    }
  }
  return offer;
}

void request_router::WriteState(nlohmann::json& out) const {
  out["revision"] = revision_;
  out["endpoints"] = endpoints_.size();
  out["open_attempts"] = open_attempts_.size();
  nlohmann::json& counters = out["counters"];
  counters["admitted"] = counts_.admitted;
  counters["retries"] = counts_.retries;
  counters["hedges"] = counts_.hedges;
  counters["spilled"] = counts_.spilled;
  counters["over_limit"] = counts_.over_limit;
  counters["no_capacity"] = counts_.no_capacity;
  counters["deadline_unreachable"] = counts_.deadline_unreachable;
  counters["not_found"] = counts_.not_found;
  counters["budget_spent"] = counts_.budget_spent;
  counters["ok"] = counts_.ok;
  counters["failed"] = counts_.failed;
  counters["timed_out"] = counts_.timed_out;
  counters["refused"] = counts_.refused;
  counters["cancelled"] = counts_.cancelled;
  for (const auto& [id, service] : services_) {
    nlohmann::json& row = out["services"][id.text()];
    row["strategy"] = service->settings().routing_strategy;
    row["retry_tokens"] = service->budget().tokens();
    row["ejections"] = service->ejections();
    for (const auto& member : service->members()) {
      nlohmann::json& entry =
          row["members"][member->endpoint->record().id.text()];
      entry["own_outstanding"] = member->endpoint->own_load();
      entry["mean_us"] = member->estimate.mean_us();
      entry["breaker"] = static_cast<int>(member->endpoint->breaker().state());
      entry["is_leaving"] = member->endpoint->record().is_leaving;
    }
  }
  limiter_.WriteState(out["limits"]);
}

}  // namespace shallotport
