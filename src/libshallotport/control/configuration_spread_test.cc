// A fleet of spread cores in virtual time, with messages that are delayed, lost
// and cut off by domain, and hosts that restart.
#include "control/configuration_spread.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "base/random_source.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr size_t kHosts = 320;
constexpr size_t kDomains = 25;
constexpr size_t kControlHosts = 19;
constexpr size_t kAccounts = 200;
constexpr int kChanges = 7;
constexpr size_t kFrameBytes = 48;  // Channel, hosts, incarnation, lengths.

struct travelling_message {
  size_t from = 0;
  size_t to = 0;
  std::string bytes;
};

struct fleet_host {
  spread_peer self;
  std::unique_ptr<configuration_spread> core;
  uint64_t sent_bytes = 0;
  log_index highest = 0;
  bool is_down = false;
};

class spread_fleet {
 public:
  spread_fleet(uint64_t seed, uint64_t lost_per_thousand)
      : random_(seed), lost_per_thousand_(lost_per_thousand), hosts_(kHosts) {
    for (size_t i = 0; i < kHosts; ++i) {
      hosts_[i].self = {HostName(i),
                        domain_id("d" + std::to_string(i % kDomains)),
                        i < kControlHosts};
      peers_.push_back(hosts_[i].self);
    }
    for (size_t i = 0; i < kHosts; ++i) {
      Restart(i);
    }
    for (size_t i = 0; i < kAccounts; ++i) {
      account_configuration account;
      account.id = account_id("account-" + std::to_string(1000 + i));
      account.token_sha256 = std::string(64, 'a');
      committed_.accounts.push_back(account);
    }
    Commit(WholeDelta());
  }

  // Accepts a change of one account, known to the control members.
  void Change() {
    const configuration before = committed_;
    const size_t chosen = UniformBelow(random_, committed_.accounts.size());
    committed_.accounts[chosen].batch_weight += 1;
    configuration_delta delta;
    delta.from = revision_;
    delta.accounts = {committed_.accounts[chosen]};
    Commit(delta);
  }

  void RunFor(milliseconds span) {
    const steady_time end = now_ + span;
    while (now_ < end) {
      now_ += milliseconds(1);
      DeliverDue();
      for (size_t i = 0; i < kHosts; ++i) {
        if (!hosts_[i].is_down && hosts_[i].core->next_timer() <= now_) {
          Perform(i, hosts_[i].core->OnTimer(now_));
        }
      }
    }
  }

  // Time until all hosts that are up hold the revision; nothing after `limit`.
  std::optional<milliseconds> TimeToAll(milliseconds limit) {
    for (milliseconds spent{0}; spent <= limit; spent += milliseconds(5)) {
      if (Behind() == 0) {
        return spent;
      }
      RunFor(milliseconds(5));
    }
    return std::nullopt;
  }

  size_t Behind() const {
    return static_cast<size_t>(std::count_if(
        hosts_.begin(), hosts_.end(), [&](const fleet_host& host) {
          return !host.is_down && host.core->replica().revision() != revision_;
        }));
  }

  void Restart(size_t index) {
    hosts_[index].core = std::make_unique<configuration_spread>(
        spread_options{}, hosts_[index].self, peers_, random_());
    hosts_[index].highest = 0;
    hosts_[index].is_down = false;
  }

  void SetDown(size_t index) { hosts_[index].is_down = true; }
  void Cut(size_t domain) { cut_domain_ = domain; }
  void Heal() { cut_domain_.reset(); }

  void CheckAllEqual() const {
    for (const fleet_host& host : hosts_) {
      ASSERT_TRUE(host.is_down || host.core->replica().current() == committed_);
    }
  }

  spread_progress Progress() const {
    return hosts_[0].core->Progress(now_, revision_);
  }

  // The same, asked at another host.
  spread_progress AskProgress(size_t index) {
    constexpr uint64_t kNumber = 17;
    asked_.reset();
    Perform(index, hosts_[index].core->AskProgress(now_, {kNumber, revision_}));
    RunFor(milliseconds(100));
    EXPECT_TRUE(asked_ && asked_->number == kNumber);
    return asked_.value_or(spread_progress{});
  }

  // Most and mean bytes that a host has sent since the last call.
  void TakeBytes(uint64_t& most, uint64_t& mean) {
    most = 0;
    mean = 0;
    for (fleet_host& host : hosts_) {
      most = std::max(most, host.sent_bytes);
      mean += host.sent_bytes;
      host.sent_bytes = 0;
    }
    mean /= kHosts;
  }

