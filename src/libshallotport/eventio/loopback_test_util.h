#ifndef SHALLOTPORT_EVENTIO_LOOPBACK_TEST_UTIL_H_
#define SHALLOTPORT_EVENTIO_LOOPBACK_TEST_UTIL_H_

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotport {

// Runs the loop until `is_done` returns true; false if that did not happen
// within `limit`.
inline bool RunUntil(
    boost::asio::io_context& loop,
    const std::function<bool()>& is_done,
    std::chrono::milliseconds limit = std::chrono::milliseconds(5'000)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!is_done() && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  return is_done();
}

// A connection on which a test sends and receives raw bytes.
class raw_connection : public std::enable_shared_from_this<raw_connection> {
 public:
  explicit raw_connection(boost::asio::ip::tcp::socket socket)
      : socket(std::move(socket)) {}

  void Start() {
    auto self = shared_from_this();
    socket.async_read_some(
        boost::asio::buffer(chunk_),
        [self](boost::system::error_code failure, size_t size) {
          if (failure) {
            self->is_ended = true;
            return;
          }
          self->received.append(self->chunk_.data(), size);
          if (self->on_received) {
            self->on_received();
          }
          self->Start();
        });
  }
  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }
  void Close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  std::string received;
  bool is_ended = false;
  std::function<void()> on_received;

 private:
  std::array<char, 4096> chunk_{};
};

// Connects to a port on this machine. A failure shows as `is_ended`.
inline std::shared_ptr<raw_connection> ConnectRaw(boost::asio::io_context& loop,
                                                  const std::string& ip,
                                                  uint16_t port) {
  boost::asio::ip::tcp::socket socket(loop);
  boost::system::error_code failure;
  socket.connect({boost::asio::ip::make_address(ip), port}, failure);
  auto connection = std::make_shared<raw_connection>(std::move(socket));
  connection->is_ended = static_cast<bool>(failure);
  connection->Start();
  return connection;
}

// An endpoint whose responses a test writes: `on_request` is called with the
// connection and the bytes of each complete request.
class scripted_endpoint {
 public:
  using script = std::function<void(raw_connection& connection,
                                    const std::string& request)>;

  // Port 0: the system chooses one.
  scripted_endpoint(boost::asio::io_context& loop,
                    script on_request,
                    uint16_t port = 0)
      : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), port}),
        on_request_(std::move(on_request)) {
    Accept();
  }

  uint16_t port() { return acceptor_.local_endpoint().port(); }
  // Drops what arrives from an address, as a partition does, or ends that.
  void Partition(const std::string& from) {
    const uint32_t ip = boost::asio::ip::make_address_v4(from).to_uint();
    sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                 static_cast<uint32_t>(SKF_NET_OFF + 12)),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ip, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    const sock_fprog program{std::size(code), code};
    for (const int fd : Sockets()) {
      setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    }
  }
  void EndPartition() {
    const int unused = 0;
    for (const int fd : Sockets()) {
      setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }
  }
  void ResetConnections(const std::string& from) {
    for (const auto& weak : accepted_) {
      const auto open = weak.lock();
      boost::system::error_code failure;
      if (open != nullptr &&
          open->socket.remote_endpoint(failure).address().to_string() == from) {
        open->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                failure);
        open->Close();
      }
    }
  }
  // Refuses connections from now on.
  void Close() { acceptor_.close(); }

  std::vector<std::string> requests;
  int connections = 0;

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code failure,
                                  boost::asio::ip::tcp::socket socket) {
      if (failure) {
        return;
      }
      ++connections;
      auto connection = std::make_shared<raw_connection>(std::move(socket));
      accepted_.push_back(connection);
      connection->on_received = [this, raw = connection.get()] {
        ProcessRequests(*raw);
      };
      connection->Start();
      Accept();
    });
  }

  void ProcessRequests(raw_connection& connection) {
    const size_t head = connection.received.find("\r\n\r\n");
    if (head == std::string::npos) {
      return;
    }
    size_t length = 0;
    const size_t field = connection.received.find("Content-Length: ");
    if (field != std::string::npos && field < head) {
      length = std::stoul(connection.received.substr(field + 16));
    }
    if (connection.received.size() < head + 4 + length) {
      return;
    }
    const std::string request =
        connection.received.substr(0, head + 4 + length);
    connection.received.erase(0, request.size());
    requests.push_back(request);
    on_request_(connection, request);
  }

  std::vector<int> Sockets() {
    std::vector<int> sockets = {acceptor_.native_handle()};
    for (const auto& weak : accepted_) {
      if (const auto open = weak.lock(); open && open->socket.is_open()) {
        sockets.push_back(open->socket.native_handle());
      }
    }
    return sockets;
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<raw_connection>> accepted_;
  script on_request_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_LOOPBACK_TEST_UTIL_H_
