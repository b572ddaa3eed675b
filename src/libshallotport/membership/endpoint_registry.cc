#include "membership/endpoint_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr duration kLoadQueryPeriod{1'000'000};
constexpr duration kStallThreshold{2'000'000};

endpoint_key KeyOf(const endpoint_record& endpoint) {
  return static_cast<endpoint_key>(
      HashOf(endpoint.id.text(), endpoint.started));
}

bool HasSameDescription(const endpoint_record& a, const endpoint_record& b) {
  return a.address == b.address && a.services == b.services &&
         a.is_runner == b.is_runner && a.checks_fencing == b.checks_fencing &&
         a.remembers_outcomes == b.remembers_outcomes &&
         a.can_resume == b.can_resume && a.load.slots == b.load.slots;
}

}  // namespace

endpoint_registry::endpoint_registry(endpoint_registry_options options,
                                     steady_time now,
                                     uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      next_tick_(now),
      next_load_round_(now),
      next_load_query_(now),
      last_tick_(now) {}

status endpoint_registry::Announce(steady_time now,
                                   const endpoint_record& endpoint,
                                   std::vector<registry_action>& out) {
  ++counters_.announcements;
  if (status checked = CheckAnnouncement(endpoint); !IsOk(checked)) {
    return checked;
  }
  registry_record record{endpoint, endpoint.load.sequence, 0};
  const auto found = entries_.find(endpoint.id);
  const bool is_known = found != entries_.end() &&
                        found->second.endpoint.started == endpoint.started;
  const bool is_stale = is_known && endpoint.load.sequence <=
                                        found->second.endpoint.load.sequence;
  if (is_stale) {
    ++counters_.stale_reports;
  }
  if (is_stale ||
      (is_known && HasSameDescription(endpoint, found->second.endpoint))) {
    record.changed_sequence = found->second.changed_sequence;
  }
  if (MergeRecord(now, std::move(record), out)) {
    QueueRecordForAll(endpoint.id, host_id());
  }
  if (const auto known = entries_.find(endpoint.id);
      known != entries_.end() && !is_stale) {
    known->second.has_fresh_load = true;
  }
  return success{};
}

std::vector<registry_action> endpoint_registry::OnMessage(
    steady_time now,
    const host_id& from,
    const registry_message& message) {
  actions out;
  std::visit([&](const auto& typed) { Handle(now, from, typed, out); },
             message);
  return out;
}

std::vector<registry_action> endpoint_registry::OnTimer(steady_time now) {
  actions out;
  if (now < next_tick_) {
    return out;
  }
  if (now - last_tick_ > kStallThreshold) {
    ExcludeStall(now - last_tick_);
  }
  last_tick_ = now;
  next_tick_ = now + options_.tick;
  RemoveExpired(now, out);
  SendPendingRecords(now, out);
  if (now >= next_load_round_) {
    SendLoadRound(now, out);
  }
  if (now >= next_load_query_) {
    next_load_query_ = now + kLoadQueryPeriod;
    SendLoadQueries(now, out);
    RemoveExpiredTombstones(now);
  }
  return out;
}

void endpoint_registry::SetPeers(std::vector<host_id> peers) {
  peers_ = std::move(peers);
  std::sort(peers_.begin(), peers_.end());
  const auto is_not_peer = [this](const auto& item) {
    return !std::binary_search(peers_.begin(), peers_.end(), item.first);
  };
  std::erase_if(pending_, is_not_peer);
  std::erase_if(comparisons_, is_not_peer);
}

std::optional<endpoint_record> endpoint_registry::Find(
    const endpoint_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second.endpoint;
}

std::vector<endpoint_record> endpoint_registry::Endpoints() const {
  std::vector<endpoint_record> endpoints;
  endpoints.reserve(entries_.size());
  for (const auto& [id, known] : entries_) {
    endpoints.push_back(known.endpoint);
  }
  return endpoints;
}

status endpoint_registry::CheckAnnouncement(
    const endpoint_record& endpoint) const {
  if (endpoint.id.IsEmpty() || endpoint.address.empty() ||
      endpoint.domain != options_.domain) {
    return MakeError(error_kind::kInvalidRequest,
                     "endpoint without id or address, or of another domain");
  }
  const auto found = entries_.find(endpoint.id);
  if (found == entries_.end()) {
    return entries_.size() < options_.max_endpoints
               ? status(success{})
               : MakeError(error_kind::kOverLimit, "too many endpoints");
  }
  if (endpoint.started < found->second.endpoint.started) {
    return MakeError(error_kind::kConflict, "a later incarnation is known");
  }
  return success{};
}

bool endpoint_registry::IsOlderThanTombstone(const endpoint_record& endpoint,
                                             uint64_t sequence) const {
  const auto found = tombstones_.find(endpoint.id);
  if (found == tombstones_.end()) {
    return false;
  }
  const tombstone& removed = found->second;
  return endpoint.started < removed.started ||
         (endpoint.started == removed.started && sequence <= removed.sequence);
}

bool endpoint_registry::MergeRecord(steady_time now,
                                    registry_record record,
                                    actions& out) {
  endpoint_record& endpoint = record.endpoint;
  const auto found = entries_.find(endpoint.id);
  if (found != entries_.end() &&
      endpoint.started <= found->second.endpoint.started) {
    const bool is_same = endpoint.started == found->second.endpoint.started;
    return is_same && Update(now, found->second, record, out);
  }
  if (IsOlderThanTombstone(endpoint, endpoint.load.sequence)) {
    ++counters_.stale_reports;
    return false;
  }
  const auto removed = tombstones_.find(endpoint.id);
  if (removed != tombstones_.end()) {
    endpoint.is_leaving |= removed->second.is_leaving &&
                           removed->second.started == endpoint.started;
  }
  if (found != entries_.end()) {
    out.emplace_back(endpoint_event{endpoint_event_kind::kRemoved,
                                    found->second.endpoint, duration(0)});
    Remove(endpoint.id);
  } else if (entries_.size() >= options_.max_endpoints) {
    return false;
  }
  Add(now, record, out);
  return true;
}

void endpoint_registry::Add(steady_time now,
                            const registry_record& record,
                            actions& out) {
  entry added;
  added.endpoint = record.endpoint;
  added.changed_sequence = record.changed_sequence;
  added.key = KeyOf(record.endpoint);
  added.load_time = now - AgeOf(record.age_milliseconds);
  added.last_report_at = added.load_time;
  keys_[added.key] = record.endpoint.id;
  const entry& stored =
      entries_.insert_or_assign(record.endpoint.id, std::move(added))
          .first->second;
  out.emplace_back(endpoint_event{endpoint_event_kind::kAdded, stored.endpoint,
                                  AgeOf(record.age_milliseconds)});
}

bool endpoint_registry::Update(steady_time now,
                               entry& known,
                               const registry_record& record,
                               actions& out) {
  const endpoint_record& reported = record.endpoint;
  const bool begins_leaving = reported.is_leaving && !known.endpoint.is_leaving;
  const bool is_changed = record.changed_sequence > known.changed_sequence;
  if (is_changed) {
    const load_report load = known.endpoint.load;
    const bool is_leaving = known.endpoint.is_leaving;
    known.endpoint = reported;
    known.endpoint.is_leaving = is_leaving;
    known.endpoint.load = load;
    known.endpoint.load.slots = reported.load.slots;
    known.changed_sequence = record.changed_sequence;
  }
  known.endpoint.is_leaving |= begins_leaving;
  const bool has_newer_load =
      UpdateLoad(now, known, reported.load, AgeOf(record.age_milliseconds));
  if (is_changed || begins_leaving || has_newer_load) {
    EmitUpdate(now, known, out);
  }
  return is_changed || begins_leaving;
}

bool endpoint_registry::UpdateLoad(steady_time now,
                                   entry& known,
                                   const load_report& load,
                                   duration age) {
  load_report& current = known.endpoint.load;
  if (load.sequence <= current.sequence) {
    return false;
  }
  current.sequence = load.sequence;
  current.running = load.running;
  current.queued = load.queued;
  known.load_time = now - age;
  known.last_report_at = std::max(known.last_report_at, known.load_time);
  return true;
}

void endpoint_registry::RemoveExpired(steady_time now, actions& out) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const entry& known = (it++)->second;
    if (now - known.last_report_at < options_.expiry_time) {
      continue;
    }
    ++counters_.removed_expired;
    tombstones_[known.endpoint.id] = {known.endpoint.started,
                                      known.endpoint.load.sequence,
                                      known.endpoint.is_leaving, now};
    out.emplace_back(endpoint_event{endpoint_event_kind::kRemoved,
                                    known.endpoint, duration(0)});
    Remove(endpoint_id(known.endpoint.id));
  }
}