 private:
  static host_id HostName(size_t index) {
    return host_id("h" + std::to_string(index));
  }

  configuration_delta WholeDelta() const {
    configuration_delta delta;
    delta.is_whole = true;
    delta.accounts = committed_.accounts;
    return delta;
  }

  void Commit(configuration_delta delta) {
    revision_ += 3;
    delta.to = revision_;
    for (size_t i = 0; i < kControlHosts; ++i) {
      if (!hosts_[i].is_down && cut_domain_ != i % kDomains) {
        Perform(i, hosts_[i].core->OnCommitted(now_, delta, i == 0));
      }
    }
  }

  void Perform(size_t from, const spread_actions& actions) {
    if (actions.progress) {
      asked_ = actions.progress;
    }
    for (const spread_send& send : actions.sends) {
      const size_t to = std::stoul(send.to.text().substr(1));
      travelling_message message{from, to, EncodeSpread(send.message)};
      hosts_[from].sent_bytes += message.bytes.size() + kFrameBytes;
      const bool is_cut = cut_domain_ && (from % kDomains == *cut_domain_) !=
                                             (to % kDomains == *cut_domain_);
      if (is_cut || UniformBelow(random_, 1000) < lost_per_thousand_) {
        continue;
      }
      const milliseconds delay(1 + UniformBelow(random_, 40));
      travelling_.emplace(now_ + delay, std::move(message));
    }
  }

  void DeliverDue() {
    while (!travelling_.empty() && travelling_.begin()->first <= now_) {
      const travelling_message message =
          std::move(travelling_.extract(travelling_.begin()).mapped());
      fleet_host& host = hosts_[message.to];
      if (host.is_down) {
        continue;
      }
      const auto decoded = DecodeSpread(message.bytes);
      ASSERT_TRUE(IsOk(decoded));
      Perform(message.to, host.core->OnMessage(now_, HostName(message.from),
                                               ValueOf(decoded)));
      const log_index revision = host.core->replica().revision();
      ASSERT_GE(revision, host.highest) << "a host moved down";
      host.highest = revision;
    }
  }

  random_source random_;
  uint64_t lost_per_thousand_;
  std::vector<fleet_host> hosts_;
  std::vector<spread_peer> peers_;
  std::multimap<steady_time, travelling_message> travelling_;
  std::optional<size_t> cut_domain_;
  std::optional<spread_progress> asked_;
  configuration committed_;
  log_index revision_ = 0;
  steady_time now_{std::chrono::hours(1)};
};

