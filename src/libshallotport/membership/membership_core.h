#ifndef SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_CORE_H_
#define SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"
#include "membership/host_record.h"
#include "membership/membership_message.h"

namespace shallotport {

struct membership_seed {
  host_id id;
  std::string address;
};

struct membership_options {
  host_id self;
  domain_id domain;
  std::string address;
  incarnation started = 1;
  std::vector<membership_seed> seeds;

  duration period{1'000'000};  // Each has one direct probe.
  // Time without an acknowledgement after which indirect probes are sent.
  duration direct_timeout{300'000};
  duration suspicion_time{3'000'000};  // From suspect to down.
  duration rejoin_period{3'000'000};   // Between probes of hosts that are down.
  // Time after which hosts that are down or left are removed, seeds aside.
  duration removal_time{3'600'000'000LL};
  uint32_t indirect_probes = 2;
  uint32_t records_per_message = 5;
  uint32_t max_hosts = 64;
};

struct send_membership {
  host_id to;
  std::string address;
  membership_message message;
};

enum class host_event_kind : uint8_t { kUp, kSuspect, kDown, kLeft };

// A change of another host's state or incarnation.
struct host_event {
  host_event_kind kind = host_event_kind::kUp;
  host_record host;
};

using membership_action = std::variant<send_membership, host_event>;

// The live hosts of this failure domain, by a SWIM-like protocol: in each
// period a host probes one other host, directly and, without an
// acknowledgement, through other hosts, so that loss in one direction does not
// count as a failure. Suspicions and refutations are piggybacked on the probes.
// Hosts that are down are still probed at intervals, so that a healed partition
// is noticed; a host without live peers continues alone. Does no I/O and reads
// no clock; owned and driven by membership_duty on its thread.
class membership_core {
 public:
  // Fails with kInvalidRequest for options that cannot work.
  static result<membership_core> Create(membership_options options,
                                        steady_time now,
                                        uint64_t seed);

  std::vector<membership_action> OnTimer(steady_time now);
  std::vector<membership_action> OnMessage(steady_time now,
                                           const host_id& from,
                                           const membership_message& message);

  // Notifies all live hosts that this host leaves. Final for this incarnation.
  std::vector<membership_action> BeginLeave(steady_time now);

  // When OnTimer() has to be called next.
  steady_time next_timer() const;

  // Hosts that are alive or suspect, without this one.
  std::vector<host_id> LiveHosts() const;
  std::optional<host_record> Find(const host_id& id) const;
  const host_record& self() const { return self_; }
  const domain_id& domain() const { return options_.domain; }

  // Messages with a later incarnation of this host: another process uses its
  // name, which an operator has to resolve.
  uint64_t id_conflicts() const { return counters_.id_conflicts; }

  void WriteState(nlohmann::json& out) const;

 private:
  struct known_host {
    host_record record;
    steady_time changed_at;
    uint32_t sends_left = 0;  // Further messages that carry this record.
    bool is_seed = false;
  };
  struct probe {
    host_id target;
    uint64_t sequence = 0;
    steady_time sent_at;
    bool is_indirect = false;
    bool is_acked = false;
  };
  struct forwarded_probe {
    host_id requester;
    uint64_t requester_sequence = 0;
    steady_time sent_at;
  };
  struct counters {
    uint64_t probes = 0;
    uint64_t indirect_probes = 0;
    uint64_t suspicions = 0;
    uint64_t refutations = 0;
    uint64_t downs = 0;
    uint64_t stalls = 0;
    uint64_t refused_messages = 0;
    uint64_t id_conflicts = 0;
  };
  using actions = std::vector<membership_action>;

  membership_core(membership_options options, steady_time now, uint64_t seed);

  void BeginPeriod(steady_time now, actions& out);
  void EndProbe(steady_time now, actions& out);
  void SendIndirectProbes(steady_time now, actions& out);
  void ExpireSuspicions(steady_time now, actions& out);
  void ProbeDownHost(steady_time now, actions& out);
  void RemoveExpiredHosts(steady_time now);
  void ExcludeStall(steady_time now);
  void SendLeaveNotices(steady_time now, actions& out);

  void HandlePing(const host_id& from,
                  const membership_message& message,
                  actions& out);
  void HandlePingRequest(steady_time now,
                         const host_id& from,
                         const membership_message& message,
                         actions& out);
  void HandleAck(const membership_message& message, actions& out);
  void Merge(steady_time now, const host_record& record, actions& out);
  void MergeNewer(steady_time now,
                  known_host& host,
                  host_record record,
                  actions& out);
  void MergeSelf(const host_record& record);
  void SetRecord(steady_time now,
                 known_host& host,
                 const host_record& record,
                 actions& out);

  std::optional<host_id> NextProbeTarget();
  std::vector<host_id> HostsInStates(host_state first, host_state last) const;
  std::vector<host_id> PickLiveHosts(size_t count, const host_id& except);
  void Send(const host_id& to, membership_message message, actions& out);
  void AddRecords(const host_id& to,
                  size_t limit,
                  size_t rotation_count,
                  membership_message& message);
  uint32_t SendsPerRecord() const;
  duration WithJitter(duration base);

  membership_options options_;
  random_source random_;
  host_record self_;
  std::map<host_id, known_host> hosts_;
  std::vector<host_id> probe_order_;
  std::optional<probe> probe_;
  std::map<uint64_t, forwarded_probe> forwarded_;
  host_id rotation_;  // Host whose record was last sent in rotation.
  uint64_t next_sequence_ = 1;
  bool has_joined_ = false;
  uint32_t leave_notices_left_ = 0;
  steady_time next_period_;
  steady_time next_rejoin_;
  steady_time next_leave_notice_;
  steady_time last_timer_;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_CORE_H_