void endpoint_registry::RemoveExpiredTombstones(steady_time now) {
  std::erase_if(tombstones_, [this, now](const auto& item) {
    return now - item.second.removed_at >= options_.tombstone_time;
  });
  while (tombstones_.size() > options_.max_tombstones) {
    tombstones_.erase(std::min_element(tombstones_.begin(), tombstones_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.removed_at <
                                                b.second.removed_at;
                                       }));
  }
}

// While this process was stalled it received no reports, so that time does not
// count towards the expiry of its endpoints.
void endpoint_registry::ExcludeStall(duration stalled) {
  for (auto& [id, known] : entries_) {
    known.last_report_at += stalled;
  }
}

void endpoint_registry::Remove(const endpoint_id& id) {
  const auto found = entries_.find(id);
  keys_.erase(found->second.key);
  entries_.erase(found);
}

endpoint_registry::entry* endpoint_registry::FindByKey(endpoint_key key) {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &entries_.at(found->second);
}

void endpoint_registry::EmitUpdate(steady_time now,
                                   const entry& known,
                                   actions& out) const {
  out.emplace_back(endpoint_event{endpoint_event_kind::kUpdated, known.endpoint,
                                  now - known.load_time});
}

void endpoint_registry::WriteState(nlohmann::json& out) const {
  nlohmann::json& endpoints = out["endpoints"] = nlohmann::json::array();
  for (const auto& [id, known] : entries_) {
    const endpoint_record& endpoint = known.endpoint;
    nlohmann::json services = nlohmann::json::array();
    for (const service_id& service : endpoint.services) {
      services.push_back(service.text());
    }
    endpoints.push_back({{"id", id.text()},
                         {"incarnation", endpoint.started},
                         {"address", endpoint.address},
                         {"services", std::move(services)},
                         {"runner", endpoint.is_runner},
                         {"leaving", endpoint.is_leaving},
                         {"sequence", endpoint.load.sequence},
                         {"running", endpoint.load.running},
                         {"queued", endpoint.load.queued},
                         {"slots", endpoint.load.slots}});
  }
  out["counters"] = {{"endpoints", entries_.size()},
                     {"tombstones", tombstones_.size()},
                     {"announcements", counters_.announcements},
                     {"stale_reports", counters_.stale_reports},
                     {"removed_silent", counters_.removed_expired},
                     {"digests", counters_.digests},
                     {"records_sent", counters_.records_sent},
                     {"load_rounds", counters_.load_rounds}};
}

}  // namespace shallotport
