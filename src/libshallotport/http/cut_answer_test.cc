#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

#include "http/endpoint_caller.h"

namespace shallotport {
namespace {

namespace ip = boost::asio::ip;

struct answer_form {
  std::string name;
  std::string before;  // Interim answers.
  std::string fields;
  std::string body;  // As written.
  std::string contents;
  bool is_ended_by_close = false;
  // Bytes after the last chunk that the library does not wait for.
  size_t unneeded = 0;
};

void PrintTo(const answer_form& each, std::ostream* out) {
  *out << each.name;
}

// Answers one call with some bytes and closes the connection.
class one_answer {
 public:
  explicit one_answer(std::string bytes)
      : acceptor_(loop_, {ip::make_address("127.0.0.1"), 0}),
        thread_([this, bytes = std::move(bytes)] { Serve(bytes); }) {}
  ~one_answer() { thread_.join(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve(const std::string& bytes) {
    ip::tcp::socket socket(loop_);
    boost::system::error_code failure;
    acceptor_.accept(socket, failure);
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", failure);
    boost::asio::write(socket, boost::asio::buffer(bytes), failure);
  }

  boost::asio::io_context loop_;
  ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

struct noting_sink final : endpoint_call_sink {
  void OnHead(int head_status, std::vector<http_field>) override {
    status = head_status;
  }
  void OnBytes(std::string_view bytes) override { body.append(bytes); }
  void OnEnd(const endpoint_call_end& ended) override { end.set_value(ended); }
  int status = 0;
  std::string body;
  std::promise<endpoint_call_end> end;
};

class cut_answer : public testing::TestWithParam<answer_form> {};

// A head that ended early counted as a whole answer.
TEST_P(cut_answer, IsNotWholeAtAnyByte) {
  // A call may count as open for a moment after its end was reported.
  const auto caller = std::move(ValueOf(endpoint_caller::Create(2)));
  const std::string head =
      GetParam().before + "HTTP/1.1 200 OK\r\n" + GetParam().fields + "\r\n";
  const std::string whole = head + GetParam().body;
  for (size_t size = 0; size <= whole.size(); ++size) {
    SCOPED_TRACE(size);
    one_answer server(whole.substr(0, size));
    auto sink = std::make_shared<noting_sink>();
    endpoint_call call;
    call.method = "GET";
    call.address = server.Address();
    call.path = "/";
    ASSERT_TRUE(IsOk(caller->Start(call, sink)));
    const endpoint_call_end end = sink->end.get_future().get();
    const bool is_whole = size + GetParam().unneeded >= whole.size() ||
                          (GetParam().is_ended_by_close && size >= head.size());
    EXPECT_EQ(end.is_whole, is_whole);
    EXPECT_TRUE(end.is_sent);
    EXPECT_EQ(end.detail.empty(), is_whole);
    if (end.is_whole && !GetParam().is_ended_by_close) {
      EXPECT_EQ(sink->body, GetParam().contents);
    }
    if (size < head.size()) {
      EXPECT_EQ(sink->status, 0);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    cut_answer,
    testing::Values(
        answer_form{"length", "", "Content-Length: 5\r\n", "hello", "hello"},
        answer_form{"no_body", "", "Content-Length: 0\r\n", "", ""},
        answer_form{"chunked", "", "Transfer-Encoding: chunked\r\n",
                    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello", false, 1},
        answer_form{"neither", "", "", "hello", "hello", true},
        answer_form{"interim", "HTTP/1.1 102 Processing\r\n\r\n",
                    "Content-Length: 5\r\n", "hello", "hello"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace shallotport
