#ifndef SHALLOTPORT_EVENTIO_LINK_HUB_H_
#define SHALLOTPORT_EVENTIO_LINK_HUB_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "eventio/connection_acceptor.h"

namespace shallotport {

class host_link;

// Kinds of the hub's own frames. The duties number theirs from kFirstDutyFrame
// on.
enum class link_frame : uint8_t {
  kPing = 1,
  kPong = 2,
  kCall = 3,
  kReply = 4,
  kFirstDutyFrame = 16,
};

struct link_counters {
  std::array<uint64_t, 256> sent_bytes{};  // By kind of frame.
  uint64_t closed_full = 0;  // Links whose other side read too slowly.
};

// The TCP links between this host and other hosts of the system. A host dials
// the hosts that it sends calls or subscriptions to; replies and published
// frames come back on the same link. Links are pinged, and a silent link is
// replaced by a new one. Time during which this process itself stalled does not
// count as silence. Runs on the thread of `loop`.
class link_hub {
 public:
  using frame_handler = std::function<
      void(host_link& link, uint8_t kind, std::string_view payload)>;
  using reply_function = std::function<void(result<std::string> reply)>;
  // Handles a call. `reply` must be called at most once; it may be stored and
  // called later.
  using call_handler =
      std::function<void(host_link& link,
                         uint8_t method,
                         std::string_view body,
                         std::function<void(std::string)> reply)>;

  // Other hosts reach this host at `own_ip`. Links are accepted on and dialed
  // from `bind_ip`. Empty: links are accepted on `own_ip`.
  link_hub(boost::asio::io_context& loop,
           const clock_source& clock,
           std::string own_ip,
           uint16_t port,
           std::string bind_ip = {});
  ~link_hub();

  status Listen();

  frame_handler on_frame;
  call_handler on_call;
  // Called when a dialed link is up, and when a dialed or an accepted link has
  // gone down.
  std::function<void(host_link& link)> on_link_up;
  std::function<void(host_link& link)> on_link_down;

  // Dials and redials these addresses, and closes the dialed links to all
  // others.
  void SetTargets(const std::set<std::string>& ips);
  // Sends on the dialed link to `ip`; the frame is dropped when the link is not
  // up.
  void Send(const std::string& ip, uint8_t kind, std::string_view payload);
  // Fails with kNoCapacity if the link is not up and nothing was sent, and with
  // kOutcomeUnknown if there was no reply in time or the link broke.
  void Call(const std::string& ip,
            uint8_t method,
            std::string_view body,
            duration timeout,
            reply_function on_reply);
  bool IsUp(const std::string& ip) const;
  std::vector<std::string> UpTargets() const;

  // To be called at least ten times a second.
  void Tick(steady_time now);

  const std::string& own_ip() const { return own_ip_; }
  const link_counters& totals() const { return totals_; }
  // What waits in the link with the longest queue, and in all links.
  size_t LongestQueueBytes() const;
  size_t QueuedBytes() const;
  const std::set<std::shared_ptr<host_link>>& accepted() const {
    return accepted_;
  }

 private:
  friend class host_link;

  struct pending_call {
    std::string ip;
    steady_time deadline{};
    reply_function on_reply;
  };

  void Dial(const std::string& ip);
  void OnFrame(host_link& link, uint8_t kind, std::string_view payload);
  void OnDown(host_link& link);
  void FailCalls(const std::string& ip);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const std::string own_ip_;
  const uint16_t port_;
  const std::string bind_ip_;
  connection_acceptor acceptor_;
  std::set<std::string> targets_;
  std::map<std::string, std::shared_ptr<host_link>> dialed_;
  std::map<std::string, steady_time> next_dial_at_;
  std::set<std::shared_ptr<host_link>> accepted_;
  std::map<uint64_t, pending_call> calls_;
  uint64_t next_call_id_ = 1;
  link_counters totals_;
  steady_time last_tick_at_{};
  bool is_shutting_down_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_LINK_HUB_H_
