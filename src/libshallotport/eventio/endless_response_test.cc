#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

struct endless_case {
  std::string name;
  std::string begin;      // Of what the endpoint writes.
  std::string repeated;   // Written again and again until the connection ends.
  size_t max_body_bytes;  // That the call's owner may get.
};

constexpr size_t kMiB = 1u << 20;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";

// Writes without end, as fast as the other side reads.
class endless_writer : public std::enable_shared_from_this<endless_writer> {
 public:
  endless_writer(raw_connection& connection, const endless_case& what)
      : connection_(connection.shared_from_this()) {
    chunk_ = what.begin;
    while (filler_.size() < 16'384) {
      filler_ += what.repeated;
    }
  }

  void Write() {
    boost::asio::async_write(
        connection_->socket, boost::asio::buffer(chunk_),
        [self = shared_from_this()](boost::system::error_code failure,
                                    size_t size) {
          self->written += size;
          self->is_ended = static_cast<bool>(failure);
          if (!self->is_ended) {
            self->chunk_ = self->filler_;
            self->Write();
          }
        });
  }

  size_t written = 0;
  bool is_ended = false;

 private:
  std::shared_ptr<raw_connection> connection_;
  std::string chunk_;
  std::string filler_;
};

class endless_response : public testing::TestWithParam<endless_case> {};

// Bytes without end were read and kept until the caller's time was over.
TEST_P(endless_response, EndsTheCallAndTheConnection) {
  boost::asio::io_context loop;
  boot_clock_source clock;
  endpoint_connection_pool pool(loop, clock);
  std::shared_ptr<endless_writer> writer;
  scripted_endpoint endpoint(
      loop, [&](raw_connection& connection, const std::string&) {
        writer = std::make_shared<endless_writer>(connection, GetParam());
        writer->Write();
      });
  size_t body_bytes = 0;
  std::optional<call_end> ended;
  outbound_request request;
  request.method = "GET";
  request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  request.echo_header = "X-Id";
  request.echo_value = "a";
  call_events events;
  events.on_body = [&](std::string_view bytes) { body_bytes += bytes.size(); };
  events.on_end = [&](call_end end) { ended = end; };
  const auto call = pool.Start({"127.0.0.1", endpoint.port()},
                               std::move(request), std::move(events));
  RunUntil(
      loop, [&] { return ended && writer != nullptr && writer->is_ended; },
      std::chrono::seconds(20));
  ASSERT_TRUE(ended);
  EXPECT_EQ(*ended, call_end::kInvalidResponse);
  EXPECT_LE(body_bytes, GetParam().max_body_bytes);
  EXPECT_TRUE(writer->is_ended);
  // What the sockets hold comes on top of what was read.
  EXPECT_LE(writer->written, GetParam().max_body_bytes + 10 * kMiB);
  EXPECT_EQ(pool.idle_count(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    endless_response,
    testing::Values(
        endless_case{"status_line", "HTTP/1.1 200 ", "O", 0},
        endless_case{"no_http", "", "xyz", 0},
        endless_case{"header_line", std::string(kHead) + "Long: ", "x", 0},
        endless_case{"headers", kHead, "H: x\r\n", 0},
        endless_case{"interim_responses", "",
                     "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
        endless_case{"chunk_size",
                     std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
                     "0", 0},
        endless_case{
            "chunk_extension",
            std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5;", "x",
            0},
        endless_case{
            "trailers",
            std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
            "T: x\r\n", 0},
        endless_case{"chunks",
                     std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
                     "10\r\nabcdefghijklmnop\r\n", 17 * kMiB},
        endless_case{"body_without_length", std::string(kHead) + "\r\n", "x",
                     17 * kMiB},
        endless_case{"long_body",
                     std::string(kHead) + "Content-Length: 99999999999\r\n\r\n",
                     "x", 17 * kMiB},
        endless_case{"body_of_another_answer",
                     "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", 0},
        endless_case{"other_answers", "",
                     "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n",
                     0}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
