#include "entry/event_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace shallotport {

namespace {

constexpr std::string_view kStream =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
    "x-note: 3\nid: 3\ndata:d\n\n";

TEST(event_splitter_test, IsTheSameAtEverySplit) {
  for (size_t at = 0; at <= kStream.size(); ++at) {
    event_splitter events;
    std::string whole = events.Feed(kStream.substr(0, at));
    std::string data = events.data();
    whole += events.Feed(kStream.substr(at));
    data += events.data();
    EXPECT_EQ(whole, kStream) << "split at " << at;
    EXPECT_EQ(data, "a\nb\nc\nd\n") << "split at " << at;
    EXPECT_EQ(events.last_id(), "3");
    EXPECT_FALSE(events.has_partial());
  }
}

TEST(event_splitter_test, HoldsBackAndDropsAPartOfAnEvent) {
  event_splitter events;
  EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: 2\ndata: b"),
            "id: 1\ndata: a\n\n");
  EXPECT_TRUE(events.has_partial());
  EXPECT_EQ(events.last_id(), "1");
  events.Reset();
  EXPECT_EQ(events.Feed("id: 2\ndata: z\n\n"), "id: 2\ndata: z\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

}  // namespace

}  // namespace shallotport
