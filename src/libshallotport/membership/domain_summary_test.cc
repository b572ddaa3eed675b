#include "membership/domain_summary.h"

#include <gtest/gtest.h>

#include <map>

#include "base/digest.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;

constexpr steady_time kStart{duration(100'000'000)};

// Domains of some hosts each, joined without loss, in virtual time.
struct summary_world {
  std::map<std::string, domain_summary_table> tables;
  steady_time now = kStart;
  std::map<std::string, size_t> sent_bytes;

  summary_world(size_t domains, size_t hosts, size_t near_domains) {
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
    for (size_t host = 0; host < hosts; ++host) {
      tables.at(HostName(domain, host))
          .SetLocal(now, {{domain_id("d" + std::to_string(domain)),
                           service_id("assistant"), 4, 32, running, 0}});
    }
  }

  void Run(duration time) {
    const steady_time end = now + time;
    while (now < end) {
      now += 100ms;
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

struct spread_case {
  const char* name;
  size_t domains;
  size_t hosts;
  size_t near_domains;
  duration limit;
};

class summary_spread : public testing::TestWithParam<spread_case> {};

TEST_P(summary_spread, ReachesEveryHostWithinTheLimit) {
  const spread_case& each = GetParam();
  summary_world world(each.domains, each.hosts, each.near_domains);
  for (duration time = 0s; time < each.limit; time += 1s) {
    world.SetLocal(0, each.hosts, 7);
    world.Run(1s);
  }
  for (const auto& [name, table] : world.tables) {
    if (name.rfind("d0-", 0) != 0) {
      EXPECT_EQ(world.RunningOf(name, "d0"), 7) << name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    summary_spread,
    testing::Values(spread_case{"one_region", 4, 2, 4, 8s},
                    spread_case{"one_region_of_large_domains", 4, 13, 4, 15s},
                    spread_case{"all_regions", 25, 3, 4, 55s}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(domain_summary, NewerReplacesOlderAndOldOnesAgeOut) {
  summary_world world(2, 1, 2);
  world.SetLocal(0, 1, 3);
  world.Run(3s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 3);
  world.SetLocal(0, 1, 5);
  world.Run(3s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 5);
  // A copy from before, delayed on another way.
  const auto key = [](const char* text) {
    return static_cast<uint32_t>(HashOf(text));
  };
  const summary_message late{
      {{key("d0"), key("assistant"), 4, 32, 3, 0, 9'000}}};
  world.tables.at("d1-h0").OnMessage(world.now, late);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), 5);
  world.Run(62s);
  EXPECT_EQ(world.RunningOf("d1-h0", "d0"), std::nullopt);
  EXPECT_EQ(world.tables.at("d1-h0").size(), 0u);
}

TEST(domain_summary, AFewHostsOfADomainAreRelays) {
  summary_world world(2, 13, 2);
  size_t relays = 0;
  for (const auto& [name, table] : world.tables) {
    relays += table.IsRelay() ? 1 : 0;
  }
  EXPECT_EQ(relays, 4u);
}

}  // namespace
}  // namespace shallotport
