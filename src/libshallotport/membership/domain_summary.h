#ifndef SHALLOTPORT_MEMBERSHIP_DOMAIN_SUMMARY_H_
#define SHALLOTPORT_MEMBERSHIP_DOMAIN_SUMMARY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"

namespace shallotport {

// The capacity and load of one service in one failure domain, summed over its
// endpoints that are not leaving.
struct service_summary {
  domain_id domain;
  service_id service;
  uint16_t endpoints = 0;
  uint16_t slots = 0;
  uint16_t running = 0;
  uint16_t queued = 0;

  bool operator==(const service_summary&) const = default;
};

// A service_summary in a message: names are sent as hashes, and an age instead
// of a time.
struct summary_item {
  uint32_t domain_key = 0;
  uint32_t service_key = 0;
  uint16_t endpoints = 0;
  uint16_t slots = 0;
  uint16_t running = 0;
  uint16_t queued = 0;
  uint16_t age_milliseconds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(domain_key, service_key, endpoints, slots, running, queued,
            age_milliseconds);
  }
};

// A message of peer_channel::kSummaries.
struct summary_message {
  std::vector<summary_item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(items);
  }
};

std::string EncodeSummaryMessage(const summary_message& message);
result<summary_message> DecodeSummaryMessage(std::string_view bytes);

// Another failure domain, from the settings.
struct summary_domain {
  domain_id domain;
  std::vector<std::pair<host_id, std::string>> contacts;  // Host and address.
  bool is_near = true;  // Same region: gets summaries more often.
};

struct domain_summary_options {
  host_id self;
  domain_id domain;
  std::vector<summary_domain> domains;

  // Hosts of a domain that exchange summaries with other domains.
  uint32_t relays = 2;
  duration period{1'000'000};  // Between two rounds.
  // Near domains that a relay sends to in each round.
  uint32_t near_domains_per_round = 1;
  // A relay sends to one far domain in every n-th round.
  uint32_t rounds_per_far_domain = 4;
  // Hosts of the own domain that a host sends to in each round.
  uint32_t peers_per_round = 1;
  // Rounds in which a changed summary is sent ahead of the rotation.
  uint32_t sends_per_change = 2;
  size_t items_per_message = 12;
  duration max_age{60'000'000};
  size_t max_items = 4'096;
};

struct send_summary {
  host_id to;
  std::string address;  // Empty for hosts of the own domain.
  summary_message message;
};

// Service summaries of all failure domains, from which another domain is chosen
// when the own one has no capacity. A few relays of each domain, selected by
// rendezvous hashing among its live hosts, exchange summaries with other
// domains; within a domain, summaries are gossiped. The newer of two summaries
// is found by their ages, so clocks need not agree. Does no I/O and reads no
// clock; owned and driven by membership_duty on its thread.
class domain_summary_table {
 public:
  domain_summary_table(domain_summary_options options,
                       steady_time now,
                       uint64_t seed);

  // Sets the own domain's summaries, computed from the endpoint registry.
  void SetLocal(steady_time now, const std::vector<service_summary>& local);
  // Sets the other live hosts of the own domain.
  void SetPeers(std::vector<host_id> peers);
  // Sets the services whose names resolve received hashes; summaries of other
  // services are kept and gossiped under their hash.
  void SetServices(const std::vector<service_id>& services);

  void OnMessage(steady_time now, const summary_message& message);
  std::vector<send_summary> OnTimer(steady_time now);
  steady_time next_timer() const { return next_round_; }

  bool IsRelay() const;

  // Other domains' summaries of `service` that are younger than max_age.
  std::vector<service_summary> Find(steady_time now,
                                    const service_id& service) const;
  size_t size() const { return items_.size(); }

  void WriteState(nlohmann::json& out) const;

 private:
  using item_key = std::pair<uint32_t, uint32_t>;  // Domain and service.
  struct known_item {
    summary_item item;
    steady_time computed_at;
    uint32_t sends_left = 0;
  };

  void MergeItem(steady_time now, const summary_item& item);
  void SendToDomains(steady_time now, std::vector<send_summary>& out);
  summary_message MakeOwnDomainMessage(steady_time now);
  summary_message MakeGossipMessage(steady_time now, bool includes_own_domain);
  template <typename Predicate>
  void AddItemsInRotation(steady_time now,
                          item_key& rotation,
                          summary_message& message,
                          Predicate is_wanted) const;
  void AddItem(steady_time now,
               const known_item& known,
               summary_message& message) const;

  domain_summary_options options_;
  random_source random_;
  uint32_t self_key_;
  std::vector<host_id> peers_;
  std::map<uint32_t, domain_id> domain_names_;
  std::map<uint32_t, service_id> service_names_;
  std::map<item_key, known_item> items_;
  item_key rotation_{0, 0};
  item_key own_rotation_{0, 0};
  uint64_t rounds_ = 0;
  size_t next_near_ = 0;
  size_t next_far_;  // Random, so that relays begin with different domains.
  size_t next_contact_ = 0;
  steady_time next_round_;
  uint64_t received_items_ = 0;
  uint64_t stale_items_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_DOMAIN_SUMMARY_H_
