#ifndef SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
#define SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/endpoint_registry.h"
#include "membership/membership_core.h"

namespace shallotport {

// Simulates the hosts of one failure domain and their endpoints in virtual
// time, with a network that loses, duplicates and reorders messages. For tests
// and benchmarks.
class membership_simulation {
 public:
  using host_number = size_t;

  struct node {
    std::unique_ptr<membership_core> core;
    std::unique_ptr<endpoint_registry> registry;
    incarnation started = 1;
    bool is_running = false;
    bool is_stalled = false;
    // Incarnations of hosts and endpoints that this process has seen leaving.
    std::set<std::pair<std::string, incarnation>> seen_leaving;
    std::vector<std::string> violations;
    size_t sent_bytes = 0;
    size_t sent_messages = 0;
    size_t down_events = 0;
    size_t suspect_events = 0;
  };
  struct endpoint_state {
    endpoint_record record;
    bool is_running = true;
    steady_time next_announcement;
  };

  membership_simulation(size_t hosts, uint64_t seed) : random_(seed) {
    nodes_.resize(hosts);
    for (host_number i = 0; i < hosts; ++i) {
      StartHost(i);
    }
  }

  static host_id IdOf(host_number number) {
    const std::string digits = std::to_string(100 + number);
    return host_id("host-" + digits.substr(1));
  }

  void StartHost(host_number number) {
    node& started = nodes_[number];
    membership_options options;
    options.self = IdOf(number);
    options.domain = domain_id("a");
    options.address = "127.0.0.1:" + std::to_string(7000 + number);
    options.started = started.started;
    for (host_number seed = 0; seed < 3 && seed < nodes_.size(); ++seed) {
      options.seeds.push_back({IdOf(seed), "127.0.0.1:7000"});
    }
    endpoint_registry_options registry;
    registry.self = options.self;
    registry.domain = options.domain;
    started.core = std::make_unique<membership_core>(
        ValueOf(membership_core::Create(std::move(options), now_, random_())));
    started.registry =
        std::make_unique<endpoint_registry>(registry, now_, random_());
    started.is_running = true;
    started.seen_leaving.clear();
  }

  void StopHost(host_number number) {
    nodes_[number].is_running = false;
    ++nodes_[number].started;
  }

  void Leave(host_number number) {
    node& leaving = nodes_[number];
    Perform(number, leaving.core->BeginLeave(now_));
  }

  void AddEndpoint(const std::string& name, host_number host) {
    endpoint_state& added = endpoints_[name];
    added.record.id = endpoint_id(name);
    added.record.domain = domain_id("a");
    added.record.address = "127.0.0.1:9000";
    added.record.services = {service_id("assistant")};
    added.record.is_runner = true;
    added.record.started = 1;
    added.record.load.slots = 8;
    added.next_announcement =
        now_ + duration(static_cast<int64_t>(UniformBelow(random_, 500'000)));
    announced_to_[name] = host;
  }

  void RestartEndpoint(const std::string& name) {
    endpoint_state& endpoint = endpoints_.at(name);
    ++endpoint.record.started;
    endpoint.record.is_leaving = false;
    endpoint.record.load.sequence = 0;
    endpoint.is_running = true;
  }

  void Run(duration time) {
    const steady_time end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      DeliverDuePackets();
      SendDueAnnouncements();
      for (host_number i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].is_running && !nodes_[i].is_stalled) {
          if (now_ >= nodes_[i].core->next_timer()) {
            Perform(i, nodes_[i].core->OnTimer(now_));
          }
          Perform(i, nodes_[i].registry->OnTimer(now_));
        }
      }
    }
  }

