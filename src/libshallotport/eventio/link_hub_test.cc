#include "eventio/link_hub.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "eventio/host_link.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr const char* kSubscriberIp = "127.0.9.1";
constexpr const char* kPublisherIp = "127.0.9.2";
constexpr uint8_t kTestFrame =
    static_cast<uint8_t>(link_frame::kFirstDutyFrame);
constexpr milliseconds kTick{100};

// A clock that only the test advances.
class manual_clock final : public clock_source {
 public:
  steady_time Now() const override { return now_; }
  wall_milliseconds WallNow() const override { return 0; }
  void Advance(duration by) { now_ += by; }

 private:
  steady_time now_{std::chrono::hours(1)};
};

// What happens between a push to the subscriber and the check of its link.
struct stall_case {
  std::string name;
  // Time that passes without a tick of the subscriber.
  milliseconds stall{0};
  // Ticks at the usual interval afterwards, while nothing arrives.
  int silent_ticks = 0;
  bool keeps_link = true;
};

std::ostream& operator<<(std::ostream& out, const stall_case& each) {
  return out << each.name;
}

class link_calls : public testing::Test {
 protected:
  void SetUp() override {
    subscriber_ = std::make_unique<link_hub>(
        subscriber_loop_, subscriber_clock_, kSubscriberIp, port_);
    // Has a loop of its own, so that it keeps running while the subscriber
    // stalls.
    publisher_ = std::make_unique<link_hub>(publisher_loop_, publisher_clock_,
                                            kPublisherIp, port_);
    subscriber_->on_frame = [this](host_link&, uint8_t kind,
                                   std::string_view payload) {
      if (kind == kTestFrame) {
        received_.emplace_back(payload);
      }
    };
    subscriber_->on_link_down = [this](host_link&) { ++link_down_count_; };
    ASSERT_TRUE(IsOk(publisher_->Listen()));
    subscriber_->SetTargets({kPublisherIp});
    ASSERT_TRUE(RunBothUntil([this] {
      return subscriber_->IsUp(kPublisherIp) && !publisher_->accepted().empty();
    }));
    subscriber_->Tick(subscriber_clock_.Now());
  }

  bool RunBothUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(3'000);
    while (!is_done() && std::chrono::steady_clock::now() < end) {
      for (auto* loop : {&subscriber_loop_, &publisher_loop_}) {
        loop->restart();
        loop->run_for(milliseconds(2));
      }
    }
    return is_done();
  }

  void Push(const std::string& payload) {
    (*publisher_->accepted().begin())->Send(kTestFrame, payload);
    publisher_loop_.restart();
    publisher_loop_.run_for(milliseconds(10));
  }

  // Differs between test processes that run concurrently.
  const uint16_t port_ = static_cast<uint16_t>(20'000 + getpid() % 10'000);
  boost::asio::io_context subscriber_loop_;
  boost::asio::io_context publisher_loop_;
  manual_clock subscriber_clock_;
  manual_clock publisher_clock_;
  std::unique_ptr<link_hub> subscriber_;
  std::unique_ptr<link_hub> publisher_;
  std::vector<std::string> received_;
  int link_down_count_ = 0;
};

class link_hub_test : public link_calls,
                      public testing::WithParamInterface<stall_case> {};

TEST_P(link_hub_test, SilenceCountsOnlyWhileTheProcessRuns) {
  Push("leave");
  subscriber_clock_.Advance(GetParam().stall);
  subscriber_->Tick(subscriber_clock_.Now());
  for (int tick = 0; tick < GetParam().silent_ticks; ++tick) {
    subscriber_clock_.Advance(kTick);
    subscriber_->Tick(subscriber_clock_.Now());
  }
  EXPECT_EQ(link_down_count_, GetParam().keeps_link ? 0 : 1);
  if (GetParam().keeps_link) {
    EXPECT_TRUE(RunBothUntil([this] { return !received_.empty(); }));
    EXPECT_EQ(received_, std::vector<std::string>{"leave"});
  }
}

INSTANTIATE_TEST_SUITE_P(
    stalls,
    link_hub_test,
    testing::Values(
        stall_case{"no_stall"},
        stall_case{"stalled_past_the_silence_timeout", milliseconds(3'100)},
        stall_case{"stalled_for_a_minute", milliseconds(60'000)},
        stall_case{"silent_after_a_stall", milliseconds(3'100), 14, false},
        stall_case{"silent_without_a_stall", milliseconds(0), 14, false}),
    [](const auto& each) { return each.param.name; });

// A second copy of a reply must not be taken for the reply to the next call.
TEST_F(link_calls, SecondReplyIsIgnored) {
  std::function<void(const std::string&)> reply_to_first;
  publisher_->on_call = [&](host_link&, uint8_t, std::string_view body,
                            const auto& reply) {
    if (!reply_to_first) {
      reply_to_first = reply;
    } else {
      reply_to_first("first");
    }
    reply(std::string(body));
  };
  std::vector<std::string> replies;
  for (const char* body : {"first", "second"}) {
    subscriber_->Call(kPublisherIp, 1, body, milliseconds(500),
                      [&](const result<std::string>& reply) {
                        replies.push_back(IsOk(reply) ? ValueOf(reply) : "");
                      });
    const size_t wanted = replies.size() + 1;
    ASSERT_TRUE(RunBothUntil([&] { return replies.size() >= wanted; }));
  }
  EXPECT_EQ(replies, (std::vector<std::string>{"first", "second"}));
}

}  // namespace

}  // namespace shallotport
