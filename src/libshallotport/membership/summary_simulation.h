#ifndef SHALLOTPORT_MEMBERSHIP_SUMMARY_SIMULATION_H_
#define SHALLOTPORT_MEMBERSHIP_SUMMARY_SIMULATION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/domain_summary.h"

namespace shallotport {

// Simulates failure domains with some hosts each in virtual time, connected by
// a network without delay or loss.
struct summary_simulation {
  std::map<std::string, domain_summary_table> tables;
  steady_time now{duration(100'000'000)};
  std::map<std::string, size_t> sent_bytes;

  summary_simulation(size_t domains, size_t hosts, size_t near_domains) {
    for (size_t domain = 0; domain < domains; ++domain) {
      for (size_t host = 0; host < hosts; ++host) {
        AddHost(domains, hosts, near_domains, domain, host);
      }
    }
  }

  static std::string HostName(size_t domain, size_t host) {
    return "d" + std::to_string(domain) + "-h" + std::to_string(host);
  }

  void AddHost(size_t domains,
               size_t hosts,
               size_t near_domains,
               size_t domain,
               size_t host) {
    domain_summary_options options;
    options.self = host_id(HostName(domain, host));
    options.domain = domain_id("d" + std::to_string(domain));
    for (size_t other = 0; other < domains; ++other) {
      if (other == domain) {
        continue;
      }
      summary_domain named{domain_id("d" + std::to_string(other)), {}};
      named.is_near = other / near_domains == domain / near_domains;
      for (size_t contact = 0; contact < 2 && contact < hosts; ++contact) {
        named.contacts.emplace_back(HostName(other, contact), "");
      }
      options.domains.push_back(std::move(named));
    }
    domain_summary_table table(options, now, domain * 1'000 + host);
    std::vector<host_id> peers;
    for (size_t peer = 0; peer < hosts; ++peer) {
      if (peer != host) {
        peers.emplace_back(HostName(domain, peer));
      }
    }
    table.SetPeers(std::move(peers));
    tables.emplace(options.self.text(), std::move(table));
  }

  void SetLocal(size_t domain, size_t hosts, uint16_t running) {
    SetLocalServices(domain, hosts, running, 1);
  }

  void SetLocalServices(size_t domain,
                        size_t hosts,
                        uint16_t running,
                        size_t services) {
    std::vector<service_summary> local;
    for (size_t i = 0; i < services; ++i) {
      const std::string name =
          i == 0 ? "assistant" : "service-" + std::to_string(i);
      local.push_back({domain_id("d" + std::to_string(domain)),
                       service_id(name), 4, 32, running, 0});
    }
    for (size_t host = 0; host < hosts; ++host) {
      tables.at(HostName(domain, host)).SetLocal(now, local);
    }
  }

  void Run(duration time) {
    const steady_time end = now + time;
    while (now < end) {
      now += std::chrono::milliseconds(100);
      for (auto& [name, table] : tables) {
        for (const send_summary& send : table.OnTimer(now)) {
          sent_bytes[name] += EncodeSummaryMessage(send.message).size() + 89;
          tables.at(send.to.text()).OnMessage(now, send.message);
        }
      }
    }
  }

  std::optional<uint16_t> RunningOf(const std::string& seen_by,
                                    const std::string& domain) {
    for (const service_summary& each :
         tables.at(seen_by).Find(now, service_id("assistant"))) {
      if (each.domain.text() == domain) {
        return each.running;
      }
    }
    return std::nullopt;
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_SUMMARY_SIMULATION_H_
