#include "eventio/relay_frames.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace shallotport {

namespace {

using frame = std::pair<relay_frame, std::string>;

std::string Stream() {
  return EncodeRelayFrame(relay_frame::kOpened) +
         EncodeRelayFrame(relay_frame::kData, "some bytes") +
         EncodeRelayFrame(relay_frame::kData,
                          std::string(kMaxRelayPayload, 'x')) +
         EncodeRelayFrame(relay_frame::kLeaving) +
         EncodeRelayFrame(relay_frame::kEnd);
}

TEST(relay_frames_test, SameFramesHoweverTheBytesArrive) {
  const std::string stream = Stream();
  for (const size_t size :
       {size_t{1}, size_t{7}, size_t{4'096}, stream.size()}) {
    relay_frame_reader reader;
    std::vector<frame> frames;
    for (size_t at = 0; at < stream.size(); at += size) {
      ASSERT_TRUE(
          IsOk(reader.Feed(std::string_view(stream).substr(at, size),
                           [&](relay_frame kind, std::string_view payload) {
                             frames.emplace_back(kind, payload);
                             return true;
                           })));
    }
    ASSERT_EQ(frames.size(), 5u) << size;
    EXPECT_EQ(frames[1], frame(relay_frame::kData, "some bytes"));
    EXPECT_EQ(frames[2].second.size(), kMaxRelayPayload);
    EXPECT_EQ(frames[4].first, relay_frame::kEnd);
  }
}

TEST(relay_frames_test, OverlongFramesFailAndUnknownOnesArePassedOver) {
  relay_frame_reader reader;
  int frames = 0;
  const auto count = [&](relay_frame, std::string_view) {
    ++frames;
    return true;
  };
  EXPECT_TRUE(
      IsOk(reader.Feed(EncodeRelayFrame(static_cast<relay_frame>(99), "later") +
                           EncodeRelayFrame(static_cast<relay_frame>(0)) +
                           EncodeRelayFrame(relay_frame::kEnd),
                       count)));
  EXPECT_EQ(frames, 1);
  EXPECT_FALSE(
      IsOk(reader.Feed(EncodeRelayFrame(relay_frame::kData,
                                        std::string(kMaxRelayPayload + 1, 'x')),
                       count)));
}

TEST(relay_frames_test, RequestsToOpenAreReadWhole) {
  const std::string request = EncodeRelayOpen({"10.1.2.3", 81});
  for (size_t size = 0; size < request.size(); ++size) {
    std::string input = request.substr(0, size);
    const auto read = ReadRelayOpen(input);
    ASSERT_TRUE(IsOk(read));
    EXPECT_FALSE(ValueOf(read).has_value()) << size;
  }
  std::string input = request + "POST / HTTP/1.1";
  const auto read = ReadRelayOpen(input);
  ASSERT_TRUE(IsOk(read) && ValueOf(read).has_value());
  EXPECT_EQ(*ValueOf(read), (endpoint_address{"10.1.2.3", 81}));
  EXPECT_EQ(input, "POST / HTTP/1.1");
  std::string foreign = "GET / HTTP/1.1\r\n\r\n";
  EXPECT_FALSE(IsOk(ReadRelayOpen(foreign)));
}

}  // namespace

}  // namespace shallotport
