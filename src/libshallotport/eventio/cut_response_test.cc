#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"
#include "eventio/relay_listener.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

struct call_record {
  int status = 0;
  std::string body;
  std::optional<call_end> end;
  std::unique_ptr<endpoint_call> call;
};

struct response_form {
  std::string name;
  std::string before;  // Interim responses.
  std::string fields;
  std::string body;      // As written.
  std::string contents;  // Of the body.
  bool is_ended_by_close = false;
};

void PrintTo(const response_form& each, std::ostream* out) {
  *out << each.name;
}

enum class path_kind : uint8_t { kNew, kKept, kRelayed, kRelayedAndKept };
enum class ending : uint8_t { kClosed, kReset };

std::string HeadOf(const std::string& id, const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + fields + "\r\n";
}

// An endpoint whose responses end early, and a relay to it.
class cut_response : public testing::TestWithParam<
                         std::tuple<response_form, path_kind, ending>> {
 protected:
  void SetUp() override {
    if (IsRelayed()) {
      ASSERT_TRUE(IsOk(relay_.Listen("127.0.0.1", 0)));
      pool_.paths().SetRelays({{"127.0.0.1", relay_.port()}});
      for (uint16_t port = 1; port <= 3; ++port) {
        pool_.paths().RecordConnectFailed(clock_.Now(), {"10.0.0.1", port});
      }
      ASSERT_TRUE(pool_.paths().IsCutOff());
    }
  }

  static const response_form& Form() { return std::get<0>(GetParam()); }
  static bool IsRelayed() {
    const path_kind path = std::get<1>(GetParam());
    return path == path_kind::kRelayed || path == path_kind::kRelayedAndKept;
  }
  static bool IsKept() {
    const path_kind path = std::get<1>(GetParam());
    return path == path_kind::kKept || path == path_kind::kRelayedAndKept;
  }
  static bool IsReset() { return std::get<2>(GetParam()) == ending::kReset; }

  std::shared_ptr<call_record> Call(const std::string& id) {
    auto record = std::make_shared<call_record>();
    call_events events;
    events.on_head = [record](const response_head& head) {
      record->status = head.status;
    };
    events.on_body = [record](std::string_view bytes) {
      record->body.append(bytes);
    };
    events.on_end = [record](call_end end) { record->end = end; };
    header_list headers;
    headers.Add("X-Id", id);
    outbound_request request;
    request.method = "POST";
    request.bytes = FormatRequest("POST", "/" + id, headers, "body");
    request.echo_header = "X-Id";
    request.echo_value = id;
    record->call = pool_.Start({"127.0.0.1", endpoint_.port()},
                               std::move(request), std::move(events));
    EXPECT_TRUE(RunUntil(loop_, [&] { return record->end.has_value(); }));
    return record;
  }

  void Respond(raw_connection& connection, const std::string& request) {
    if (request.starts_with("POST /whole")) {
      connection.Write(HeadOf("whole", "Content-Length: 2\r\n") + "ok");
      return;
    }
    connection.Write(written_);
    if (IsReset()) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    connection.Close();
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  endpoint_connection_pool pool_{loop_, clock_};
  relay_listener relay_{loop_, [](const endpoint_address&) { return true; }};
  std::string written_;
  scripted_endpoint endpoint_{
      loop_, [this](raw_connection& connection, const std::string& request) {
        Respond(connection, request);
      }};
};

// No part of a response counts as a whole one.
TEST_P(cut_response, EndsInDoubtAtEachByte) {
  const std::string head = Form().before + HeadOf("cut", Form().fields);
  const std::string whole = head + Form().body;
  for (size_t size = 0; size < whole.size(); ++size) {
    SCOPED_TRACE(size);
    if (IsKept()) {
      ASSERT_EQ(Call("whole")->end, call_end::kComplete);
      ASSERT_EQ(pool_.idle_count(), 1u);
    }
    written_ = whole.substr(0, size);
    const int connections = endpoint_.connections;
    const auto call = Call("cut");
    ASSERT_EQ(endpoint_.connections, connections + (IsKept() ? 0 : 1));
    const bool is_whole =
        Form().is_ended_by_close && size >= head.size() && !IsReset();
    ASSERT_EQ(call->end, is_whole ? call_end::kComplete : call_end::kBroken);
    ASSERT_TRUE(Form().contents.starts_with(call->body)) << call->body;
    if (size < head.size()) {
      ASSERT_EQ(call->status, 0);
    }
    if (is_whole) {
      ASSERT_EQ(call->body, whole.substr(head.size(), size - head.size()));
    }
    ASSERT_EQ(pool_.idle_count(), 0u);
  }
  EXPECT_EQ(pool_.totals().relayed > 0, IsRelayed());
}

constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
constexpr char kChunks[] = "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";

std::string CaseName(
    const std::tuple<response_form, path_kind, ending>& parameters) {
  const auto& [form, path, end] = parameters;
  constexpr const char* kPaths[] = {"new", "kept", "relayed",
                                    "relayed_and_kept"};
  return form.name + "_" + kPaths[static_cast<size_t>(path)] +
         (end == ending::kReset ? "_reset" : "_closed");
}

INSTANTIATE_TEST_SUITE_P(
    table,
    cut_response,
    testing::Combine(
        testing::Values(
            response_form{"length", "", "Content-Length: 5\r\n", "hello",
                          "hello"},
            response_form{"no_body", "", "Content-Length: 0\r\n", "", ""},
            response_form{"chunked", "", kChunked, kChunks, "hello"},
            response_form{"neither", "", "", "hello", "hello", true},
            response_form{"interim_and_length",
                          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
                          "Content-Length: 5\r\n", "hello", "hello"},
            response_form{"interim_and_chunked",
                          "HTTP/1.1 102 Processing\r\n\r\n", kChunked, kChunks,
                          "hello"},
            response_form{"interim_and_neither",
                          "HTTP/1.1 102 Processing\r\n\r\n", "", "hello",
                          "hello", true}),
        testing::Values(path_kind::kNew,
                        path_kind::kKept,
                        path_kind::kRelayed,
                        path_kind::kRelayedAndKept),
        testing::Values(ending::kClosed, ending::kReset)),
    [](const auto& info) { return CaseName(info.param); });

}  // namespace

}  // namespace shallotport
