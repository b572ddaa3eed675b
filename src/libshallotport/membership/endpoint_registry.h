#ifndef SHALLOTPORT_MEMBERSHIP_ENDPOINT_REGISTRY_H_
#define SHALLOTPORT_MEMBERSHIP_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"
#include "membership/endpoint_record.h"
#include "membership/registry_message.h"

namespace shallotport {

struct endpoint_registry_options {
  host_id self;
  domain_id domain;

  duration tick{100'000};           // Minimum time between two timer calls.
  duration resend_period{300'000};  // Of unacknowledged records.
  uint32_t max_sends = 9;           // Of one record to one host.
  duration load_period{500'000};    // Minimum between two load rounds.
  duration max_load_period{3'000'000};
  uint32_t load_bytes_per_second = 800;  // Above it, load rounds are delayed.
  // Time without a report after which other hosts are queried for the load.
  duration load_query_delay{5'000'000};
  // Time without a report after which an endpoint is removed.
  duration expiry_time{10'000'000};
  duration tombstone_time{600'000'000};
  size_t max_endpoints = 512;
  size_t max_tombstones = 2'048;
};

struct send_registry {
  host_id to;
  registry_message message;
};

enum class endpoint_event_kind : uint8_t { kAdded, kUpdated, kRemoved };

// A change of the registry, for the selection of endpoints.
struct endpoint_event {
  endpoint_event_kind kind = endpoint_event_kind::kAdded;
  endpoint_record endpoint;
  duration load_age{0};  // Age of the load at the time of the event.
};

using registry_action = std::variant<send_registry, endpoint_event>;

// The endpoints of this failure domain. An endpoint announces itself to any one
// host. New and changed records are pushed to the other hosts at once and are
// acknowledged; loads are sent in rounds that keep within a budget of bytes;
// lost records are found by comparing hashes of the tables. Leaving is final
// within an incarnation, also after the endpoint was removed, since tombstones
// remember it. Does no I/O and reads no clock; owned and driven by
// membership_duty on its thread.
class endpoint_registry {
 public:
  endpoint_registry(endpoint_registry_options options,
                    steady_time now,
                    uint64_t seed);

  // Handles an announcement that an endpoint sent to this host. kInvalidRequest
  // for another domain or an incomplete record, kConflict for a stale
  // incarnation, kOverLimit when the registry is full.
  status Announce(steady_time now,
                  const endpoint_record& endpoint,
                  std::vector<registry_action>& out);

  std::vector<registry_action> OnMessage(steady_time now,
                                         const host_id& from,
                                         const registry_message& message);
  std::vector<registry_action> OnTimer(steady_time now);
  steady_time next_timer() const { return next_tick_; }

  // Sets the domain's other live hosts; to be called whenever they change.
  void SetPeers(std::vector<host_id> peers);

  std::optional<endpoint_record> Find(const endpoint_id& id) const;
  std::vector<endpoint_record> Endpoints() const;
  size_t size() const { return entries_.size(); }

  void WriteState(nlohmann::json& out) const;

 private:
  struct entry {
    endpoint_record endpoint;
    uint64_t changed_sequence = 0;
    endpoint_key key = 0;
    steady_time load_time;        // When the load was reported, by its age.
    steady_time last_report_at;   // Latest load_time, used for expiry.
    bool has_fresh_load = false;  // Announced to this host, not yet sent on.
  };
  struct tombstone {
    incarnation started = 0;
    uint64_t sequence = 0;
    bool is_leaving = false;
    steady_time removed_at;
  };
  struct pending_record {
    uint32_t sends = 0;
    uint64_t last_message = 0;
    steady_time next_send;
  };
  // Comparison of this host's table with a peer's, by their hashes.
  struct table_comparison {
    uint32_t mismatches = 0;  // Consecutive ones.
    steady_time last_digest;
  };
  using pending_records = std::map<endpoint_id, pending_record>;
  using actions = std::vector<registry_action>;

  struct counters {
    uint64_t announcements = 0;
    uint64_t stale_reports = 0;
    uint64_t removed_expired = 0;
    uint64_t digests = 0;
    uint64_t records_sent = 0;
    uint64_t load_rounds = 0;
  };

  status CheckAnnouncement(const endpoint_record& endpoint) const;
  bool IsOlderThanTombstone(const endpoint_record& endpoint,
                            uint64_t sequence) const;
  void Add(steady_time now, const registry_record& record, actions& out);
  bool Update(steady_time now,
              entry& known,
              const registry_record& record,
              actions& out);
  bool UpdateLoad(steady_time now,
                  entry& known,
                  const load_report& load,
                  duration age);
  // True when the record itself changed, not only its load.
  bool MergeRecord(steady_time now, registry_record record, actions& out);
  void Forward(const host_id& from, const registry_record& record);

  void Handle(steady_time now,
              const host_id& from,
              const registry_loads& message,
              actions& out);
  void Handle(steady_time now,
              const host_id& from,
              const registry_records& message,
              actions& out);
  void Handle(steady_time now,
              const host_id& from,
              const registry_ack& message,
              actions& out);
  void Handle(steady_time now,
              const host_id& from,
              const registry_digest& message,
              actions& out);
  void Handle(steady_time now,
              const host_id& from,
              const registry_query& message,
              actions& out);

  void QueueRecordForAll(const endpoint_id& id, const host_id& except);
  void QueueRecordFor(const host_id& peer, const endpoint_id& id);
  void SendPendingRecords(steady_time now, actions& out);
  void SendLoadRound(steady_time now, actions& out);
  void SendLoadQueries(steady_time now, actions& out);
  void RemoveExpired(steady_time now, actions& out);
  void CompareTables(steady_time now,
                     const host_id& from,
                     uint64_t hash,
                     actions& out);
  void SendDigest(const host_id& to, actions& out);
  void ExcludeStall(duration stalled);
  void RemoveExpiredTombstones(steady_time now);

  entry* FindByKey(endpoint_key key);
  void Remove(const endpoint_id& id);
  registry_record MakeRegistryRecord(steady_time now, const entry& known) const;
  uint32_t VersionOf(const entry& known) const;
  uint64_t TableHash() const;
  registry_load MakeRegistryLoad(steady_time now, const entry& known) const;
  std::vector<host_id> PickPeers(size_t count, const host_id& except);
  void EmitUpdate(steady_time now, const entry& known, actions& out) const;

  endpoint_registry_options options_;
  random_source random_;
  std::vector<host_id> peers_;
  std::map<endpoint_id, entry> entries_;
  std::unordered_map<endpoint_key, endpoint_id> keys_;
  std::map<endpoint_id, tombstone> tombstones_;
  std::map<host_id, pending_records> pending_;
  std::map<host_id, table_comparison> comparisons_;
  uint64_t next_message_ = 1;
  steady_time next_tick_;
  steady_time next_load_round_;
  steady_time next_load_query_;
  steady_time last_tick_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_ENDPOINT_REGISTRY_H_
