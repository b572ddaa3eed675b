#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_SPREAD_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_SPREAD_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random_source.h"
#include "base/result.h"
#include "control/configuration_replica.h"

namespace shallotport {

struct spread_options {
  uint32_t relays_per_domain = 2;
  std::chrono::milliseconds digest_interval{1'000};
  uint32_t digests_per_control_digest = 8;
  // A domain that has not reported by then gets other relays.
  std::chrono::milliseconds relay_timeout{500};
  std::chrono::milliseconds summary_interval{200};
  // A relay repeats its pushes to hosts that did not acknowledge them.
  std::chrono::milliseconds push_on_interval{400};
  uint32_t push_on_repeats = 3;
  // How long a relay goes on reporting about one push.
  std::chrono::milliseconds summary_duration{10'000};
  // A host that was not heard of for so long does not count as live.
  std::chrono::milliseconds silent_after{60'000};
};

struct spread_peer {
  host_id host;
  domain_id domain;
  bool is_control = false;
};

// New revisions. A relay passes the push on to the hosts of its domain.
struct spread_push {
  configuration_delta delta;
  bool is_relay = false;
  host_id leader;  // Who to report to, as far as the sender knows.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(delta, is_relay, leader);
  }
};

// States the sender's revision. A newer receiver answers with a push, an older
// one with its own digest.
struct spread_digest {
  log_index revision = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision);
  }
};

struct host_revision {
  host_id host;
  log_index revision = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, revision);
  }
};

// A relay's report to the control member that pushed to it: the hosts whose
// revision rose since the last report.
struct spread_summary {
  std::vector<host_revision> hosts;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(hosts);
  }
};

// Asks the leader who has `revision` in force.
struct spread_progress_query {
  uint64_t number = 0;
  log_index revision = 0;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, revision);
  }
};

// Who has a revision in force, as far as the leader knows.
struct spread_progress {
  uint64_t number = 0;          // Of the query.
  std::vector<host_id> behind;  // Live, with an older revision.
  std::vector<host_id> silent;  // Not heard of lately.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, behind, silent);
  }
};

using spread_message = std::variant<spread_push,
                                    spread_digest,
                                    spread_summary,
                                    spread_progress_query,
                                    spread_progress>;

// For the peer channel kConfiguration.
std::string EncodeSpread(const spread_message& message);
result<spread_message> DecodeSpread(std::string_view bytes);

struct spread_send {
  host_id to;
  spread_message message;
};

struct spread_actions {
  std::vector<spread_send> sends;
  bool has_new_revision = false;            // The replica moved up.
  std::optional<spread_progress> progress;  // A query was answered.
};

// One host's part in bringing each committed revision to every host. The log's
// leader pushes to a few relays of each domain, these to the rest of their
// domain; digests between random hosts repair what was lost. Hosts only move
// up, whatever arrives in whatever order.
class configuration_spread {
 public:
  configuration_spread(spread_options options,
                       spread_peer self,
                       std::vector<spread_peer> peers,
                       uint64_t seed);

  // A control member's applied state; only the leader pushes it on.
  spread_actions OnCommitted(steady_time now,
                             const configuration_delta& delta,
                             bool is_leader);
  spread_actions OnMessage(steady_time now,
                           const host_id& from,
                           const spread_message& message);
  spread_actions OnTimer(steady_time now);
  steady_time next_timer() const;

  const configuration_replica& replica() const { return replica_; }

  // Asks who has the revision in force; the answer comes in these actions or
  // those of a later message, or never.
  spread_actions AskProgress(steady_time now,
                             const spread_progress_query& query);

  // Leader only.
  spread_progress Progress(steady_time now, log_index revision) const;

  void WriteState(nlohmann::json& out) const;

 private:
  struct peer_state {
    spread_peer peer;
    log_index revision = 0;
    log_index reported = 0;  // In the last summary.
    bool is_heard = false;
    steady_time heard_at{};
  };
  struct domain_push {
    uint32_t attempt = 0;
    steady_time retry_at{};
  };

  void On(steady_time now,
          const host_id& from,
          const spread_push& push,
          spread_actions& out);
  void On(steady_time now,
          const host_id& from,
          const spread_digest& digest,
          spread_actions& out);
  void On(steady_time now,
          const host_id& from,
          const spread_summary& summary,
          spread_actions& out);

  void On(steady_time now,
          const host_id& from,
          const spread_progress_query& query,
          spread_actions& out);
  void On(steady_time now,
          const host_id& from,
          const spread_progress& progress,
          spread_actions& out);

  void Hear(steady_time now, const host_id& host, log_index revision);
  void PushToDomain(steady_time now,
                    const domain_id& domain,
                    spread_actions& out);
  void RetryDomains(steady_time now, spread_actions& out);
  bool IsDomainDone(const domain_id& domain) const;
  void SendDigests(steady_time now, spread_actions& out);
  void SendDigestToDomain(spread_actions& out);
  void SendSummary(steady_time now, spread_actions& out);
  std::vector<const peer_state*> Relays(const domain_id& domain,
                                        uint32_t attempt) const;
  // Passes a relay's push on to the hosts of the domain that lack it.
  void PushOn(bool is_leader_new, spread_actions& out);
  spread_push PushSince(log_index revision, bool is_relay);
  const host_id* RandomPeer(const std::vector<host_id>& hosts);
  const host_id* ControlPeer();

  spread_options options_;
  spread_peer self_;
  std::map<host_id, peer_state> peers_;
  std::vector<host_id> domain_peers_;
  std::vector<host_id> control_peers_;
  std::map<domain_id, std::vector<host_id>> domains_;
  random_source random_;
  configuration_replica replica_;
  bool is_leader_ = false;
  std::map<domain_id, domain_push> pushes_;  // Leader: domains not yet done.
  log_index previous_revision_ = 0;
  host_id leader_;  // As the last push said.
  steady_time summary_at_{};
  steady_time summary_until_{};
  steady_time push_on_at_{};
  uint32_t push_ons_left_ = 0;
  steady_time digest_at_{};
  uint32_t digests_ = 0;
  uint64_t sent_pushes_ = 0;
  uint64_t sent_whole_ = 0;
  uint64_t missed_deltas_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_SPREAD_H_
