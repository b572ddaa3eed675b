#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "accounts/account_table.h"
#include "accounts/allotment_budget.h"
#include "accounts/allotment_ledger.h"
#include "accounts/allotment_terms.h"
#include "accounts/grant_journal.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{1};
constexpr milliseconds kMessageTime{3};  // Between a host and the leader.
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kRecordInterval{50};
constexpr milliseconds kWindow{5'000};

// A load of one account on a small number of steps: requests arrive at hosts,
// budgets ask one ledger, and messages take a few milliseconds. Counts what is
// sent in every window of 5 s.
class allotment_load {
 public:
  allotment_load(size_t hosts, double rate, double burst, uint64_t seed)
      : random_(seed), rate_(rate), burst_(burst) {
    SetLimit(rate, burst);
    for (size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<host>(seed * 1'000 + i));
      hosts_.back()->name = std::to_string(i);
      Configure(*hosts_.back());
    }
    Run(milliseconds(3'000), 0, [](size_t) { return size_t{0}; });
  }

  void SetLimit(double rate, double burst) {
    rules_ = account_rules();
    rules_.name = "a";
    rules_.requests_per_second = rate;
    rules_.burst = burst;
    rate_ = std::max(rate_, rate);
    burst_ = std::max(burst_, burst);
    if (has_leader) {
      ledger_.Update({&rules_, 1});
    }
    for (const auto& each : hosts_) {
      Configure(*each);
    }
  }

  // Requests arrive at `per_second`, at the hosts that `place` names.
  void Run(milliseconds period,
           double per_second,
           const std::function<size_t(size_t hosts)>& place) {
    for (const steady_time end = now + period; now < end; now += kStep) {
      Deliver();
      if (has_leader && now >= next_ledger_tick_) {
        next_ledger_tick_ = now + milliseconds(150);
        for (const auto& each : hosts_) {
          if (!each->is_cut_off) {
            ledger_.RecordHost(now, each->name);
          }
        }
        ledger_.Tick(now, static_cast<uint32_t>(hosts_.size()));
        const std::vector<uint64_t> busy = ledger_.BusyAccounts(now);
        for (const auto& each : hosts_) {
          if (!each->is_cut_off) {
            each->budget.SetLeaderHeard(now);
            each->budget.SetBusy(now, busy);
          }
        }
      }
      if (has_leader && now >= next_record_at_) {
        next_record_at_ = now + kRecordInterval;
        SendGrantRecord();
      }
      for (const auto& each : hosts_) {
        if (now >= each->next_tick) {
          each->next_tick = now + kTickInterval;
          each->budget.SetHostCount(now, static_cast<uint32_t>(hosts_.size()));
          Ask(*each);
        }
      }
      const std::chrono::duration<double> step = kStep;
      for (due_ += per_second * step.count(); due_ >= 1; due_ -= 1) {
        Arrive(*hosts_[place(hosts_.size())]);
      }
    }
  }

  void RestartHosts(size_t first, size_t count) {
    for (size_t i = first; i < first + count; ++i) {
      const std::string name = hosts_[i]->name;
      hosts_[i] = std::make_unique<host>(++restarts_ * 7'919 + i);
      hosts_[i]->name = name;
      Configure(*hosts_[i]);
    }
  }
  void CutOff(size_t first, size_t count, bool is_cut_off) {
    for (size_t i = first; i < first + count; ++i) {
      hosts_[i]->is_cut_off = is_cut_off;
    }
  }
  // Another host begins to lead; it knows the accounts, and what the journals
  // of the stores hold.
  void ReplaceLeader() {
    ledger_.Clear();
    for (const grant_record& each : journal_.RecordsBeyond(now, {})) {
      ledger_.Inherit(now, each);
    }
    for (const auto& each : hosts_) {
      each->budget.ReportSent();
      Ask(*each);
    }
    Run(2 * kMessageTime, 0, [](size_t) { return size_t{0}; });
  }

  size_t RandomHost(size_t hosts) { return UniformBelow(random_, hosts); }

  // The most that was sent within 5 s, as a part of what is allowed.
  double WorstWindow() const {
    const double allowed =
        (rate_ * std::chrono::duration<double>(kWindow).count() + burst_) *
            1.1 +
        20;
    size_t most = 0;
    for (size_t begin = 0, end = 0; end < sent_.size(); ++end) {
      while (sent_[end] - sent_[begin] >= kWindow) {
        ++begin;
      }
      most = std::max(most, end - begin + 1);
    }
    return static_cast<double>(most) / allowed;
  }
  void ForgetCounts() {
    sent_.clear();
    offered = 0;
    refused = 0;
  }

  steady_time now = steady_time{} + std::chrono::hours(1);
  bool has_leader = true;
  size_t offered = 0;
  size_t refused = 0;

 private:
  struct host {
    explicit host(uint64_t seed) : start_id(seed), budget(seed) {}

    std::string name;
    uint64_t start_id;
    allotment_budget budget;
    steady_time next_tick{};
    bool is_cut_off = false;
    size_t waiting = 0;
  };
  struct message {
    steady_time at{};
    std::function<void()> deliver;
  };

  void Configure(host& to) { to.budget.Update({&rules_, 1}); }
  bool IsConnected(const host& of) const {
    return has_leader && !of.is_cut_off;
  }

  // To the stores that do not lead.
  void SendGrantRecord() {
    grant_record record{1, next_record_number_++, 0, ledger_.TakeUnrecorded()};
    messages_.push_back(
        {now + kMessageTime, [=, this] { journal_.Add(now, record); }});
  }

  void Deliver() {
    for (size_t i = 0; i < messages_.size(); ++i) {
      if (messages_[i].at <= now) {
        const auto deliver = std::move(messages_[i].deliver);
        messages_.erase(messages_.begin() + static_cast<ptrdiff_t>(i--));
        deliver();
      }
    }
  }

  void Count(const allotment_verdict& verdict) {
    if (verdict.decision == allotment_decision::kAdmitted) {
      sent_.push_back(now);
    } else {
      ++refused;
    }
  }

  void Arrive(host& at) {
    ++offered;
    if (!IsConnected(at)) {
      Count(at.budget.AdmitAlone(now, account_, false));
      return;
    }
    const allotment_verdict verdict = at.budget.Admit(now, account_);
    if (verdict.decision == allotment_decision::kAsk) {
      ++at.waiting;
      Ask(at);
    } else {
      Count(verdict);
    }
  }

  void Ask(host& from) {
    if (!IsConnected(from)) {
      return;
    }
    const auto needs = from.budget.Needs(now);
    if (needs.empty()) {
      return;
    }
    const steady_time asked_at = now;
    const size_t waiting = std::exchange(from.waiting, 0);
    const std::string name = from.name;
    const host_start start{name, from.start_id};
    messages_.push_back(
        {now + kMessageTime, [=, this] {
           if (!has_leader) {
             DecideAlone(name, needs, waiting);
             return;
           }
           const allotment_grant grant = ledger_.Take(now, start, needs[0]);
           messages_.push_back({now + kMessageTime, [=, this] {
                                  Answer(name, asked_at, needs, grant, waiting);
                                }});
         }});
  }

  void DecideAlone(const std::string& name,
                   const std::vector<allotment_need>& needs,
                   size_t waiting) {
    host& at = *hosts_[std::stoul(name)];
    at.budget.EndCall(needs, false);
    for (size_t i = 0; i < waiting; ++i) {
      Count(at.budget.AdmitAlone(now, account_, false));
    }
  }

  // The host may have started anew meanwhile: its callers are gone.
  void Answer(const std::string& name,
              steady_time asked_at,
              const std::vector<allotment_need>& needs,
              const allotment_grant& grant,
              size_t waiting) {
    host& to = *hosts_[std::stoul(name)];
    to.budget.EndCall(needs, true);
    to.budget.Add(now, asked_at, grant);
    for (size_t i = 0; i < waiting; ++i) {
      Count(to.budget.AdmitAsked(now, account_));
    }
  }

  random_source random_;
  const uint64_t account_ = AccountDigest("a");
  account_rules rules_;
  double rate_;
  double burst_;
  allotment_ledger ledger_;
  grant_journal journal_{kWindow + kTokenLifetime};
  uint64_t next_record_number_ = 0;
  steady_time next_record_at_{};
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<message> messages_;
  std::vector<steady_time> sent_;
  steady_time next_ledger_tick_{};
  double due_ = 0;
  uint64_t restarts_ = 0;
};

constexpr size_t kHosts = 73;

struct load_case {
  std::string name;
  double rate;
  double asked;  // As a multiple of the rate.
  std::function<void(allotment_load&, double per_second)> play;
};

void AtRandom(allotment_load& load, milliseconds period, double per_second) {
  load.Run(period, per_second,
           [&](size_t hosts) { return load.RandomHost(hosts); });
}

void PrintTo(const load_case& load, std::ostream* out) {
  *out << load.name;
}

// Guards against an account that gets more than its allotment over all hosts,
// whatever fails, in any window of 5 s.
class allotment_bound
    : public testing::TestWithParam<std::tuple<load_case, uint64_t>> {};

TEST_P(allotment_bound, HoldsInEveryWindow) {
  const auto& [load, seed] = GetParam();
  allotment_load fleet(kHosts, load.rate, load.rate, seed);
  load.play(fleet, load.rate * load.asked);
  EXPECT_LE(fleet.WorstWindow(), 1);
}

const load_case kBoundCases[] = {
    {"HotAtOneHost", 40, 6,
     [](auto& load, double rate) {
       load.Run(milliseconds(12'000), rate, [](size_t) { return size_t{4}; });
     }},
    {"HotAtAllHosts", 120, 7,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(12'000), rate);
     }},
    {"SmallAndHotAtAllHosts", 2, 40,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(20'000), rate);
     }},
    {"AThirdStartsAnewEachSecond", 60, 6,
     [](auto& load, double rate) {
       for (int i = 0; i < 10; ++i) {
         load.RestartHosts(static_cast<size_t>(i % 3) * 24, 24);
         AtRandom(load, milliseconds(1'000), rate);
       }
     }},
    {"LeaderLost", 60, 6,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(4'000), rate);
       load.has_leader = false;
       AtRandom(load, milliseconds(6'000), rate);
       load.ReplaceLeader();
       load.has_leader = true;
       AtRandom(load, milliseconds(6'000), rate);
     }},
    {"SmallAccountWithoutLeader", 2, 40,
     [](auto& load, double rate) {
       load.has_leader = false;
       AtRandom(load, milliseconds(30'000), 0);
       AtRandom(load, milliseconds(15'000), rate);
     }},
    // Each request comes to another host, whose share of the account's requests
    // is large at that time.
    {"LeaderLostAfterQuietHours", 1, 8,
     [](auto& load, double rate) {
       size_t count = 0;
       load.Run(milliseconds(200'000), rate / 20,
                [&](size_t hosts) { return ++count % hosts; });
       load.has_leader = false;
       AtRandom(load, milliseconds(10'000), rate);
     }},
    {"AThirdCutOff", 100, 6,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(3'000), rate);
       load.CutOff(0, 24, true);
       AtRandom(load, milliseconds(8'000), rate);
       load.CutOff(0, 24, false);
       AtRandom(load, milliseconds(5'000), rate);
     }},
    {"LeadersChangeEachSecond", 100, 6,
     [](auto& load, double rate) {
       for (int i = 0; i < 10; ++i) {
         load.ReplaceLeader();
         AtRandom(load, milliseconds(1'000), rate);
       }
     }},
    {"LeadersChangeInABurst", 100, 20,
     [](auto& load, double rate) {
       for (int i = 0; i < 5; ++i) {
         AtRandom(load, milliseconds(6'000), 0);
         AtRandom(load, milliseconds(400), rate);
         load.ReplaceLeader();
         AtRandom(load, milliseconds(400), rate);
       }
     }},
    // All requests came to one host, which is killed together with the leader:
    // nobody else can tell what it has sent.
    {"LeaderAndTheHostOfAllRequestsLost", 20, 4.5,
     [](auto& load, double rate) {
       load.Run(milliseconds(1'400), rate, [](size_t) { return size_t{0}; });
       load.has_leader = false;
       load.RestartHosts(0, 1);
       AtRandom(load, milliseconds(1'500), rate);
       load.ReplaceLeader();
       load.has_leader = true;
       AtRandom(load, milliseconds(4'000), rate);
     }},
    {"LeadersAndHostsLostTwiceInAWindow", 60, 7.5,
     [](auto& load, double rate) {
       for (int i = 0; i < 6; ++i) {
         load.Run(milliseconds(700), rate, [](size_t) { return size_t{3}; });
         load.has_leader = false;
         load.RestartHosts(3, 1);
         AtRandom(load, milliseconds(1'200), rate);
         load.ReplaceLeader();
         load.has_leader = true;
       }
     }},
    {"LeaderAndAThirdOfTheHostsLost", 120, 6,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(1'500), rate);
       load.has_leader = false;
       load.RestartHosts(0, 24);
       AtRandom(load, milliseconds(1'000), rate);
       load.ReplaceLeader();
       load.has_leader = true;
       AtRandom(load, milliseconds(5'000), rate);
     }},
    {"BurstAfterAPause", 60, 30,
     [](auto& load, double rate) {
       for (int i = 0; i < 4; ++i) {
         AtRandom(load, milliseconds(4'000), 0);
         AtRandom(load, milliseconds(500), rate);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Loads,
                         allotment_bound,
                         testing::Combine(testing::ValuesIn(kBoundCases),
                                          testing::Range<uint64_t>(1, 6)),
                         [](const auto& info) {
                           return std::get<0>(info.param).name + "_" +
                                  std::to_string(std::get<1>(info.param));
                         });

// Guards against requests that are refused though their account is below its
// allotment, because the tokens are at other hosts.
class allotment_use
    : public testing::TestWithParam<std::tuple<load_case, uint64_t>> {};

TEST_P(allotment_use, NothingBelowTheLimitIsRefused) {
  const auto& [load, seed] = GetParam();
  allotment_load fleet(kHosts, load.rate, load.rate, seed);
  fleet.ForgetCounts();
  load.play(fleet, load.rate * load.asked);
  EXPECT_GT(fleet.offered, 20u);
  EXPECT_EQ(fleet.refused, 0u) << "of " << fleet.offered;
}

const load_case kUseCases[] = {
    // All of a window's requests come within a second.
    {"AllOfAWindowAtOnce", 40, 5.5,
     [](auto& load, double rate) {
       for (int i = 0; i < 4; ++i) {
         AtRandom(load, milliseconds(6'000), 0);
         AtRandom(load, milliseconds(1'000), rate);
       }
     }},
    {"UsualAtAllHosts", 60, 0.6,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(10'000), rate);
     }},
    {"SmallAccount", 4, 0.7,
     [](auto& load, double rate) {
       AtRandom(load, milliseconds(20'000), rate);
     }},
    {"AllAtOneHost", 60, 0.9,
     [](auto& load, double rate) {
       load.Run(milliseconds(10'000), rate, [](size_t) { return size_t{9}; });
     }},
    {"MovesFromHostToHost", 40, 0.8,
     [](auto& load, double rate) {
       size_t count = 0;
       load.Run(milliseconds(10'000), rate,
                [&](size_t hosts) { return ++count / 16 % hosts; });
     }},
    {"BurstsOf187PerCentWithinTheBurst", 40, 1,
     [](auto& load, double rate) {
       for (int i = 0; i < 4; ++i) {
         AtRandom(load, milliseconds(3'400), rate * 0.24);
         AtRandom(load, milliseconds(2'400), rate * 1.17);
       }
     }},
    // What hosts report counts in place of what is recorded of them.
    {"LeadersChange", 60, 0.7,
     [](auto& load, double rate) {
       for (int i = 0; i < 4; ++i) {
         AtRandom(load, milliseconds(2'000), rate);
         load.ReplaceLeader();
       }
       AtRandom(load, milliseconds(2'000), rate);
     }},
    {"LeadersAndAThirdOfTheHostsLost", 60, 0.7,
     [](auto& load, double rate) {
       for (int i = 0; i < 3; ++i) {
         AtRandom(load, milliseconds(2'000), rate);
         load.RestartHosts(static_cast<size_t>(i) * 24, 24);
         load.ReplaceLeader();
       }
       AtRandom(load, milliseconds(2'000), rate);
     }},
    {"AThirdStartsAnew", 60, 0.7,
     [](auto& load, double rate) {
       for (int i = 0; i < 3; ++i) {
         load.RestartHosts(static_cast<size_t>(i) * 24, 24);
         AtRandom(load, milliseconds(2'000), rate);
       }
     }},
};

INSTANTIATE_TEST_SUITE_P(Loads,
                         allotment_use,
                         testing::Combine(testing::ValuesIn(kUseCases),
                                          testing::Range<uint64_t>(1, 6)),
                         [](const auto& info) {
                           return std::get<0>(info.param).name + "_" +
                                  std::to_string(std::get<1>(info.param));
                         });

// Guards against accounts below their limits that are refused while hosts are
// cut off from the leader, or the leader is lost.
TEST(allotment_without_leader, AccountsAreServedByTheHostsOfTheirCallers) {
  for (const double rate : {3.0, 20.0, 110.0}) {
    allotment_load fleet(kHosts, rate, rate, 5);
    // Callers of an account come to a few hosts, in proportion to its size.
    const auto few = [&fleet, rate](size_t hosts) {
      return fleet.RandomHost(
          std::min(hosts, static_cast<size_t>(rate * 0.6) + 1));
    };
    fleet.Run(milliseconds(6'000), rate * 0.4, few);
    fleet.ForgetCounts();
    fleet.has_leader = false;
    fleet.Run(milliseconds(2'000), rate * 0.4, few);
    EXPECT_LE(fleet.refused, fleet.offered / 10) << rate;
  }
}

// Guards against a limit that falls and goes on to be exceeded.
TEST(allotment_limit, BindsOneWindowAfterItFell) {
  allotment_load fleet(kHosts, 100, 100, 3);
  AtRandom(fleet, milliseconds(4'000), 300);
  fleet.SetLimit(10, 10);
  AtRandom(fleet, kWindow, 300);
  fleet.ForgetCounts();
  AtRandom(fleet, milliseconds(10'000), 300);
  EXPECT_LE(fleet.offered - fleet.refused, 2u * (10 * 5 + 10) + 20);
}

}  // namespace
}  // namespace shallotport
