#include <gtest/gtest.h>

#include "membership/membership_simulation.h"

namespace shallotport {
namespace {

using namespace std::chrono_literals;
using network = membership_simulation;

// After a partition has healed, all live hosts agree within this time. It
// covers rejoin probes to each host that was down, then suspicion and
// refutation, then the digests.
constexpr duration kAgreementTime = 45s;

void AddEndpoints(network& net, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    net.AddEndpoint("runner-" + std::to_string(i), i % net.nodes().size());
  }
}

struct size_case {
  size_t hosts;
  size_t endpoints;
};

class membership_sizes : public testing::TestWithParam<size_case> {};

TEST_P(membership_sizes, AgreeAfterStart) {
  network net(GetParam().hosts, 1);
  AddEndpoints(net, GetParam().endpoints);
  net.Run(20s);
  EXPECT_EQ(net.Disagreement(), "");
  EXPECT_EQ(net.Violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         membership_sizes,
                         testing::Values(size_case{1, 3},
                                         size_case{2, 5},
                                         size_case{6, 20},
                                         size_case{13, 56}));

TEST(membership_network, DeadHostIsDownWithinTenSeconds) {
  network net(13, 2);
  net.Run(15s);
  net.StopHost(4);
  net.Run(10s);
  EXPECT_EQ(net.Disagreement(), "");
}

TEST(membership_network, LossInOneDirectionIsNotAFailure) {
  network net(5, 3);
  net.Run(15s);
  net.BlockLink(0, 1);
  net.BlockLink(2, 1);
  net.Run(60s);
  EXPECT_EQ(net.Disagreement(), "");
  for (const network::node& node : net.nodes()) {
    EXPECT_EQ(node.down_events, 0u);
  }
}

TEST(membership_network, StalledHostDoesNotSuspectTheOthers) {
  // Begins the stall at every phase of a probe period.
  for (int offset = 0; offset < 50; ++offset) {
    network net(5, 4);
    AddEndpoints(net, 10);
    net.Run(5s + offset * 20ms);
    net.nodes()[2].is_stalled = true;
    net.Run(12s);
    net.nodes()[2].suspect_events = 0;
    net.nodes()[2].is_stalled = false;
    net.Run(1'500ms);
    EXPECT_EQ(net.nodes()[2].registry->size(), 10u);
    EXPECT_EQ(net.nodes()[2].suspect_events, 0u);
  }
}

// The partition lasts longer than the resends of a record and shorter than the
// expiry time, so that only the comparison of tables can deliver the change.
TEST(membership_network, ChangeDuringAShortPartitionIsFoundByComparingTables) {
  network net(4, 7);
  AddEndpoints(net, 8);
  net.Run(15s);
  for (size_t other = 1; other < 4; ++other) {
    net.BlockLink(0, other);
    net.BlockLink(other, 0);
  }
  net.endpoints().at("runner-1").record.is_leaving = true;
  net.Run(4s);
  net.Heal();
  net.Run(8s);
  const auto seen = net.nodes()[0].registry->Find(endpoint_id("runner-1"));
  EXPECT_TRUE(seen && seen->is_leaving);
}

struct precedence_case {
  host_record newer;
  host_record older;
};

class host_record_order : public testing::TestWithParam<precedence_case> {};

TEST_P(host_record_order, IsTotal) {
  EXPECT_TRUE(GetParam().newer.Supersedes(GetParam().older));
  EXPECT_FALSE(GetParam().older.Supersedes(GetParam().newer));
}

host_record Host(incarnation started, uint32_t refutation, host_state state) {
  return {host_id("h"), "", started, refutation, state};
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    host_record_order,
    testing::Values(precedence_case{Host(1, 0, host_state::kSuspect),
                                    Host(1, 0, host_state::kAlive)},
                    precedence_case{Host(1, 1, host_state::kAlive),
                                    Host(1, 0, host_state::kDown)},
                    precedence_case{Host(2, 0, host_state::kAlive),
                                    Host(1, 4, host_state::kLeft)},
                    precedence_case{Host(1, 1, host_state::kLeft),
                                    Host(1, 2, host_state::kAlive)}));

TEST(membership_network, HostWithoutPeersKeepsItsOwnEndpoints) {
  network net(4, 5);
  AddEndpoints(net, 8);
  net.Run(15s);
  for (size_t other = 1; other < 4; ++other) {
    net.BlockLink(0, other);
    net.BlockLink(other, 0);
  }
  net.Run(60s);
  EXPECT_TRUE(net.nodes()[0].core->LiveHosts().empty());
  EXPECT_TRUE(net.nodes()[0].registry->Find(endpoint_id("runner-0")));
  EXPECT_TRUE(net.nodes()[0].registry->Find(endpoint_id("runner-4")));
  net.Heal();
  net.Run(kAgreementTime);
  EXPECT_EQ(net.Disagreement(), "");
}

struct leaving_case {
  const char* name;
  size_t hosts;
  double drop_share;
  bool blocks_one_way;
  bool blocks_both_ways;
};

class endpoint_leaving : public testing::TestWithParam<leaving_case> {};

TEST_P(endpoint_leaving, IsKnownToAllHostsWithinThreeSeconds) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    network net(GetParam().hosts, seed);
    AddEndpoints(net, 4 * GetParam().hosts);
    net.Run(15s);
    net.drop_share = GetParam().drop_share;
    if (GetParam().blocks_one_way || GetParam().blocks_both_ways) {
      net.BlockLink(0, 5);
    }
    if (GetParam().blocks_both_ways) {
      net.BlockLink(5, 0);
    }
    net.endpoints().at("runner-0").record.is_leaving = true;
    net.Run(3s);
    for (const network::node& node : net.nodes()) {
      const auto seen = node.registry->Find(endpoint_id("runner-0"));
      EXPECT_TRUE(seen && seen->is_leaving) << "seed " << seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    endpoint_leaving,
    testing::Values(leaving_case{"no_loss", 13, 0, false, false},
                    leaving_case{"two_hosts", 2, 0.6, false, false},
                    leaving_case{"loss", 13, 0.3, false, false},
                    leaving_case{"one_way_block", 13, 0.1, true, false},
                    leaving_case{"two_way_block", 13, 0.1, true, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(membership_network, ControlBytesStayWithinTheBudget) {
  network net(13, 6);
  AddEndpoints(net, 56);
  net.Run(30s);
  net.counts_bytes = true;
  net.Run(60s);
  for (const network::node& node : net.nodes()) {
    EXPECT_LT(node.sent_bytes / 60, 2'000u);
  }
  EXPECT_EQ(net.Disagreement(), "");
}

// Random faults, checked by the oracle in membership_simulation: during the
// faults no host or endpoint that left is reported as not leaving again, and
// after healing all hosts know the actual state.
class membership_random : public testing::TestWithParam<uint64_t> {};

void DoRandomStep(network& net) {
  random_source& random = net.random();
  const size_t host = UniformBelow(random, net.nodes().size());
  const size_t other = UniformBelow(random, net.nodes().size());
  const std::string endpoint =
      "runner-" + std::to_string(UniformBelow(random, net.endpoints().size()));
  switch (UniformBelow(random, 10)) {
    case 0:
    case 1:
      net.BlockLink(host, other);
      break;
    case 2:
      net.BlockLink(host, other);
      net.BlockLink(other, host);
      break;
    case 3:
      net.Heal();
      break;
    case 4:
      net.drop_share = 0.3;
      net.duplicate_share = 0.3;
      break;
    case 5:
      if (net.nodes()[host].is_running) {
        net.StopHost(host);
      } else {
        net.StartHost(host);
      }
      break;
    case 6:
      if (net.nodes()[host].is_running && UniformBelow(random, 3) == 0) {
        net.Leave(host);
      }
      break;
    case 7:
      net.endpoints().at(endpoint).record.is_leaving = true;
      break;
    case 8:
      net.RestartEndpoint(endpoint);
      break;
    case 9:
      net.endpoints().at(endpoint).is_running = false;
      break;
  }
}

TEST_P(membership_random, AgreeAfterHealing) {
  network net(7, GetParam());
  AddEndpoints(net, 12);
  net.Run(10s);
  for (int step = 0; step < 40; ++step) {
    DoRandomStep(net);
    net.Run(
        duration(static_cast<int64_t>(UniformBelow(net.random(), 4'000'000))));
    ASSERT_EQ(net.Violations(), "");
  }
  net.Heal();
  for (size_t host = 0; host < net.nodes().size(); ++host) {
    if (!net.nodes()[host].is_running) {
      net.StartHost(host);
    }
  }
  net.Run(kAgreementTime);
  EXPECT_EQ(net.Disagreement(), "");
  EXPECT_EQ(net.Violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         membership_random,
                         testing::Range<uint64_t>(1, 31));

}  // namespace
}  // namespace shallotport
