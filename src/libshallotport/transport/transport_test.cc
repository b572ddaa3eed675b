#include <gtest/gtest.h>

#include <future>

#include "transport/frame_codec.h"
#include "transport/link_monitor.h"
#include "transport/peer_network.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

peer_message SampleMessage(std::string payload) {
  return {peer_channel::kConsensus, host_id("a1"), 3, host_id("b1"),
          std::move(payload)};
}

TEST(FrameReader, CutsMessagesOutOfAnySplitOfTheStream) {
  const std::string stream = EncodeFrame(SampleMessage("one")) +
                             EncodeFrame(SampleMessage(std::string(999, 'x')));
  for (size_t step = 1; step < 60; ++step) {
    frame_reader reader;
    std::vector<std::string> payloads;
    for (size_t at = 0; at < stream.size(); at += step) {
      reader.AddBytes(std::string_view(stream).substr(at, step));
      while (true) {
        const auto next = reader.Next();
        ASSERT_TRUE(IsOk(next));
        if (!ValueOf(next)) {
          break;
        }
        payloads.push_back(ValueOf(next)->payload);
      }
    }
    ASSERT_EQ(payloads.size(), 2U) << step;
    EXPECT_EQ(payloads[0], "one");
    EXPECT_EQ(payloads[1], std::string(999, 'x'));
  }
}

TEST(FrameReader, RefusesEveryFlippedByte) {
  const std::string frame = EncodeFrame(SampleMessage("payload"));
  for (size_t i = 0; i < frame.size(); ++i) {
    std::string damaged = frame;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
    frame_reader reader;
    reader.AddBytes(damaged);
    const auto next = reader.Next();
    // A longer length only makes the reader wait for more bytes.
    EXPECT_TRUE(!IsOk(next) || !ValueOf(next)) << i;
  }
}

TEST(FrameReader, RefusesALengthAboveTheBound) {
  frame_reader reader;
  reader.AddBytes(std::string("\xff\xff\xff\x7f", 4) + std::string(8, '\0'));
  const auto next = reader.Next();
  ASSERT_FALSE(IsOk(next));
  EXPECT_EQ(ErrorOf(next).kind, error_kind::kTooLarge);
}

TEST(Datagram, RoundTripsAndRefusesDamage) {
  std::string datagram = EncodeDatagram(SampleMessage("ping"));
  ASSERT_TRUE(IsOk(DecodeDatagram(datagram)));
  datagram.back() = '!';
  EXPECT_FALSE(IsOk(DecodeDatagram(datagram)));
  EXPECT_FALSE(IsOk(DecodeDatagram("short")));
}

class link_monitor_test : public ::testing::Test {
 protected:
  link_step Step() { return monitor_.Step(now_, random_); }

  steady_time now_{std::chrono::seconds(100)};
  random_source random_{7};
  link_intervals intervals_;
  link_monitor monitor_{intervals_};
};

TEST_F(link_monitor_test, ClosesASilentConnectionAndDialsAnew) {
  EXPECT_EQ(Step(), link_step::kDial);
  monitor_.OnConnected(now_);
  EXPECT_EQ(Step(), link_step::kSendHeartbeat);
  now_ += milliseconds(999);
  EXPECT_EQ(Step(), link_step::kSendHeartbeat);
  now_ += milliseconds(1);
  EXPECT_EQ(Step(), link_step::kClose);
  EXPECT_EQ(monitor_.silent_closes(), 1U);
  now_ = monitor_.next_step_time();
  EXPECT_EQ(Step(), link_step::kDial);
}

TEST_F(link_monitor_test, StaysOpenWhileHeartbeatsAreAnswered) {
  EXPECT_EQ(Step(), link_step::kDial);
  monitor_.OnConnected(now_);
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(250);
    monitor_.OnBytes(now_);
    EXPECT_EQ(Step(), link_step::kSendHeartbeat);
  }
}

TEST_F(link_monitor_test, BacksOffUpToTheLongestRedial) {
  duration longest{0};
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(Step(), link_step::kDial);
    monitor_.OnClosed(now_, random_);
    const duration wait = monitor_.next_step_time() - now_;
    EXPECT_LE(wait, intervals_.longest_redial);
    longest = std::max(longest, wait);
    now_ = monitor_.next_step_time();
  }
  EXPECT_GE(longest, intervals_.longest_redial / 2);
}

TEST_F(link_monitor_test, GivesUpAConnectThatNeverEnds) {
  EXPECT_EQ(Step(), link_step::kDial);
  now_ += intervals_.connect_limit;
  EXPECT_EQ(Step(), link_step::kClose);
}

// Two hosts on loopback ports that the test binds.
TEST(PeerNetwork, DeliversStreamsAndDatagramsBothWays) {
  const system_clock_source clock;
  const std::vector<peer_address> peers = {{host_id("a1"), "127.0.0.1:19701"},
                                           {host_id("b1"), "127.0.0.1:19702"}};
  auto a = peer_network::Create(
      {host_id("a1"), 1, peers[0].address, peers, {}, 1U << 20, 1}, clock);
  auto b = peer_network::Create(
      {host_id("b1"), 1, peers[1].address, peers, {}, 1U << 20, 2}, clock);
  ASSERT_TRUE(IsOk(a)) << ErrorOf(a).detail;
  ASSERT_TRUE(IsOk(b)) << ErrorOf(b).detail;
  std::promise<std::string> stream_arrived;
  std::promise<std::string> datagram_arrived;
  ValueOf(b)->SetReceiver(peer_channel::kConsensus,
                          [&](const peer_message& message) {
                            stream_arrived.set_value(message.payload);
                          });
  ValueOf(a)->SetReceiver(
      peer_channel::kMembership, [&](const peer_message& message) {
        datagram_arrived.set_value(message.from.text() + message.payload);
      });
  ValueOf(a)->Start();
  ValueOf(b)->Start();
  const std::string large(300'000, 'l');
  EXPECT_TRUE(
      ValueOf(a)->SendStream(peer_channel::kConsensus, host_id("b1"), large));
  EXPECT_TRUE(ValueOf(b)->SendDatagram(peer_channel::kMembership, host_id("a1"),
                                       "ping"));
  EXPECT_EQ(stream_arrived.get_future().get(), large);
  EXPECT_EQ(datagram_arrived.get_future().get(), "b1ping");
  EXPECT_FALSE(
      ValueOf(a)->SendStream(peer_channel::kConsensus, host_id("c1"), "x"));
  EXPECT_FALSE(
      ValueOf(a)->SendDatagram(peer_channel::kConsensus, host_id("b1"), large));
}

}  // namespace
}  // namespace shallotport
