#include "transport/peer_network.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "transport/frame_codec.h"

namespace shallotport {

namespace {

constexpr size_t kReadBytes = 256 * 1024;
constexpr int kListenBacklog = 128;
constexpr size_t kMaxAccepted = 1024;
// An accepted connection without a byte for this long is closed. Dialling
// hosts send heartbeats far more often.
constexpr duration kAcceptedSilenceLimit = std::chrono::seconds(10);

// Owns one file descriptor.
class descriptor {
 public:
  descriptor() = default;
  explicit descriptor(int number) : number_(number) {}
  descriptor(descriptor&& other) noexcept
      : number_(std::exchange(other.number_, -1)) {}
  descriptor& operator=(descriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  ~descriptor() {
    if (number_ >= 0) {
      ::close(number_);
    }
  }
  int number() const { return number_; }
  bool IsOpen() const { return number_ >= 0; }
  void Close() { *this = descriptor(); }

 private:
  int number_ = -1;
};

bool ParseAddress(const std::string& text, sockaddr_in& address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  address = {};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) ==
         1;
}

descriptor OpenSocket(int type) {
  return descriptor(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool Bind(const descriptor& socket, const sockaddr_in& address) {
  const int on = 1;
  ::setsockopt(socket.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  return ::bind(socket.number(), reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
}

void SetNoDelay(const descriptor& socket) {
  const int on = 1;
  ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Bytes that wait to be written to a socket.
class write_queue {
 public:
  bool IsEmpty() const { return frames_.empty(); }
  size_t bytes() const { return bytes_; }
  void Add(std::string frame) {
    bytes_ += frame.size();
    frames_.push_back(std::move(frame));
  }
  void Clear() {
    frames_.clear();
    bytes_ = 0;
    written_ = 0;
  }
  // Writes what the socket takes. False when the connection failed.
  bool WriteTo(const descriptor& socket) {
    while (!frames_.empty()) {
      const std::string& frame = frames_.front();
      const ssize_t count =
          ::send(socket.number(), frame.data() + written_,
                 frame.size() - written_, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      }
      written_ += static_cast<size_t>(count);
      if (written_ == frame.size()) {
        bytes_ -= frame.size();
        frames_.pop_front();
        written_ = 0;
      }
    }
    return true;
  }

 private:
  std::deque<std::string> frames_;
  size_t bytes_ = 0;
  size_t written_ = 0;
};

// A peer that this host sends to.
struct outgoing_link {
  explicit outgoing_link(const link_intervals& intervals)
      : monitor(intervals) {}
  sockaddr_in address{};
  descriptor socket;
  link_monitor monitor;
  write_queue queue;
  frame_reader reader;
};

// A connection that a peer dialled; only heartbeats are written to it.
struct accepted_link {
  descriptor socket;
  frame_reader reader;
  write_queue queue;
  steady_time last_bytes{};
};

struct network_counters {
  std::atomic<uint64_t> messages_sent{0};
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<uint64_t> messages_received{0};
  std::atomic<uint64_t> bytes_received{0};
  std::atomic<uint64_t> refused_full{0};
  std::atomic<uint64_t> damaged{0};
  std::atomic<uint64_t> dials{0};
  std::atomic<uint64_t> silent_closes{0};
};

class poll_peer_network final : public peer_network {
 public:
  poll_peer_network(const peer_network_options& options,
                    const clock_source& clock)
      : options_(options), clock_(clock), random_(options.seed) {}

  ~poll_peer_network() override { poll_peer_network::Stop(); }

  status Open() {
    sockaddr_in address{};
    if (!ParseAddress(options_.address, address)) {
      return MakeError(error_kind::kInvalidRequest,
                       "peer address " + options_.address + ": not IP:port");
    }
    datagrams_ = OpenSocket(SOCK_DGRAM);
    listener_ = OpenSocket(SOCK_STREAM);
    wake_ = descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!Bind(datagrams_, address) || !Bind(listener_, address) ||
        ::listen(listener_.number(), kListenBacklog) != 0) {
      return MakeError(
          error_kind::kInvalidRequest,
          "peer address " + options_.address + ": " + std::strerror(errno));
    }
    for (const peer_address& peer : options_.peers) {
      SetPeer(peer);
    }
    return success{};
  }

  void SetReceiver(peer_channel channel, receiver receive) override {
    receivers_[channel] = std::move(receive);
  }

  void Start() override {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() override {
    stopping_ = true;
    Wake();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool SendStream(peer_channel channel,
                  const host_id& to,
                  std::string payload) override {
    if (to == options_.host) {
      Deliver(MakeMessage(channel, to, std::move(payload)));
      return true;
    }
    std::string frame =
        EncodeFrame(MakeMessage(channel, to, std::move(payload)));
    if (frame.size() > kMaxFrameBytes) {
      return false;
    }
    {
      const std::lock_guard lock(mutex_);
      const auto link = links_.find(to);
      if (link == links_.end()) {
        return false;
      }
      if (link->second.queue.bytes() + frame.size() >
          options_.max_queued_bytes_per_peer) {
        ++counters_.refused_full;
        return false;
      }
      CountSent(frame.size());
      link->second.queue.Add(std::move(frame));
    }
    Wake();
    return true;
  }

  bool SendDatagram(peer_channel channel,
                    const host_id& to,
                    std::string payload) override {
    if (to == options_.host) {
      Deliver(MakeMessage(channel, to, std::move(payload)));
      return true;
    }
    const std::string datagram =
        EncodeDatagram(MakeMessage(channel, to, std::move(payload)));
    if (datagram.size() > kMaxDatagramBytes) {
      return false;
    }
    sockaddr_in address{};
    {
      const std::lock_guard lock(mutex_);
      const auto link = links_.find(to);
      if (link == links_.end()) {
        return false;
      }
      address = link->second.address;
    }
    CountSent(datagram.size());
    return ::sendto(datagrams_.number(), datagram.data(), datagram.size(),
                    MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) >= 0;
  }

  void SetPeer(const peer_address& peer) override {
    if (peer.host == options_.host) {
      return;
    }
    sockaddr_in address{};
    if (!ParseAddress(peer.address, address)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    const auto link = links_.try_emplace(peer.host, options_.intervals).first;
    const bool is_same =
        link->second.address.sin_port == address.sin_port &&
        link->second.address.sin_addr.s_addr == address.sin_addr.s_addr;
    if (is_same) {
      return;
    }
    link->second.address = address;
    link->second.socket.Close();
    link->second.monitor = link_monitor(options_.intervals);
  }

  void WriteState(nlohmann::json& out) const override {
    nlohmann::json& counters = out["counters"];
    counters["messages_sent"] = counters_.messages_sent.load();
    counters["bytes_sent"] = counters_.bytes_sent.load();
    counters["messages_received"] = counters_.messages_received.load();
    counters["bytes_received"] = counters_.bytes_received.load();
    counters["refused_full"] = counters_.refused_full.load();
    counters["damaged"] = counters_.damaged.load();
    counters["dials"] = counters_.dials.load();
    counters["silent_closes"] = counters_.silent_closes.load();
    const std::lock_guard lock(mutex_);
    nlohmann::json& links = out["links"];
    links = nlohmann::json::array();
    constexpr std::array<const char*, 3> kStates = {"waiting", "connecting",
                                                    "connected"};
    for (const auto& [host, link] : links_) {
      links.push_back(
          {{"host", host.text()},
           {"state", kStates[static_cast<size_t>(link.monitor.state())]},
           {"queued_bytes", link.queue.bytes()}});
    }
  }

 private:
  peer_message MakeMessage(peer_channel channel,
                           const host_id& to,
                           std::string payload) const {
    return {channel, options_.host, options_.started, to, std::move(payload)};
  }

  void CountSent(size_t bytes) {
    ++counters_.messages_sent;
    counters_.bytes_sent += bytes;
  }

  void Wake() {
    const uint64_t one = 1;
    if (::write(wake_.number(), &one, sizeof(one)) < 0) {
      return;  // The counter is full: the thread is about to wake anyway.
    }
  }

  void Deliver(peer_message message) {
    if (message.to != options_.host) {
      ++counters_.damaged;
      return;
    }
    const auto found = receivers_.find(message.channel);
    if (found != receivers_.end()) {
      found->second(std::move(message));
    }
  }

  void Run() {
    while (!stopping_) {
      const steady_time now = clock_.Now();
      StepLinks(now);
      PrepareAndPoll(now);
      ReadDatagrams();
      AcceptLinks(clock_.Now());
      ServeLinks(clock_.Now());
      ServeAccepted(clock_.Now());
    }
  }

  // Dials, sends heartbeats and closes silent connections.
  void StepLinks(steady_time now) {
    const std::lock_guard lock(mutex_);
    for (auto& [host, link] : links_) {
      // A peer that nothing was ever sent to is not dialled.
      if (link.monitor.state() == link_state::kWaiting &&
          link.queue.IsEmpty()) {
        continue;
      }
      switch (link.monitor.Step(now, random_)) {
        case link_step::kNothing:
          break;
        case link_step::kDial:
          Dial(link, now);
          break;
        case link_step::kSendHeartbeat:
          link.queue.Add(
              EncodeFrame(MakeMessage(peer_channel::kHeartbeat, host, "")));
          break;
        case link_step::kClose:
          ++counters_.silent_closes;
          CloseLink(link);
          break;
      }
    }
  }

  void Dial(outgoing_link& link, steady_time now) {
    ++counters_.dials;
    link.reader = frame_reader();
    link.socket = OpenSocket(SOCK_STREAM);
    SetNoDelay(link.socket);
    const int outcome = ::connect(
        link.socket.number(), reinterpret_cast<const sockaddr*>(&link.address),
        sizeof(link.address));
    if (outcome != 0 && errno != EINPROGRESS) {
      link.monitor.OnClosed(now, random_);
      CloseLink(link);
    }
  }

  // What was queued is stale by the time of a new connection.
  static void CloseLink(outgoing_link& link) {
    link.socket.Close();
    link.queue.Clear();
  }

  void PrepareAndPoll(steady_time now) {
    polled_.clear();
    polled_.push_back({wake_.number(), POLLIN, 0});
    polled_.push_back({datagrams_.number(), POLLIN, 0});
    polled_.push_back({listener_.number(), POLLIN, 0});
    steady_time until = now + std::chrono::milliseconds(100);
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [host, link] : links_) {
        if (!link.socket.IsOpen()) {
          if (!link.queue.IsEmpty()) {
            until = std::min(until, link.monitor.next_step_time());
          }
          continue;
        }
        until = std::min(until, link.monitor.next_step_time());
        const bool wants_write =
            link.monitor.state() == link_state::kConnecting ||
            !link.queue.IsEmpty();
        polled_.push_back(
            {link.socket.number(),
             static_cast<short>(POLLIN | (wants_write ? POLLOUT : 0)), 0});
      }
    }
    for (const accepted_link& link : accepted_) {
      polled_.push_back(
          {link.socket.number(),
           static_cast<short>(POLLIN | (link.queue.IsEmpty() ? 0 : POLLOUT)),
           0});
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(until - now);
    ::poll(polled_.data(), polled_.size(),
           static_cast<int>(std::max<int64_t>(wait.count(), 0)));
    uint64_t ignored = 0;
    while (::read(wake_.number(), &ignored, sizeof(ignored)) > 0) {
    }
  }

  void ReadDatagrams() {
    std::array<char, 64 * 1024> buffer;
    while (true) {
      const ssize_t count = ::recv(datagrams_.number(), buffer.data(),
                                   buffer.size(), MSG_DONTWAIT);
      if (count < 0) {
        return;
      }
      result<peer_message> message = DecodeDatagram(
          std::string_view(buffer.data(), static_cast<size_t>(count)));
      if (!IsOk(message)) {
        ++counters_.damaged;
        continue;
      }
      CountReceived(static_cast<size_t>(count));
      Deliver(ValueOf(std::move(message)));
    }
  }

  void CountReceived(size_t bytes) {
    ++counters_.messages_received;
    counters_.bytes_received += bytes;
  }

  void AcceptLinks(steady_time now) {
    while (true) {
      descriptor socket(::accept4(listener_.number(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!socket.IsOpen()) {
        return;
      }
      if (accepted_.size() >= kMaxAccepted) {
        continue;
      }
      SetNoDelay(socket);
      accepted_.push_back({std::move(socket), {}, {}, now});
    }
  }

  void ServeLinks(steady_time now) {
    std::vector<peer_message> arrived;
    {
      const std::lock_guard lock(mutex_);
      for (auto& [host, link] : links_) {
        if (link.socket.IsOpen() && !ServeLink(link, now, arrived)) {
          link.monitor.OnClosed(now, random_);
          CloseLink(link);
        }
      }
    }
    for (peer_message& message : arrived) {
      Deliver(std::move(message));
    }
  }

  // False when the connection has failed.
  bool ServeLink(outgoing_link& link,
                 steady_time now,
                 std::vector<peer_message>& arrived) {
    if (link.monitor.state() == link_state::kConnecting) {
      pollfd writable{link.socket.number(), POLLOUT, 0};
      if (::poll(&writable, 1, 0) <= 0) {
        return true;
      }
      int failure = 0;
      socklen_t size = sizeof(failure);
      ::getsockopt(link.socket.number(), SOL_SOCKET, SO_ERROR, &failure, &size);
      if (failure != 0) {
        return false;
      }
      link.monitor.OnConnected(now);
    }
    bool has_bytes = false;
    if (!ReadFrom(link.socket, link.reader, arrived, has_bytes)) {
      return false;
    }
    if (has_bytes) {
      link.monitor.OnBytes(now);
    }
    return link.queue.WriteTo(link.socket);
  }

  void ServeAccepted(steady_time now) {
    std::vector<peer_message> arrived;
    for (size_t i = 0; i < accepted_.size();) {
      accepted_link& link = accepted_[i];
      const size_t first_new = arrived.size();
      bool has_bytes = false;
      bool is_good = ReadFrom(link.socket, link.reader, arrived, has_bytes);
      if (has_bytes) {
        link.last_bytes = now;
      }
      // A heartbeat is answered, so that the dialling host sees the way back.
      for (size_t j = first_new; j < arrived.size(); ++j) {
        if (arrived[j].channel == peer_channel::kHeartbeat) {
          link.queue.Add(EncodeFrame(
              MakeMessage(peer_channel::kHeartbeat, arrived[j].from, "")));
        }
      }
      is_good = is_good && link.queue.WriteTo(link.socket) &&
                now - link.last_bytes < kAcceptedSilenceLimit;
      if (is_good) {
        ++i;
      } else {
        std::swap(accepted_[i], accepted_.back());
        accepted_.pop_back();
      }
    }
    for (peer_message& message : arrived) {
      Deliver(std::move(message));
    }
  }

  // Reads what has arrived. False when the connection is closed or damaged.
  bool ReadFrom(const descriptor& socket,
                frame_reader& reader,
                std::vector<peer_message>& arrived,
                bool& has_bytes) {
    read_buffer_.resize(kReadBytes);
    const ssize_t count = ::recv(socket.number(), read_buffer_.data(),
                                 read_buffer_.size(), MSG_DONTWAIT);
    if (count == 0) {
      return false;
    }
    if (count < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    has_bytes = true;
    counters_.bytes_received += static_cast<size_t>(count);
    reader.AddBytes(
        std::string_view(read_buffer_.data(), static_cast<size_t>(count)));
    while (true) {
      result<std::optional<peer_message>> next = reader.Next();
      if (!IsOk(next)) {
        ++counters_.damaged;
        return false;
      }
      if (!ValueOf(next)) {
        return true;
      }
      ++counters_.messages_received;
      arrived.push_back(*std::move(ValueOf(next)));
    }
  }

  const peer_network_options options_;
  const clock_source& clock_;
  random_source random_;
  descriptor datagrams_;
  descriptor listener_;
  descriptor wake_;
  std::map<peer_channel, receiver> receivers_;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
  network_counters counters_;

  mutable std::mutex mutex_;  // Guards links_.
  std::map<host_id, outgoing_link> links_;

  // Touched by the network's thread only.
  std::vector<accepted_link> accepted_;
  std::vector<pollfd> polled_;
  std::vector<char> read_buffer_;
};

}  // namespace

result<std::unique_ptr<peer_network>> peer_network::Create(
    const peer_network_options& options,
    const clock_source& clock) {
  auto network = std::make_unique<poll_peer_network>(options, clock);
  const status opened = network->Open();
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  return std::unique_ptr<peer_network>(std::move(network));
}

}  // namespace shallotport
