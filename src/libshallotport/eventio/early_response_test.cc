#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>

#include "eventio/boot_clock.h"
#include "eventio/early_endpoint_test_util.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"
#include "eventio/relay_listener.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMiB = 1u << 20;

struct answer_form {
  std::string name;
  std::string fields;
  std::string body;          // As written; only a part of it if `is_cut`.
  milliseconds pause{};      // Between the answer and the end.
  bool is_cut = false;       // The end of the body is missing.
  bool has_own_end = false;  // By a length or chunks.
};

void PrintTo(const answer_form& each, std::ostream* out) {
  *out << each.name;
}

// What a caller sees of an answer that comes before its upload was read, and
// whose connection then ends.
class early_response
    : public testing::TestWithParam<
          std::tuple<answer_form, early_ending, size_t, bool>> {
 protected:
  void SetUp() override {
    if (!IsRelayed()) {
      return;
    }
    ASSERT_TRUE(IsOk(relay_.Listen("127.0.0.1", 0)));
    pool_.paths().SetRelays({{"127.0.0.1", relay_.port()}});
    for (uint16_t port = 1; port <= 3; ++port) {
      pool_.paths().RecordConnectFailed(clock_.Now(), {"10.0.0.1", port});
    }
    ASSERT_TRUE(pool_.paths().IsCutOff());
  }

  static const answer_form& Form() { return std::get<0>(GetParam()); }
  static early_ending End() { return std::get<1>(GetParam()); }
  static size_t UploadSize() { return std::get<2>(GetParam()); }
  static bool IsRelayed() { return std::get<3>(GetParam()); }

  void Call(uint16_t port) {
    call_events events;
    events.on_head = [this](const response_head& head) {
      status_ = head.status;
    };
    events.on_body = [this](std::string_view bytes) { body_.append(bytes); };
    events.on_end = [this](call_end end) { end_ = end; };
    header_list headers;
    headers.Add("X-Id", "r");
    outbound_request request;
    request.method = "POST";
    request.bytes =
        FormatRequest("POST", "/r", headers, std::string(UploadSize(), 'u'));
    request.echo_header = "X-Id";
    request.echo_value = "r";
    call_ =
        pool_.Start({"127.0.0.1", port}, std::move(request), std::move(events));
    ASSERT_TRUE(RunUntil(loop_, [&] { return end_.has_value(); }));
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
  relay_listener relay_{loop_, [](const endpoint_address&) { return true; }};
  std::unique_ptr<endpoint_call> call_;
  int status_ = 0;
  std::string body_;
  std::optional<call_end> end_;
};

// A reset that the pending write of the upload had met was read as the end of
// the connection, and so of the answer.
TEST_P(early_response, IsWholeOnlyIfItEndedInOrder) {
  early_endpoint endpoint(loop_, [](const std::string&) {
    return early_answer{
        "HTTP/1.1 200 OK\r\nX-Id: r\r\n" + Form().fields + "\r\n" + Form().body,
        End(), Form().pause};
  });
  Call(endpoint.port());
  const bool is_orderly =
      End() == early_ending::kHalfClose ||
      (End() == early_ending::kClose && endpoint.received() >= UploadSize());
  const bool is_whole = !Form().is_cut && (Form().has_own_end || is_orderly);
  EXPECT_EQ(*end_, is_whole ? call_end::kComplete : call_end::kBroken);
  if (is_whole) {
    EXPECT_EQ(status_, 200);
    EXPECT_EQ(body_.size(), Form().has_own_end ? 5 : Form().body.size());
  }
  if (UploadSize() >= kMiB) {
    EXPECT_LT(endpoint.received(), UploadSize());
    EXPECT_EQ(pool_.idle_count(), 0u);
  }
}

const answer_form kUntilEnd{"until_end", "", "hello"};
const answer_form kLong{"long", "", std::string(40'000, 'a')};
const answer_form kNoBody{"no_body", "", ""};
const answer_form kEvents{"events", "Content-Type: text/event-stream\r\n",
                          "id: 1\ndata: a\n\n"};
const answer_form kLater{"later", "", "hello", milliseconds(30)};
const answer_form kLength{
    "length", "Content-Length: 5\r\n", "hello", milliseconds(0), false, true};
const answer_form kCutLength{"cut_length", "Content-Length: 6\r\n",
                             "hello",      milliseconds(0),
                             true,         true};
const answer_form kChunks{"chunks",
                          "Transfer-Encoding: chunked\r\n",
                          "5\r\nhello\r\n0\r\n\r\n",
                          milliseconds(0),
                          false,
                          true};
const answer_form kCutChunks{"cut_chunks",
                             "Transfer-Encoding: chunked\r\n",
                             "5\r\nhello\r\n",
                             milliseconds(0),
                             true,
                             true};

std::string CaseName(
    const std::tuple<answer_form, early_ending, size_t, bool>& parameters) {
  const auto& [answer, end, size, is_relayed] = parameters;
  constexpr const char* kEnds[] = {"reset", "close_unread", "close",
                                   "half_close"};
  return answer.name + "_" + kEnds[static_cast<size_t>(end)] + "_" +
         std::to_string(size) + (is_relayed ? "_relayed" : "");
}

// Less than the buffers of two sockets hold, and far more.
INSTANTIATE_TEST_SUITE_P(
    table,
    early_response,
    testing::Combine(testing::Values(kUntilEnd,
                                     kLong,
                                     kNoBody,
                                     kEvents,
                                     kLater,
                                     kLength,
                                     kCutLength,
                                     kChunks,
                                     kCutChunks),
                     testing::Values(early_ending::kReset,
                                     early_ending::kCloseUnread,
                                     early_ending::kClose,
                                     early_ending::kHalfClose),
                     testing::Values(30'000, 300'000, 32 * kMiB),
                     testing::Bool()),
    [](const auto& info) { return CaseName(info.param); });

}  // namespace

}  // namespace shallotport
