// Leaders that follow one another, endpoints of both kinds, and sends that are
// delayed, lost and repeated, against what each endpoint may have seen.
#include "control/order_sender.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "base/random_source.h"
#include "control/order_state.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

const order_sender_options kOptions{.longest_lease = milliseconds(300),
                                    .longest_flight = milliseconds(1'000),
                                    .retry_delay = milliseconds(100),
                                    .most_attempts = 1'000,
                                    .loads_per_second = 5.0,
                                    .load_burst = 2.0,
                                    .loads_at_once = 3};

struct fake_order_endpoint {
  bool checks_fencing = false;
  fencing_number highest = 0;
  log_index last_epoch = 0;
  std::map<std::string, int> executed;
};

struct sent_order {
  int leader = 0;
  order_send send;
  steady_time dies_at;
};

class order_history {
 public:
  explicit order_history(uint64_t seed) : random_(seed) {
    for (int i = 0; i < 4; ++i) {
      endpoints_[endpoint_id("e" + std::to_string(i))].checks_fencing = i < 2;
    }
    for (int i = 0; i < 40; ++i) {
      endpoint_order order;
      order.id = "o" + std::to_string(i);
      order.endpoint = endpoint_id("e" + std::to_string(i % 4));
      order.action =
          i % 3 == 0 ? order_action::kSetRole : order_action::kLoadModel;
      Commit(order_add{order, {}});
    }
    Lead(0);
  }

  void Run() {
    for (int step = 0; step < 20'000 && !state_.List().queued.empty(); ++step) {
      now_ += milliseconds(UniformBelow(random_, 20));
      is_cut_ = is_cut_ || step == 40 || UniformBelow(random_, 100) == 0;
      if (is_cut_ && now_ >= lease_until_[leader_]) {
        is_cut_ = false;
        ++takeovers_;
        Lead(1 - leader_);
      }
      if (UniformBelow(random_, 300) == 0) {
        Reload();
      }
      Renew();
      StepSenders();
      Deliver();
      if (testing::Test::HasFatalFailure()) {
        return;
      }
    }
    EXPECT_TRUE(state_.List().queued.empty());
    EXPECT_GT(takeovers_, 0);
    for (const order_record& record : state_.List().settled) {
      EXPECT_EQ(record.at, order_status::kDone) << record.order.id;
      EXPECT_GE(endpoints_[record.order.endpoint].executed[record.order.id], 1);
    }
  }

 private:
  order_reply Commit(const order_command& command) {
    return state_.ApplyCommand({++index_, 0}, command);
  }

  // The former leader is not told; only its lease ends.
  void Lead(int leader) {
    leader_ = leader;
    lease_until_[leader_] = now_ + kOptions.longest_lease;
    senders_[leader_].OnLeadershipLost();
    senders_[leader_].OnLeadershipGained(now_);
    for (const auto& [id, endpoint] : endpoints_) {
      senders_[leader_].OnEndpoint(id, endpoint.checks_fencing);
    }
  }

  void Renew() {
    if (!is_cut_) {
      lease_until_[leader_] = now_ + kOptions.longest_lease;
    }
  }

  void StepSenders() {
    for (int i = 0; i < 2; ++i) {
      senders_[i].OnQueue(state_.List().queued);
      const order_actions actions = senders_[i].Step(now_, lease_until_[i]);
      if (actions.must_take_epoch && i == leader_) {
        const log_index before = state_.epoch();
        const order_reply reply = Commit(order_take_epoch{});
        ASSERT_GT(reply.epoch, before);
        senders_[i].OnEpochTaken(now_, reply.epoch);
      }
      for (const order_settle& settle : actions.settles) {
        Commit(settle);
      }
      for (const order_send& send : actions.sends) {
        CheckSend(send);
        flying_.push_back({i, send, now_ + kOptions.longest_flight});
      }
    }
  }

  void CheckSend(const order_send& send) {
    ASSERT_TRUE(numbers_.insert(send.fencing).second);
    if (!IsLoad(send.order.action)) {
      return;
    }
    load_times_.push_back(now_);
    const auto recent = std::count_if(
        load_times_.begin(), load_times_.end(),
        [&](steady_time at) { return at > now_ - milliseconds(1'000); });
    // Two leaders may each have used what their buckets held.
    ASSERT_LE(recent, 2 * (kOptions.load_burst + kOptions.loads_per_second));
  }

  void Deliver() {
    std::erase_if(flying_,
                  [&](const sent_order& sent) { return sent.dies_at <= now_; });
    if (flying_.empty() || UniformBelow(random_, 3) == 0) {
      return;
    }
    const size_t chosen = UniformBelow(random_, flying_.size());
    const sent_order sent = flying_[chosen];
    if (UniformBelow(random_, 5) != 0) {  // Else it arrives once more.
      flying_.erase(flying_.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    const order_answer answer = Execute(sent.send);
    if (UniformBelow(random_, 4) != 0) {
      senders_[sent.leader].OnAnswer(now_, sent.send.order.id,
                                     sent.send.fencing, answer, "");
    }
  }

  order_answer Execute(const order_send& send) {
    fake_order_endpoint& endpoint = endpoints_[send.order.endpoint];
    if (endpoint.checks_fencing && send.fencing < endpoint.highest) {
      return order_answer::kOldFencing;
    }
    endpoint.highest = std::max(endpoint.highest, send.fencing);
    EXPECT_GE(EpochOf(send.fencing), endpoint.last_epoch)
        << "an older leader's order came after a newer one's";
    endpoint.last_epoch = EpochOf(send.fencing);
    endpoint.executed[send.order.id] = 1;
    return order_answer::kDone;
  }

  void Reload() {
    std::stringstream bytes;
    ASSERT_TRUE(IsOk(state_.BeginSnapshot()->Write(bytes)));
    order_state loaded;
    ASSERT_TRUE(IsOk(loaded.LoadSnapshot(bytes)));
    state_ = std::move(loaded);
  }

  random_source random_;
  steady_time now_{milliseconds(1'000'000)};
  order_state state_;
  log_index index_ = 0;
  int leader_ = 0;
  bool is_cut_ = false;
  int takeovers_ = 0;
  order_sender senders_[2] = {order_sender(kOptions), order_sender(kOptions)};
  steady_time lease_until_[2] = {};
  std::map<endpoint_id, fake_order_endpoint> endpoints_;
  std::vector<sent_order> flying_;
  std::set<fencing_number> numbers_;
  std::vector<steady_time> load_times_;
};

class order_histories : public testing::TestWithParam<uint64_t> {};

TEST_P(order_histories, ReachEveryEndpointInTheOrderOfLeaders) {
  order_history(GetParam()).Run();
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         order_histories,
                         testing::Range<uint64_t>(1, 13));

endpoint_order OrderOf(const char* id, const char* role = "prefill") {
  endpoint_order order;
  order.id = id;
  order.endpoint = endpoint_id("e");
  order.action = order_action::kSetRole;
  order.role = role;
  return order;
}

TEST(OrderState, ResendsAndStaleEpochsChangeNothing) {
  order_state state;
  using enum order_verdict;
  EXPECT_EQ(state.ApplyCommand({1, 0}, order_add{OrderOf("a"), {}}).verdict,
            kAccepted);
  EXPECT_EQ(state.ApplyCommand({2, 0}, order_add{OrderOf("a"), {}}).verdict,
            kRepeated);
  EXPECT_EQ(
      state.ApplyCommand({3, 0}, order_add{OrderOf("a", "x"), {}}).verdict,
      kIdReused);
  EXPECT_EQ(state.ApplyCommand({4, 0}, order_take_epoch{host_id("h")}).epoch,
            4U);
  EXPECT_EQ(state.ApplyCommand({5, 0}, order_take_epoch{host_id("i")}).epoch,
            5U);
  const order_settle stale{"a", FencingNumber(4, 1), true, ""};
  EXPECT_EQ(state.ApplyCommand({6, 0}, stale).verdict, kStaleEpoch);
  const order_settle fresh{"a", FencingNumber(5, 1), false, "refused"};
  EXPECT_EQ(state.ApplyCommand({7, 0}, fresh).verdict, kAccepted);
  const order_reply again =
      state.ApplyCommand({8, 0}, order_add{OrderOf("a"), {}});
  EXPECT_EQ(again.verdict, kRepeated);
  EXPECT_EQ(again.at, order_status::kFailed);
  EXPECT_EQ(state.ApplyCommand({9, 0}, fresh).verdict, kUnknown);
}

TEST(OrderSender, SendsNothingWithoutALeaseAndWaitsForUncheckedEndpoints) {
  order_sender sender(kOptions);
  const steady_time start{milliseconds(10'000)};
  sender.OnEndpoint(endpoint_id("e"), false);
  sender.OnLeadershipGained(start);
  sender.OnEpochTaken(start, 7);
  order_record record;
  record.order = OrderOf("a");
  sender.OnQueue({record});
  const steady_time quiet =
      start + kOptions.longest_lease + kOptions.longest_flight;
  const steady_time far = quiet + milliseconds(1'000);
  EXPECT_TRUE(sender.Step(quiet - milliseconds(1), far).sends.empty());
  EXPECT_TRUE(sender.Step(quiet, quiet).sends.empty());
  EXPECT_EQ(sender.Step(quiet, far).sends.size(), 1U);
}

// Another leader came and went between two looks at the log: the old epoch must
// not be used again, and unchecked endpoints are waited for again.
TEST(OrderSender, TakesANewEpochAfterAnotherLeaderCameAndWent) {
  order_sender sender(kOptions);
  const steady_time start{milliseconds(10'000)};
  const steady_time quiet =
      start + kOptions.longest_lease + kOptions.longest_flight;
  sender.OnEndpoint(endpoint_id("e"), false);
  sender.OnLeadershipGained(start);
  sender.OnEpochTaken(start, 7);
  sender.OnEpochSeen(quiet, 7);
  order_record record;
  record.order = OrderOf("a");
  sender.OnQueue({record});

  sender.OnEpochSeen(quiet, 9);

  const steady_time far = quiet + milliseconds(60'000);
  const order_actions actions = sender.Step(quiet, far);
  EXPECT_TRUE(actions.sends.empty());
  EXPECT_TRUE(actions.must_take_epoch);
  sender.OnEpochTaken(quiet, 12);
  EXPECT_TRUE(sender.Step(quiet + milliseconds(1), far).sends.empty());
  const steady_time again =
      quiet + kOptions.longest_lease + kOptions.longest_flight;
  EXPECT_EQ(sender.Step(again, again + milliseconds(1'000)).sends.size(), 1U);
}

}  // namespace
}  // namespace shallotport