  // Empty when all running hosts know the actual state of hosts and endpoints;
  // else the first difference.
  std::string Disagreement() const {
    std::set<host_id> live;
    for (host_number i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].is_running && !HasLeft(i)) {
        live.insert(IdOf(i));
      }
    }
    for (host_number i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].is_running || HasLeft(i)) {
        continue;
      }
      const std::vector<host_id> seen = nodes_[i].core->LiveHosts();
      std::set<host_id> expected = live;
      expected.erase(IdOf(i));
      if (std::set<host_id>(seen.begin(), seen.end()) != expected) {
        return IdOf(i).text() + " sees " + std::to_string(seen.size()) +
               " live hosts of " + std::to_string(expected.size());
      }
      if (std::string text = EndpointDisagreement(i); !text.empty()) {
        return text;
      }
    }
    return {};
  }

  std::string Violations() const {
    std::string all;
    for (const node& each : nodes_) {
      for (const std::string& violation : each.violations) {
        all += violation + "\n";
      }
    }
    return all;
  }

  bool HasLeft(host_number number) const {
    return nodes_[number].core->self().state == host_state::kLeft;
  }

  // Delivers an announcement of any content to a host.
  void AnnounceAt(host_number host, const endpoint_record& record) {
    std::vector<registry_action> actions;
    nodes_[host].registry->Announce(now_, record, actions);
    Perform(host, actions);
  }

  void BlockLink(host_number from, host_number to) {
    blocked_links_.insert({from, to});
  }
  void Heal() {
    blocked_links_.clear();
    drop_share = 0;
    duplicate_share = 0;
  }

  std::vector<node>& nodes() { return nodes_; }
  std::map<std::string, endpoint_state>& endpoints() { return endpoints_; }
  steady_time now() const { return now_; }
  random_source& random() { return random_; }

  // Called for every endpoint event of every host.
  std::function<void(host_number, const endpoint_event&)> on_endpoint;
  double drop_share = 0;
  double duplicate_share = 0;
  bool counts_bytes = false;

 private:
  using protocol_message = std::variant<membership_message, registry_message>;
  struct packet {
    host_number from;
    host_number to;
    protocol_message message;
  };
  static constexpr duration kStep{20'000};
  // Bytes that the envelope, the frame, UDP and IP add to a payload.
  static constexpr size_t kEnvelopeBytes = 41 + 12 + 8 + 28;

  static host_number NumberOf(const host_id& id) {
    return std::stoul(id.text().substr(5));
  }

  void Perform(host_number from,
               const std::vector<membership_action>& actions) {
    node& actor = nodes_[from];
    for (const membership_action& action : actions) {
      if (const auto* event = std::get_if<host_event>(&action)) {
        RecordLeaving(actor, event->host.id.text(), event->host.started,
                      event->kind == host_event_kind::kLeft);
        actor.down_events += event->kind == host_event_kind::kDown ? 1 : 0;
        actor.suspect_events +=
            event->kind == host_event_kind::kSuspect ? 1 : 0;
        continue;
      }
      const auto& send = std::get<send_membership>(action);
      SendPacket(from, send.to, send.message);
    }
    actor.registry->SetPeers(actor.core->LiveHosts());
  }

  void Perform(host_number from, const std::vector<registry_action>& actions) {
    for (const registry_action& action : actions) {
      if (const auto* event = std::get_if<endpoint_event>(&action)) {
        if (on_endpoint) {
          on_endpoint(from, *event);
        }
        if (event->kind != endpoint_event_kind::kRemoved) {
          RecordLeaving(nodes_[from], event->endpoint.id.text(),
                        event->endpoint.started, event->endpoint.is_leaving);
        }
        continue;
      }
      const auto& send = std::get<send_registry>(action);
      SendPacket(from, send.to, send.message);
    }
  }

  void RecordLeaving(node& observer,
                     const std::string& name,
                     incarnation started,
                     bool is_leaving) {
    const std::pair<std::string, incarnation> key(name, started);
    if (is_leaving) {
      observer.seen_leaving.insert(key);
    } else if (observer.seen_leaving.contains(key)) {
      observer.violations.push_back(
          name + " was reported as not leaving after it left");
    }
  }

  void SendPacket(host_number from,
                  const host_id& to_id,
                  const protocol_message& message) {
    const host_number to = NumberOf(to_id);
    node& sender = nodes_[from];
    ++sender.sent_messages;
    if (counts_bytes) {
      sender.sent_bytes += kEnvelopeBytes + EncodedSize(message);
    }
    if (blocked_links_.contains({from, to}) ||
        UniformUnit(random_) < drop_share) {
      return;
    }
    const bool is_duplicated = UniformUnit(random_) < duplicate_share;
    for (int copy = 0; copy < (is_duplicated ? 2 : 1); ++copy) {
      const auto delay = static_cast<int64_t>(
          1'000 + UniformBelow(random_, duplicate_share > 0 ? 400'000 : 2'000));
      in_flight_.emplace(now_ + duration(delay), packet{from, to, message});
    }
  }

  static size_t EncodedSize(const protocol_message& message) {
    if (const auto* typed = std::get_if<membership_message>(&message)) {
      return EncodeMembershipMessage(*typed).size();
    }
    return EncodeRegistryMessage(std::get<registry_message>(message)).size();
  }

  void DeliverDuePackets() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const packet due = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      node& receiver = nodes_[due.to];
      if (!receiver.is_running || receiver.is_stalled) {
        continue;
      }
      const host_id from = IdOf(due.from);
      if (const auto* typed = std::get_if<membership_message>(&due.message)) {
        Perform(due.to, receiver.core->OnMessage(now_, from, *typed));
      } else {
        Perform(due.to,
                receiver.registry->OnMessage(
                    now_, from, std::get<registry_message>(due.message)));
      }
    }
  }

  void SendDueAnnouncements() {
    for (auto& [name, endpoint] : endpoints_) {
      if (!endpoint.is_running || now_ < endpoint.next_announcement) {
        continue;
      }
      endpoint.next_announcement = now_ + duration(500'000);
      ++endpoint.record.load.sequence;
      endpoint.record.load.running =
          static_cast<uint32_t>(UniformBelow(random_, 9));
      host_number& announced_to = announced_to_[name];
      for (size_t attempts = 0; attempts < nodes_.size(); ++attempts) {
        if (nodes_[announced_to].is_running &&
            !nodes_[announced_to].is_stalled && !HasLeft(announced_to)) {
          AnnounceAt(announced_to, endpoint.record);
          break;
        }
        announced_to = (announced_to + 1) % nodes_.size();
      }
    }
  }

  std::string EndpointDisagreement(host_number number) const {
    const endpoint_registry& registry = *nodes_[number].registry;
    size_t running = 0;
    for (const auto& [name, endpoint] : endpoints_) {
      if (!endpoint.is_running) {
        continue;
      }
      ++running;
      const auto seen = registry.Find(endpoint_id(name));
      if (!seen || seen->started != endpoint.record.started ||
          seen->is_leaving != endpoint.record.is_leaving ||
          seen->services != endpoint.record.services) {
        return IdOf(number).text() + " has a wrong record of " + name;
      }
    }
    return running == registry.size()
               ? std::string()
               : IdOf(number).text() + " keeps stopped endpoints";
  }

  random_source random_;
  steady_time now_{duration(3'600'000'000LL)};
  std::vector<node> nodes_;
  std::map<std::string, endpoint_state> endpoints_;
  std::map<std::string, host_number> announced_to_;
  std::multimap<steady_time, packet> in_flight_;
  std::set<std::pair<host_number, host_number>> blocked_links_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
