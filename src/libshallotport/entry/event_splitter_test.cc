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

struct sequence_case {
  std::string name;
  std::string last_event;
  std::string bytes;
  std::string sent_on;
  std::string data;
  bool is_out_of_order;
};

class joined_events : public testing::TestWithParam<sequence_case> {};

TEST_P(joined_events, AreSentOnUpToTheFirstThatDoesNotFollow) {
  const sequence_case& each = GetParam();
  for (size_t split = 0; split <= each.bytes.size(); ++split) {
    event_splitter splitter{event_sequence(each.last_event)};
    std::string sent_on = splitter.Feed(each.bytes.substr(0, split));
    std::string data = splitter.data();
    sent_on += splitter.Feed(each.bytes.substr(split));
    data += splitter.data();
    EXPECT_EQ(sent_on, each.sent_on) << "split at " << split;
    EXPECT_EQ(data, each.data) << "split at " << split;
    EXPECT_EQ(splitter.is_out_of_order(), each.is_out_of_order);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    joined_events,
    testing::Values(
        sequence_case{"all_follow", "", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n", false},
        sequence_case{"second_does_not", "2",
                      "id: 3\ndata: c\n\nid: 5\ndata: e\n\n"
                      "id: 4\ndata: d\n\n",
                      "id: 3\ndata: c\n\n", "c\n", true},
        sequence_case{"name_without_value", "2", "id\ndata: x\n\n", "", "",
                      true},
        sequence_case{"data_without_value", "2", "id: 3\ndata\n\n",
                      "id: 3\ndata\n\n", "\n", false},
        sequence_case{"comments_wait_for_an_event", "2",
                      ": a\n\nid: 3\ndata: c\n\n: b\n\n",
                      ": a\n\nid: 3\ndata: c\n\n: b\n\n", "c\n", false},
        sequence_case{"comment_before_an_error", "2",
                      ": a\n\nevent: error\ndata: x\n\n", "", "", true}),
    [](const auto& info) { return info.param.name; });

TEST(event_splitter_test, CommentsOfAStreamWithoutEventsAreHeldBack) {
  event_splitter splitter{event_sequence("2")};
  EXPECT_EQ(splitter.Feed(": a\n\n"), "");
  EXPECT_FALSE(splitter.has_partial());
  EXPECT_EQ(splitter.TakeHeldBack(), ": a\n\n");
}

}  // namespace

}  // namespace shallotport
