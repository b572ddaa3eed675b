#include "entry/event_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

constexpr std::string_view kStream =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
    "x-note: 3\nid: 3\ndata:d\n\n";

TEST(event_splitter_test, OutputDoesNotDependOnWhereBytesAreSplit) {
  for (size_t split = 0; split <= kStream.size(); ++split) {
    event_splitter splitter;
    std::string complete_events = splitter.Feed(kStream.substr(0, split));
    std::string data = splitter.data();
    complete_events += splitter.Feed(kStream.substr(split));
    data += splitter.data();
    EXPECT_EQ(complete_events, kStream) << "split at " << split;
    EXPECT_EQ(data, "a\nb\nc\nd\n") << "split at " << split;
    EXPECT_EQ(splitter.last_id(), "3");
    EXPECT_FALSE(splitter.has_partial());
  }
}

TEST(event_splitter_test, HoldsBackPartialEventUntilReset) {
  event_splitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b"),
            "id: 1\ndata: a\n\n");
  EXPECT_TRUE(splitter.has_partial());
  EXPECT_EQ(splitter.last_id(), "1");
  splitter.Reset();
  EXPECT_EQ(splitter.Feed("id: 2\ndata: z\n\n"), "id: 2\ndata: z\n\n");
  EXPECT_EQ(splitter.last_id(), "2");
}

TEST(event_splitter_test, EventWithoutEndIsNoticed) {
  event_splitter splitter;
  splitter.Feed("id: 1\ndata: a\n\ndata: ");
  const std::string bytes(64u << 10, 'x');
  for (int i = 0; i < 16; ++i) {
    EXPECT_FALSE(splitter.is_overlong());
    splitter.Feed(bytes);
  }
  EXPECT_TRUE(splitter.is_overlong());
}

}  // namespace

}  // namespace shallotport
