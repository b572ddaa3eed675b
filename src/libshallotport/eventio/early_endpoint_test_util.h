#ifndef SHALLOTPORT_EVENTIO_EARLY_ENDPOINT_TEST_UTIL_H_
#define SHALLOTPORT_EVENTIO_EARLY_ENDPOINT_TEST_UTIL_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace shallotport {

enum class early_ending : uint8_t {
  kReset,
  kCloseUnread,  // Closes the connection with the request's body unread.
  kClose,        // Closes it when it has read what came until then.
  kHalfClose,    // Ends its own side and reads the rest of the request.
};

struct early_answer {
  std::string bytes;
  early_ending end = early_ending::kReset;
  std::chrono::milliseconds pause{};  // Between the bytes and the end.
};

// An endpoint that answers as soon as it has read a request's head, and then
// ends the connection.
class early_endpoint {
 public:
  using script = std::function<early_answer(const std::string& head)>;

  early_endpoint(boost::asio::io_context& loop, script answer)
      : answer_(std::move(answer)),
        acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Bytes of requests.
  size_t received() const { return received_; }

 private:
  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 1'024> buffer{};
    std::string head;
    bool is_answered = false;
  };
  using connection_ptr = std::shared_ptr<connection>;

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code failure,
                                  boost::asio::ip::tcp::socket socket) {
      if (failure) {
        return;
      }
      Read(std::make_shared<connection>(std::move(socket)));
      Accept();
    });
  }
  void Read(const connection_ptr& from) {
    from->socket.async_read_some(
        boost::asio::buffer(from->buffer),
        [this, from](boost::system::error_code failure, size_t size) {
          received_ += size;
          if (failure) {
            return;
          }
          if (from->is_answered) {
            Read(from);  // The rest of the request.
            return;
          }
          from->head.append(from->buffer.data(), size);
          if (from->head.find("\r\n\r\n") == std::string::npos) {
            Read(from);
          } else {
            Answer(from);
          }
        });
  }
  void Answer(const connection_ptr& to) {
    to->is_answered = true;
    const early_answer answer = answer_(to->head);
    boost::system::error_code ignored;
    boost::asio::write(to->socket, boost::asio::buffer(answer.bytes), ignored);
    if (answer.pause == std::chrono::milliseconds(0)) {
      End(to, answer.end);
      return;
    }
    to->timer.expires_after(answer.pause);
    to->timer.async_wait([this, to, end = answer.end](
                             boost::system::error_code) { End(to, end); });
  }
  void End(const connection_ptr& each, early_ending end) {
    using boost::asio::ip::tcp;
    boost::system::error_code ignored;
    tcp::socket& socket = each->socket;
    switch (end) {
      case early_ending::kHalfClose:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        Read(each);
        return;
      case early_ending::kReset:
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        break;
      case early_ending::kCloseUnread:
        socket.wait(tcp::socket::wait_read, ignored);
        break;
      case early_ending::kClose:
        while (socket.available(ignored) > 0) {
          received_ +=
              socket.read_some(boost::asio::buffer(each->buffer), ignored);
        }
        break;
    }
    socket.close(ignored);
  }

  const script answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  size_t received_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_EARLY_ENDPOINT_TEST_UTIL_H_