constexpr milliseconds kLimit{5'000};

struct spread_case {
  const char* name;
  uint64_t lost_per_thousand;
};

class spread_fleets : public testing::TestWithParam<spread_case> {};

TEST_P(spread_fleets, HaveEachChangeInForceWithinTheLimit) {
  spread_fleet fleet(7, GetParam().lost_per_thousand);
  ASSERT_TRUE(fleet.TimeToAll(kLimit)) << fleet.Behind() << " behind";
  fleet.RunFor(milliseconds(1'000));
  uint64_t most = 0;
  uint64_t mean = 0;
  fleet.TakeBytes(most, mean);
  fleet.RunFor(milliseconds(1'000));
  uint64_t idle = 0;
  fleet.TakeBytes(most, idle);
  std::vector<milliseconds> times;
  for (int i = 0; i < kChanges; ++i) {
    fleet.Change();
    const auto spent = fleet.TimeToAll(kLimit);
    ASSERT_TRUE(spent) << fleet.Behind() << " behind";
    times.push_back(*spent);
    fleet.RunFor(milliseconds(1'000) - std::min(milliseconds(1'000), *spent));
  }
  fleet.CheckAllEqual();
  fleet.TakeBytes(most, mean);
  std::sort(times.begin(), times.end());
  std::cout << "virtual time, 1 change/s, loss " << GetParam().lost_per_thousand
            << "/1000: in force median " << times[times.size() / 2].count()
            << " ms, most " << times.back().count()
            << " ms; bytes/s sent a host: idle " << idle << ", changing "
            << mean / kChanges << ", leader " << most / kChanges << "\n";
  EXPECT_LE(mean / kChanges, 2'048U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         spread_fleets,
                         testing::Values(spread_case{"NoLoss", 0},
                                         spread_case{"Loss2Percent", 20},
                                         spread_case{"Loss20Percent", 200}),
                         [](const auto& info) { return info.param.name; });

TEST(ConfigurationSpread, NamesACutDomainAndBringsItUpAfterHealing) {
  spread_fleet fleet(11, 10);
  ASSERT_TRUE(fleet.TimeToAll(kLimit));
  fleet.RunFor(milliseconds(2'000));
  fleet.Cut(5);
  for (int i = 0; i < 5; ++i) {
    fleet.Change();
    fleet.RunFor(milliseconds(500));
  }
  const size_t cut = kHosts / kDomains + (5 < kHosts % kDomains ? 1 : 0);
  EXPECT_EQ(fleet.Behind(), cut);
  const spread_progress progress = fleet.Progress();
  EXPECT_EQ(progress.behind.size() + progress.silent.size(), cut);
  EXPECT_EQ(fleet.AskProgress(40).behind, progress.behind);
  fleet.Heal();
  const auto spent = fleet.TimeToAll(kLimit);
  ASSERT_TRUE(spent) << fleet.Behind() << " behind";
  std::cout << "virtual time, domain healed: in force after " << spent->count()
            << " ms\n";
  fleet.RunFor(milliseconds(30'000));
  EXPECT_TRUE(fleet.Progress().behind.empty());
  fleet.CheckAllEqual();
}

TEST(ConfigurationSpread, BringsRestartedHostsUpAndOutlivesLostRelays) {
  spread_fleet fleet(13, 10);
  ASSERT_TRUE(fleet.TimeToAll(kLimit));
  for (size_t i = 20; i < kHosts; i += 2) {
    fleet.SetDown(i);
  }
  fleet.Change();
  ASSERT_TRUE(fleet.TimeToAll(kLimit)) << fleet.Behind() << " behind";
  for (size_t i = 20; i < kHosts; i += 2) {
    fleet.Restart(i);
  }
  ASSERT_TRUE(fleet.TimeToAll(kLimit)) << fleet.Behind() << " behind";
  fleet.CheckAllEqual();
}

TEST(ConfigurationSpread, TheLeaderTriesOtherRelaysUntilTheDomainReports) {
  std::vector<spread_peer> peers{{host_id("leader"), domain_id("d0"), true}};
  for (int i = 0; i < 40; ++i) {
    peers.push_back({host_id("h" + std::to_string(i)), domain_id("d1"), false});
  }
  configuration_spread spread({}, peers[0], peers, 1);
  steady_time now{milliseconds(1'000)};
  std::set<host_id> tried;
  const auto note = [&](const spread_actions& actions) {
    for (const spread_send& send : actions.sends) {
      tried.insert(send.to);
    }
    return actions.sends.size();
  };
  configuration_delta whole;
  whole.to = 1;
  whole.is_whole = true;
  EXPECT_EQ(note(spread.OnCommitted(now, whole, true)), 2U);
  for (int i = 0; i < 4; ++i) {
    now = spread.next_timer() + milliseconds(8'000);
    EXPECT_EQ(note(spread.OnTimer(now)), 2U);
  }
  EXPECT_GT(tried.size(), 4U);
  spread.OnMessage(now, host_id("h3"), spread_digest{1});
  EXPECT_EQ(note(spread.OnTimer(now + milliseconds(60'000))), 0U);
}

TEST(ConfigurationSpread, IsReadyOnlyWithACommittedRevision) {
  const std::vector<spread_peer> peers{{host_id("a"), domain_id("d"), true},
                                       {host_id("b"), domain_id("d"), false}};
  configuration_spread spread({}, peers[1], peers, 1);
  const steady_time now{milliseconds(1)};
  EXPECT_FALSE(spread.replica().IsReady());
  configuration_delta late;
  late.from = 5;
  late.to = 6;
  const auto asked = spread.OnMessage(now, host_id("a"),
                                      spread_push{late, false, host_id("a")});
  EXPECT_FALSE(asked.has_new_revision);
  ASSERT_EQ(asked.sends.size(), 1U);
  late.is_whole = true;
  EXPECT_TRUE(
      spread
          .OnMessage(now, host_id("a"), spread_push{late, false, host_id("a")})
          .has_new_revision);
  EXPECT_TRUE(spread.replica().IsReady());
}

}  // namespace
}  // namespace shallotport
