// Exchange of the registry's records and loads between the hosts of a domain.

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

#include "base/digest.h"
#include "membership/endpoint_registry.h"

namespace shallotport {

namespace {

constexpr size_t kMaxRecordsPerMessage = 6;
constexpr size_t kMaxKeysPerQuery = 64;
constexpr size_t kForwardPeers = 3;
constexpr size_t kLoadQueryPeers = 2;
constexpr uint32_t kMismatchesBeforeDigest = 2;
constexpr duration kDigestPeriod{1'000'000};
// Encoded sizes in bytes that the load budget assumes.
constexpr int64_t kMessageBytes = 120;
constexpr int64_t kLoadBytes = 14;

uint16_t Saturated(uint32_t count) {
  return static_cast<uint16_t>(
      std::min<uint32_t>(count, std::numeric_limits<uint16_t>::max()));
}

}  // namespace

void endpoint_registry::Forward(const host_id& from,
                                const registry_record& record) {
  const endpoint_id& id = record.endpoint.id;
  if (record.endpoint.is_leaving) {
    QueueRecordForAll(id, from);
    return;
  }
  for (const host_id& peer : PickPeers(kForwardPeers, from)) {
    QueueRecordFor(peer, id);
  }
}

void endpoint_registry::Handle(steady_time now,
                               const host_id& from,
                               const registry_loads& message,
                               actions& out) {
  registry_query query;
  for (const registry_load& reported : message.loads) {
    entry* known = FindByKey(reported.key);
    if (known == nullptr) {
      if (query.records.size() < kMaxKeysPerQuery) {
        query.records.push_back(reported.key);
      }
      continue;
    }
    load_report load = known->endpoint.load;
    const auto step = static_cast<int32_t>(
        reported.sequence - static_cast<uint32_t>(load.sequence));
    if (step <= 0) {
      continue;
    }
    load.sequence += static_cast<uint64_t>(step);
    load.running = reported.running;
    load.queued = reported.queued;
    if (UpdateLoad(now, *known, load, AgeOf(reported.age_milliseconds))) {
      EmitUpdate(now, *known, out);
    }
  }
  if (!query.records.empty()) {
    out.emplace_back(send_registry{from, std::move(query)});
  }
  CompareTables(now, from, message.table_hash, out);
}

void endpoint_registry::Handle(steady_time now,
                               const host_id& from,
                               const registry_records& message,
                               actions& out) {
  for (const registry_record& record : message.records) {
    if (record.endpoint.domain == options_.domain &&
        MergeRecord(now, record, out)) {
      Forward(from, record);
    }
  }
  out.emplace_back(send_registry{from, registry_ack{message.sequence}});
}

void endpoint_registry::Handle(steady_time,
                               const host_id& from,
                               const registry_ack& message,
                               actions&) {
  const auto found = pending_.find(from);
  if (found != pending_.end()) {
    std::erase_if(found->second, [&message](const auto& item) {
      return item.second.last_message == message.sequence;
    });
  }
}

void endpoint_registry::Handle(steady_time,
                               const host_id& from,
                               const registry_digest& message,
                               actions& out) {
  std::unordered_map<endpoint_key, uint32_t> peer_versions;
  registry_query query;
  for (const registry_digest_entry& item : message.entries) {
    peer_versions.emplace(item.key, item.version);
    const entry* known = FindByKey(item.key);
    const bool is_newer = known == nullptr || VersionOf(*known) < item.version;
    if (is_newer && query.records.size() < kMaxKeysPerQuery) {
      query.records.push_back(item.key);
    }
  }
  for (const auto& [id, known] : entries_) {
    const auto other = peer_versions.find(known.key);
    if (other == peer_versions.end() || other->second < VersionOf(known)) {
      QueueRecordFor(from, id);
    }
  }
  if (!query.records.empty()) {
    out.emplace_back(send_registry{from, std::move(query)});
  }
}

void endpoint_registry::Handle(steady_time now,
                               const host_id& from,
                               const registry_query& message,
                               actions& out) {
  for (const endpoint_key key : message.records) {
    if (const entry* known = FindByKey(key)) {
      QueueRecordFor(from, known->endpoint.id);
    }
  }
  registry_loads reply;
  for (const endpoint_key key : message.loads) {
    if (const entry* known = FindByKey(key)) {
      reply.loads.push_back(MakeRegistryLoad(now, *known));
    }
  }
  if (!reply.loads.empty()) {
    reply.table_hash = TableHash();
    out.emplace_back(send_registry{from, std::move(reply)});
  }
}

void endpoint_registry::QueueRecordForAll(const endpoint_id& id,
                                          const host_id& except) {
  for (const host_id& peer : peers_) {
    if (peer != except) {
      QueueRecordFor(peer, id);
    }
  }
}

void endpoint_registry::QueueRecordFor(const host_id& peer,
                                       const endpoint_id& id) {
  if (std::binary_search(peers_.begin(), peers_.end(), peer)) {
    pending_[peer][id] = {};
  }
}

void endpoint_registry::SendPendingRecords(steady_time now, actions& out) {
  for (auto& [peer, records] : pending_) {
    registry_records message;
    for (auto it = records.begin(); it != records.end();) {
      const auto known = entries_.find(it->first);
      if (known == entries_.end() || it->second.sends >= options_.max_sends) {
        it = records.erase(it);
        continue;
      }
      if (it->second.next_send <= now &&
          message.records.size() < kMaxRecordsPerMessage) {
        message.records.push_back(MakeRegistryRecord(now, known->second));
        it->second.last_message = next_message_;
        it->second.next_send = now + options_.resend_period;
        ++it->second.sends;
      }
      ++it;
    }
    if (!message.records.empty()) {
      counters_.records_sent += message.records.size();
      message.sequence = next_message_++;
      out.emplace_back(send_registry{peer, std::move(message)});
    }
  }
  std::erase_if(pending_, [](const auto& item) { return item.second.empty(); });
}

void endpoint_registry::SendLoadRound(steady_time now, actions& out) {
  registry_loads message;
  for (auto& [id, known] : entries_) {
    if (std::exchange(known.has_fresh_load, false)) {
      message.loads.push_back(MakeRegistryLoad(now, known));
    }
  }
  ++counters_.load_rounds;
  message.table_hash = TableHash();
  const bool is_empty = message.loads.empty();
  const std::vector<host_id> receivers =
      is_empty ? PickPeers(1, host_id()) : peers_;
  const int64_t message_bytes =
      kMessageBytes + kLoadBytes * static_cast<int64_t>(message.loads.size());
  const int64_t bytes = message_bytes * static_cast<int64_t>(receivers.size());
  const duration budget_period(bytes * 1'000'000 /
                               options_.load_bytes_per_second);
  next_load_round_ =
      now + (is_empty ? options_.max_load_period
                      : std::clamp(budget_period, options_.load_period,
                                   options_.max_load_period));
  for (const host_id& peer : receivers) {
    out.emplace_back(send_registry{peer, message});
  }
}

void endpoint_registry::SendLoadQueries(steady_time now, actions& out) {
  registry_query query;
  for (const auto& [id, known] : entries_) {
    if (now - known.last_report_at >= options_.load_query_delay &&
        query.loads.size() < kMaxKeysPerQuery) {
      query.loads.push_back(known.key);
    }
  }
  if (query.loads.empty()) {
    return;
  }
  for (const host_id& peer : PickPeers(kLoadQueryPeers, host_id())) {
    out.emplace_back(send_registry{peer, query});
  }
}

void endpoint_registry::CompareTables(steady_time now,
                                      const host_id& from,
                                      uint64_t hash,
                                      actions& out) {
  table_comparison& comparison = comparisons_[from];
  if (hash == TableHash()) {
    comparison.mismatches = 0;
    return;
  }
  ++comparison.mismatches;
  if (comparison.mismatches >= kMismatchesBeforeDigest &&
      now - comparison.last_digest >= kDigestPeriod) {
    comparison.last_digest = now;
    SendDigest(from, out);
  }
}

void endpoint_registry::SendDigest(const host_id& to, actions& out) {
  ++counters_.digests;
  registry_digest digest;
  for (const auto& [id, known] : entries_) {
    digest.entries.push_back({known.key, VersionOf(known)});
  }
  out.emplace_back(send_registry{to, std::move(digest)});
}

uint32_t endpoint_registry::VersionOf(const entry& known) const {
  return static_cast<uint32_t>(known.changed_sequence << 1) |
         (known.endpoint.is_leaving ? 1U : 0U);
}

uint64_t endpoint_registry::TableHash() const {
  uint64_t hash = 0;
  for (const auto& [id, known] : entries_) {
    const uint64_t item =
        (uint64_t{known.key} << 32) | uint64_t{VersionOf(known)};
    hash ^= HashOf({reinterpret_cast<const char*>(&item), sizeof(item)});
  }
  return hash;
}

registry_load endpoint_registry::MakeRegistryLoad(steady_time now,
                                                  const entry& known) const {
  const load_report& load = known.endpoint.load;
  return {known.key, static_cast<uint32_t>(load.sequence),
          Saturated(load.running), Saturated(load.queued),
          AgeInMilliseconds(now - known.load_time)};
}

registry_record endpoint_registry::MakeRegistryRecord(
    steady_time now,
    const entry& known) const {
  return {known.endpoint, known.changed_sequence,
          AgeInMilliseconds(now - known.load_time)};
}

std::vector<host_id> endpoint_registry::PickPeers(size_t count,
                                                  const host_id& except) {
  std::vector<host_id> picked = peers_;
  std::erase(picked, except);
  std::shuffle(picked.begin(), picked.end(), random_);
  picked.resize(std::min(picked.size(), count));
  return picked;
}

}  // namespace shallotport
