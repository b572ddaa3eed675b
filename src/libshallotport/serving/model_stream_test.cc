#include "serving/model_stream.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

using kind = model_event::kind;

std::string Chunk(const std::string& id, const std::string& text) {
  return "data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"" + text +
         "\"}]}\n\n";
}

struct stream_case {
  const char* name;
  std::string stream;
  std::string text;           // Of all tokens together.
  std::vector<kind> special;  // Events that are no tokens.
};

class model_stream_test : public ::testing::TestWithParam<stream_case> {};

// Each case is read in pieces of every size: the outcome must not depend on
// how the bytes were cut.
TEST_P(model_stream_test, ReadsAnySplit) {
  const stream_case& expected = GetParam();
  for (size_t step = 1; step <= expected.stream.size(); ++step) {
    model_stream_reader reader("r.1");
    std::string text;
    std::vector<kind> special;
    for (size_t at = 0; at < expected.stream.size(); at += step) {
      for (const model_event& event : reader.AddBytes(
               std::string_view(expected.stream).substr(at, step))) {
        if (event.what == kind::kToken) {
          text += event.text;
        } else {
          special.push_back(event.what);
        }
      }
    }
    EXPECT_EQ(text, expected.text) << step;
    EXPECT_EQ(special, expected.special) << step;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    model_stream_test,
    ::testing::Values(
        stream_case{"Whole",
                    Chunk("r.1", "a") + Chunk("r.1", "b") + "data: [DONE]\n\n",
                    "ab",
                    {kind::kDone}},
        stream_case{"CutOff", Chunk("r.1", "a") + "data: {\"id\"", "a", {}},
        stream_case{"Crossed",
                    Chunk("r.1", "a") + Chunk("r.2", "x") + Chunk("r.1", "b"),
                    "a",
                    {kind::kForeign}},
        stream_case{"NoJson", "data: nonsense\n\n", "", {kind::kMalformed}},
        stream_case{"CarriageReturnsAndComments",
                    ": note\r\nevent: x\r\n" + Chunk("r.1", "a") +
                        "data:[DONE]\r\n\r\n",
                    "a",
                    {kind::kDone}},
        stream_case{"NothingAfterTheEnd",
                    Chunk("r.1", "a") + "data: [DONE]\n\n" + Chunk("r.1", "z"),
                    "a",
                    {kind::kDone}},
        stream_case{
            "ChatDelta",
            "data: {\"id\":\"r.1\",\"choices\":[{\"delta\":{\"role\":\"x\"}}]}"
            "\n\ndata: {\"id\":\"r.1\",\"choices\":[{\"delta\":{\"content\":"
            "\"c\"}}]}\n\n",
            "c",
            {}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ReplaceAnswerId, TakesOnlyTheAttemptsOwnAnswer) {
  const auto replaced = ReplaceAnswerId(R"({"id":"r.1","x":1})", "r.1", "req");
  ASSERT_TRUE(replaced);
  EXPECT_EQ(*replaced, R"({"id":"req","x":1})");
  EXPECT_FALSE(ReplaceAnswerId(R"({"id":"r.2"})", "r.1", "req"));
  EXPECT_FALSE(ReplaceAnswerId(R"({"x":1})", "r.1", "req"));
  EXPECT_FALSE(ReplaceAnswerId("{", "r.1", "req"));
}

}  // namespace
}  // namespace shallotport
